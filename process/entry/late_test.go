package entry_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/internal/system"
	"github.com/eelgrassdock/eelgrassdock/process/entry"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// startShort starts a system whose entries stop within a time, before one replica that
// takes a time for each call.
func startShort(t *testing.T, entries int, limit time.Duration) (s *system.System, work *atomic.Int64) {
	s = start(t, &system.System{Entries: entries, PlainReplicas: 1, Prepare: func(_ int, e *entry.Entry) {
		e.Settings.Stop = int(limit / time.Second)
	}})
	work = &atomic.Int64{}
	plainReplicas(s)[0].Delay = func() time.Duration { return time.Duration(work.Load()) }
	return s, work
}

// TestLateCallsAreNotCut guards against calls that an entry takes in its graceful stop and
// cuts at the end of it, because their replica works for longer than is left.
func TestLateCallsAreNotCut(t *testing.T) {
	t.Parallel()
	const limit = 4 * time.Second // callers use the entry for the first three seconds of it
	s, work := startShort(t, 2, limit)
	stopping, other := s.Nodes()[0], s.Nodes()[1]
	work.Store(int64(2 * limit))
	stopping.Stop()
	time.Sleep(limit / 4)
	var wg conc.WaitGroup
	for body, key := range map[string]string{"own": "own-late", "bound": stopping.Entry.ID() + "." + uuid.Must(uuid.NewV7()).String()} {
		wg.Go(func() {
			status, _, text := post(t, stopping.Entry.Addr(), http.MethodPost, orders, body, "Idempotency-Key", key)
			assert.Equal(t, http.StatusServiceUnavailable, status, text)
			f := refusal.Parse([]byte(text))
			assert.Equal(t, refusal.Stopping, f.Reason)
			assert.Equal(t, refusal.NotRun, f.Outcome)
			assert.Zero(t, runs(s, body))
		})
	}
	wg.Wait()
	<-stopping.Done
	require.NoError(t, stopping.Err, "calls were cut")
	work.Store(0)
	status, _, text := post(t, other.Entry.Addr(), http.MethodPost, orders, "own", "Idempotency-Key", "own-late")
	require.Equal(t, http.StatusOK, status, text)
	require.Equal(t, 1, runs(s, "own"))
}

// TestLastEntryCutsNoCalls guards against a call of unknown duration that the last entry
// takes in its graceful stop because no other one can serve it, and cuts at the end.
func TestLastEntryCutsNoCalls(t *testing.T) {
	t.Parallel()
	const limit = 3 * time.Second
	s, work := startShort(t, 1, limit)
	n := s.Nodes()[0]
	work.Store(int64(2 * limit))
	n.Stop()
	time.Sleep(limit / 3)
	status, _, text := post(t, n.Entry.Addr(), http.MethodPost, orders, "late", "Idempotency-Key", n.Entry.ID()+"."+uuid.Must(uuid.NewV7()).String())
	assert.Equal(t, http.StatusServiceUnavailable, status, text)
	f := refusal.Parse([]byte(text))
	assert.Equal(t, refusal.Stopping, f.Reason)
	assert.Equal(t, refusal.NotRun, f.Outcome)
	<-n.Done
	require.NoError(t, n.Err, "calls were cut")
	require.Zero(t, runs(s, "late"))
}

// TestShortCallsAreServedInAStop guards against the refusal of calls that end before the
// entry does, by what is known of them or by their deadline, also at the last entry.
func TestShortCallsAreServedInAStop(t *testing.T) {
	const limit = 5 * time.Second
	for name, tt := range map[string]struct {
		entries, before int
		deadline        time.Duration
	}{
		"known": {2, 10, time.Minute}, "deadline": {2, 0, time.Second},
		"last entry, known": {1, 10, time.Minute}, "last entry, deadline": {1, 0, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, _ := startShort(t, tt.entries, limit)
			n := s.Nodes()[0]
			call := func() {
				key := n.Entry.ID() + "." + uuid.Must(uuid.NewV7()).String()
				deadline := time.Now().Add(tt.deadline).Format(time.RFC3339Nano)
				status, _, text := post(t, n.Entry.Addr(), http.MethodPost, orders, key, "Idempotency-Key", key, entry.DeadlineHeader, deadline)
				require.Equal(t, http.StatusOK, status, text)
			}
			for range tt.before {
				call()
			}
			n.Stop()
			time.Sleep(time.Second)
			call()
		})
	}
}
