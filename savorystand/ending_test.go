package main

import (
	"context"
	"fmt"
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
