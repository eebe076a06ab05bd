package savorygate

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"savorycart.example/savorycore/savorypeer"
	"savorycart.example/savorycore/savoryrouting"
)

func largeConfig(version int64, routes int) *savoryrouting.Config {
	cfg := &savoryrouting.Config{Version: version, Services: []savoryrouting.Service{{Name: "s"}}}
	for i := range routes {
		cfg.Routes = append(cfg.Routes, savoryrouting.Route{
			Name: fmt.Sprint("r", i), Host: "h", Prefix: fmt.Sprintf("/%d/", i*7919), Kind: savoryrouting.Idempotent, Timeout: time.Second,
			Shares: []savoryrouting.Share{{Service: "s", Weight: 1}},
		})
	}
	return cfg
}

// Pattern: parts that are lost, peers that hold other packed forms, and versions that
// follow each other faster than one is transferred. Guards against a transfer that begins
// again from its first byte, and so never ends, and against one that joins parts of two
// packed forms.
func TestFetchEndsWhateverIsLost(t *testing.T) {
	const partBytes = 100
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		var peer packedConfigs
		var fetch configFetch
		version := int64(1)
		cfg := largeConfig(version, 100)
		known, progress, lost := int64(0), 0, 0
		for known == 0 {
			if rapid.IntRange(0, 9).Draw(t, "newVersion") == 0 && version < maxPackedConfigs {
				version++
				cfg = largeConfig(version, 100)
			}
			req := fetch.request(known)
			packed, err := peer.get(cfg, req)
			is.NoErr(err)
			is.True(req.Offset >= progress)
			if rapid.IntRange(0, 4).Draw(t, "lost") == 0 && lost < 100 {
				lost++
				continue
			}
			progress = req.Offset
			if complete, _ := fetch.add(packed.Part(req, partBytes)); complete != nil {
				is.True(bytes.Equal(complete.Body, packed.Body))
				got, err := complete.Unpack()
				is.NoErr(err)
				known = got.Version
			}
		}
	})
}

// Guards against a transfer that never ends because its version is replaced before it is
// complete: the sender keeps the last versions until then.
func TestFetchEndsInStormOfVersions(t *testing.T) {
	is := is.New(t)
	var peer packedConfigs
	var fetch configFetch
	const versionsWhileFetching = maxPackedConfigs - 1
	first, err := peer.get(largeConfig(1, 100), fetch.request(0))
	is.NoErr(err)
	partBytes := len(first.Body)/versionsWhileFetching + 1
	for i := range int64(versionsWhileFetching) {
		req := fetch.request(0)
		packed, err := peer.get(largeConfig(1+i, 100), req)
		is.NoErr(err)
		if complete, _ := fetch.add(packed.Part(req, partBytes)); complete != nil {
			is.Equal(complete.Version, int64(1))
			return
		}
	}
	t.Fatal("no version is complete")
}

// Guards against parts of a peer that holds another packed form of the version: the
// transfer begins again and does not mix them.
func TestFetchFromOtherPackedForm(t *testing.T) {
	is := is.New(t)
	var fetch configFetch
	a, err := savorypeer.PackConfig(largeConfig(1, 50))
	is.NoErr(err)
	b, err := savorypeer.PackConfig(largeConfig(1, 51))
	is.NoErr(err)
	const partBytes = 200
	_, progress := fetch.add(a.Part(fetch.request(0), partBytes))
	is.True(progress)
	var complete *savorypeer.PackedConfig
	for complete == nil {
		complete, _ = fetch.add(b.Part(fetch.request(0), partBytes))
	}
	is.Equal(complete.Body, b.Body)
	is.Equal(fetch.request(0).Offset, 0)
}

// Guards against a fetch that never leaves a peer whose parts do not fit each other, and so
// keeps other peers from being asked.
func TestFetchEndsWithoutProgress(t *testing.T) {
	is := is.New(t)
	var fetch configFetch
	part := func(digest uint64, offset int) *savorypeer.ConfigPart {
		return &savorypeer.ConfigPart{Version: 1, Digest: digest, Size: 100, Offset: offset, Body: make([]byte, 10)}
	}
	_, progress := fetch.add(part(1, 0))
	is.True(progress)
	_, progress = fetch.add(part(2, 0)) // another packed form in each answer
	is.Equal(progress, false)
	_, progress = fetch.add(part(2, 50)) // not the requested offset
	is.Equal(progress, false)
	_, progress = fetch.add(part(2, 10))
	is.True(progress)
}

// Guards against a version that no entry of this build accepts and that is fetched again
// whole at each contact with a peer.
func TestRefusedVersionIsNotFetchedAgain(t *testing.T) {
	is := is.New(t)
	var fetch configFetch
	is.True(fetch.begin(5))
	is.Equal(fetch.begin(6), false) // one is running
	fetch.refuse(5)
	fetch.end()
	is.Equal(fetch.begin(5), false)
	is.True(fetch.begin(6))
}
