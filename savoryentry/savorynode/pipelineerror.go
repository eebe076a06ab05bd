package savorynode

// This file states errors of the pipeline to callers.

import (
	"errors"
	"net/http"

	"savorycart.example/savorycore/savorychain"
	"savorycart.example/savorycore/savoryengine"
	"savorycart.example/savorycore/savoryverdict"
)

// failureError converts the last error of a request to the error for the
// caller. The verdict is NotRun only if no attempt may have run.
func (p *pipelineRunner) failureError(g *generation, err error) error {
	return pipelineError(err, g.mayHaveRun)
}

// pipelineError is failureError for a request that may have run in one of its attempts.
func pipelineError(err error, mayHaveRun bool) error {
	var refused *savoryverdict.Error
	if errors.As(err, &refused) {
		return refused
	}
	if limited := (*savorychain.LimitedError)(nil); errors.As(err, &limited) && !mayHaveRun {
		return limitedError(limited)
	}
	var overload *savorychain.OverloadError
	if errors.As(err, &overload) {
		return savoryverdict.Unavailable("Overloaded", max(minOverloadRetryAfter, overload.RetryAfter()), "%v", overload)
	}
	verdict := savoryverdict.MayHaveRun
	var fault *savoryengine.Error
	noChain := errors.Is(err, savorychain.ErrNoChain)
	notRun := noChain || (errors.As(err, &fault) && fault.Verdict == savoryverdict.NotRun)
	if notRun && !mayHaveRun {
		verdict = savoryverdict.NotRun
	}
	failure := &savoryverdict.Error{
		Verdict: verdict, Status: http.StatusBadGateway, Code: "PipelineFailed",
		Message: "the pipeline failed; the answer is incomplete", RetryAfter: minOverloadRetryAfter, Err: err,
	}
	if noChain {
		failure.Status = http.StatusServiceUnavailable
		failure.Code = "NoChain"
		failure.Message = "no chain of backend servers is available"
	}
	return failure
}

func callerLeftError(err error) error {
	return &savoryverdict.Error{
		Verdict: savoryverdict.MayHaveRun, Status: http.StatusBadRequest, Code: "CallerLeft",
		Message: "the caller left before the answer was complete", Err: err,
	}
}
