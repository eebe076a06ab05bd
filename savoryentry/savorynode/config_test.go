package savorynode

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savoryworld"
)

// bucketSource serves buckets and counts how often each is requested.
type bucketSource struct {
	buckets map[savoryconfig.BucketID]savoryconfig.Bucket
	ids     []savoryconfig.BucketID

	mu        sync.Mutex
	requested map[savoryconfig.BucketID]int
	calls     int
	// failingCall is the call that fails; 0 means none.
	failingCall int
}

func newBucketSource(t *testing.T, routes int) *bucketSource {
	t.Helper()
	doc := new(savoryconfig.Document)
	for i := range routes {
		doc.Routes = append(doc.Routes, savoryworld.Route{Name: fmt.Sprint("route-", i), Path: fmt.Sprint("/", i)})
	}
	buckets, err := savoryconfig.SplitSection(doc, savoryconfig.Routes, nil, "submission")
	if err != nil {
		t.Fatal(err)
	}
	s := &bucketSource{buckets: make(map[savoryconfig.BucketID]savoryconfig.Bucket), requested: make(map[savoryconfig.BucketID]int)}
	for _, b := range buckets {
		s.buckets[b.ID] = b
		s.ids = append(s.ids, b.ID)
	}
	return s
}

func (s *bucketSource) fetch(ids []savoryconfig.BucketID) ([]savoryconfig.Bucket, error) {
	time.Sleep(time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.calls == s.failingCall {
		return nil, errors.New("deadline exceeded")
	}
	var fetched []savoryconfig.Bucket
	for _, id := range ids {
		s.requested[id]++
		fetched = append(fetched, s.buckets[id])
	}
	return fetched, nil
}

func (s *bucketSource) maxRequested() int {
	n := 0
	for _, requests := range s.requested {
		n = max(n, requests)
	}
	return n
}

// Guards against an interrupted transfer that is begun again from its start.
func TestInterruptedTransferGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := newBucketSource(t, 4000)
		source.failingCall = 3
		keeper := new(configKeeper)
		is.True(keeper.addMissing(make(map[savoryconfig.BucketID]savoryconfig.Bucket), source.ids, source.fetch) != nil)
		found := make(map[savoryconfig.BucketID]savoryconfig.Bucket)
		is.NoErr(keeper.addMissing(found, source.ids, source.fetch))
		is.Equal(len(found), len(source.ids))
		is.Equal(source.maxRequested(), 1)
	})
}

// Guards against several transfers of the same buckets at the same time, as from
// the store by a watch and a poll and from a peer.
func TestBucketsAreFetchedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := newBucketSource(t, 4000)
		source.failingCall = 3
		keeper := new(configKeeper)
		var transfers sync.WaitGroup
		failed := make(chan error, 3)
		for range cap(failed) {
			transfers.Go(func() {
				found := make(map[savoryconfig.BucketID]savoryconfig.Bucket)
				err := keeper.addMissing(found, source.ids, source.fetch)
				if err == nil && len(found) != len(source.ids) {
					err = fmt.Errorf("%d of %d buckets", len(found), len(source.ids))
				}
				failed <- err
			})
		}
		transfers.Wait()
		failures := 0
		for range cap(failed) {
			if <-failed != nil {
				failures++
			}
		}
		is.Equal(failures, 1) // the transfer whose call failed
		is.Equal(source.maxRequested(), 1)
	})
}
