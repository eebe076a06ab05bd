package savorynode

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against chains that are given up while they are only silent: without a
// retry left, a begun answer must stay on its chain for a further while.
func TestStallTimerWithoutRetry(t *testing.T) {
	const stallTime = 300 * time.Millisecond
	for _, test := range []struct {
		name     string
		begun    bool
		retryNow bool
		stalled  bool // at the end of stallTime
	}{
		{name: "retry allowed", begun: true, retryNow: true, stalled: true},
		{name: "no retry", begun: true, stalled: false},
		{name: "no retry, not begun", stalled: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var stalled atomic.Bool
				timer := &stallTimer{
					begun: test.begun, retryNow: func() bool { return test.retryNow }, stalled: func() { stalled.Store(true) },
				}
				timer.start(stallTime)
				defer timer.stop()
				time.Sleep(stallTime)
				synctest.Wait()
				is.Equal(stalled.Load(), test.stalled)
				if test.stalled {
					return
				}
				time.Sleep(minRetryDelay - time.Millisecond)
				timer.reset(stallTime) // the chain goes on
				time.Sleep(stallTime)
				synctest.Wait()
				is.Equal(stalled.Load(), false)
				time.Sleep(maxRetryDelay)
				synctest.Wait()
				is.Equal(stalled.Load(), true)
			})
		})
	}
}
