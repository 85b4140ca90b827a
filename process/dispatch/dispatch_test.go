package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/process/placement"
	"github.com/eelgrassdock/eelgrassdock/process/queue"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// Guards against a request whose deadline passes in the queue and that is reported as
// one for which no connection could be opened.
func TestEndOfAQueuedRequestIsNamed(t *testing.T) {
	passed, cancel := context.WithDeadline(t.Context(), time.Now())
	defer cancel()
	left, leave := context.WithCancel(t.Context())
	leave()
	for ctx, want := range map[context.Context]refusal.Reason{passed: refusal.Deadline, left: refusal.Canceled} {
		d := &Dispatcher{Service: "s", Sched: &placement.Scheduler{Service: "s"}}
		later := time.Now().Add(time.Minute)
		require.NoError(t, d.Queue.Push(&queue.Item{Account: "a", Deadline: later})) // so that the request has to wait
		_, err := d.Reserve(ctx, placement.Request{Deadline: later}, &queue.Item{Account: "b", Deadline: later})
		require.Equal(t, want, refusal.From(err).Reason)
		require.Equal(t, refusal.NotRun, refusal.From(err).Outcome)
	}
}
