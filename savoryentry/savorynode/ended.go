package savorynode

// This file bounds the engines that end under one completion.

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savoryengine"
	"savorycart.example/savorycore/savoryverdict"
)

const (
	// maxEndsPerRequest is the number of engines in a row that may end under one request,
	// none of which went on with its answer. The cause may be the request itself.
	maxEndsPerRequest = 3
	// progressTokens is the number of tokens after which an answer goes on. Engines that
	// end because of a request do so when they begin to answer.
	progressTokens = 8
	// endCheckTimeout bounds the check whether an engine has ended. A process that ended
	// refuses or closes the connection at once; a silent one does not count.
	endCheckTimeout = 60 * time.Millisecond
)

// recordEnded counts the attempt if an engine of its chain has ended and its answer did not
// go on. It reports whether the request may be sent to another chain.
func (p *pipelineRunner) recordEnded(ctx context.Context, g *generation, chain []savoryengine.Hop) bool {
	switch {
	case g.attemptTokens >= progressTokens:
		g.endsInRow = 0
		return true
	case g.lastVerdict == savoryverdict.NotRun:
		p.returnTrial(g)
		return true
	}
	ended := p.endedHops(ctx, chain)
	for _, hop := range ended {
		p.gossip.recordEngineEnd(g.c, hop, g.attemptTokens > 0)
	}
	if len(ended) == 0 {
		return true
	}
	g.endsInRow++
	if g.endsInRow < maxEndsPerRequest {
		return true
	}
	g.log.WithFields(log.Fields{"reason": "engines ended under the request", "ends": g.endsInRow}).Warn("request not sent again")
	return false
}

// endedHops returns the hops whose engine accepts no call on a new connection, or closes
// it.
func (p *pipelineRunner) endedHops(ctx context.Context, chain []savoryengine.Hop) []savoryengine.Hop {
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	results := make([]bool, len(chain))
	var checks sync.WaitGroup
	for i, hop := range chain {
		checks.Go(func() {
			_, err := p.probes.Status(ctx, hop.Address)
			results[i] = err != nil && ctx.Err() == nil
		})
	}
	checks.Wait()
	var ended []savoryengine.Hop
	for i, hop := range chain {
		if results[i] {
			ended = append(ended, hop)
		}
	}
	return ended
}
