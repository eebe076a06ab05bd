package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savorylog"
	"savorycart.example/savorystand/savorymodel"
	"savorycart.example/savorystand/savorysite"
)

// maxEndsUnderRequest is the number of engines that one request may end.
const maxEndsUnderRequest = 3

// endedEngines returns the number of engines that have ended.
func endedEngines(site *savorysite.Site) int {
	n := 0
	for _, e := range site.Engines {
		if e.Ended() {
			n++
		}
	}
	return n
}

// Guards against one completion that ends engine after engine, before its answer has begun
// and after.
func TestCompletionEndsFewEngines(t *testing.T) {
	for _, after := range []int{0, 2} {
		t.Run(fmt.Sprint("after ", after, " tokens"), func(t *testing.T) {
			is := is.New(t)
			site := &savorysite.Site{Entries: 1, EnginesPerStage: 12, ServiceServers: 1, Log: savorylog.Discard()}
			defer site.Stop()
			is.NoErr(site.Start())
			caller := &savorysite.Caller{Entry: site.Nodes[0].Callers, Key: savorysite.CustomerKey("musina-guards")}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			for i := range 20 {
				is.NoErr(generateAndCheck(ctx, caller, savorysite.ModelVersion, fmt.Sprint("sound ", i), 4)) // credits the retry budget
			}
			setEngineFaults(site, savorymodel.Faults{EndOnPrompt: "fatal", EndAfter: after})
			err := generateAndCheck(ctx, caller, savorysite.ModelVersion, "fatal", 20)
			t.Log(endedEngines(site), err)
			is.True(err != nil)
			is.True(endedEngines(site) <= maxEndsUnderRequest)
		})
	}
}

// Guards against completions with one shared beginning of their prompts, at any entry, that
// end engine after engine, and against sound ones that are refused because of them.
func TestPromptBeginningThatEndsEnginesIsRefused(t *testing.T) {
	const (
		entries = 3
		// contactTime is the time after the fifth end in which entries must have stopped,
		// and maxLate the number of ends that are allowed later.
		contactTime = 3 * time.Second
		endsToBlame = 5
		maxLate     = 3
		restartTime = time.Second
		loadTime    = 9 * time.Second
	)
	is := is.New(t)
	site := &savorysite.Site{Entries: entries, EnginesPerStage: 12, ServiceServers: 1, Log: savorylog.Discard()}
	defer site.Stop()
	is.NoErr(site.Start())
	long := strings.Repeat("word ", 64)
	var mu sync.Mutex
	var ends []time.Time
	setEngineFaults(site, savorymodel.Faults{EndOnPrompt: "fatal"})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	var restarts sync.WaitGroup
	restarts.Go(func() {
		endedAt := make(map[*savorymodel.Engine]time.Time)
		for ctx.Err() == nil {
			for _, e := range site.Engines {
				switch at, known := endedAt[e]; {
				case e.Ended() && !known:
					endedAt[e] = time.Now()
					mu.Lock()
					ends = append(ends, time.Now())
					mu.Unlock()
				case known && time.Since(at) > restartTime:
					e.SetFaults(savorymodel.Faults{EndOnPrompt: "fatal"})
					delete(endedAt, e)
				}
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
	callers := make([]*savorysite.Caller, entries)
	for i := range callers {
		callers[i] = &savorysite.Caller{Entry: site.Nodes[i].Callers, Key: savorysite.CustomerKey("musina-guards")}
	}
	var sound, soundFailed, refused atomic.Int64
	var requests sync.WaitGroup
	begin := time.Now()
	for i := 0; time.Since(begin) < loadTime; i++ {
		time.Sleep(50 * time.Millisecond)
		caller := callers[i%entries]
		requests.Go(func() {
			sound.Add(1)
			if err := generateAndCheck(ctx, caller, savorysite.ModelVersion, fmt.Sprint(long, "sound ", i), 10); err != nil {
				soundFailed.Add(1)
			}
		})
		if i%2 == 1 && time.Since(begin) > time.Second {
			requests.Go(func() {
				err := generateAndCheck(ctx, caller, savorysite.ModelVersion, fmt.Sprint("fatal ", long, i), 10)
				if err != nil && strings.Contains(err.Error(), "PromptPart") {
					refused.Add(1)
				}
			})
		}
	}
	requests.Wait()
	cancel()
	restarts.Wait()
	late := 0
	for _, at := range ends {
		if len(ends) >= endsToBlame && at.Sub(ends[endsToBlame-1]) > contactTime {
			late++
		}
	}
	t.Logf("ends %d, late %d, refused %d, sound %d of which failed %d", len(ends), late, refused.Load(), sound.Load(), soundFailed.Load())
	is.True(len(ends) > 0)
	is.True(late <= maxLate)
	is.True(refused.Load() > 0)
	is.True(soundFailed.Load() < sound.Load()/2)
}
