package gateway

import (
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/process/loads"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
)

// makeUnreachable makes an engine unreachable and reports a failure of it.
func (w *testGateway) makeUnreachable(id string) {
	w.mu.Lock()
	w.unreachable[id] = true
	w.mu.Unlock()
	w.testEnginePool().suspect(id)
}

func (w *testGateway) testEnginePool() *enginePool {
	return w.enginePool(engineService, w.Tables.Current().Services[0].Engine)
}

// Engines end while the store is unreachable, so the list still contains them,
// and seconds later another engine gives notice. A generation that is copied to
// an ended engine would be lost.
func TestGoneEngineGetsNoCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.Tables.Current().Services[0].Engine.Backups = false
		writer, done := w.startStream(2, 3)
		_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
		synctest.Wait()
		from := w.runsOf("q")[0].endpoint
		d, ticket, _ := w.runsOf("q")[0].reserveDestination(from, true)
		w.testEnginePool().release(ticket, 0, false)
		w.makeUnreachable(d.ID)     // the engine that would be chosen
		time.Sleep(5 * time.Second) // longer than an engine is avoided after one failure
		w.Roster.MarkLeaving(from.ID, from.Born, roster.FromReport)
		w.refreshEnginePools()
		w.protectRunsAt(from, roster.FromReport)
		time.Sleep(protectPause)
		_ = writer.CloseWithError(errors.New("connection reset"))
		require.Equal(t, strings.Fields("1 2 3"), eventIDs(<-done))
		require.Len(t, w.moves, 1)
		require.NotEqual(t, d.ID, w.moves[0].To.ID)
	})
}

// The engine chosen for a copy has ended, which no instance has detected yet.
// The copy must go to another engine while the notice lasts.
func TestCopyGoesToAnotherEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.Tables.Current().Services[0].Engine.Backups = false
		w.move = func(m Move) (Moved, error) {
			time.Sleep(300 * time.Millisecond)
			w.mu.Lock()
			defer w.mu.Unlock()
			if len(w.moves) == 1 {
				w.unreachable[m.To.ID] = true
			}
			return Moved{Handle: "h", Failed: w.unreachable[m.To.ID]}, nil
		}
		writer, done := w.startStream(2, 3)
		_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
		synctest.Wait()
		w.announceLeave(roster.FromReport)
		time.Sleep(time.Second)
		_ = writer.CloseWithError(errors.New("connection reset"))
		require.Equal(t, strings.Fields("1 2 3"), eventIDs(<-done))
		require.Len(t, w.moves, 2)
		require.NotEqual(t, w.moves[0].To.ID, w.moves[1].To.ID)
	})
}

// The engine of the copy has ended when the run's own engine gives notice. The
// run must get a new copy.
func TestCopyAtAGoneEngineIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		writer, done := w.startStream(2, 3)
		_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
		synctest.Wait()
		r := w.runsOf("q")[0]
		from, backup := r.endpoint, r.usableCopy().endpoint
		w.makeUnreachable(backup.ID)
		synctest.Wait()
		w.Roster.MarkLeaving(from.ID, from.Born, roster.FromList)
		w.refreshEnginePools()
		w.protectRunsAt(from, roster.FromReport)
		time.Sleep(protectPause)
		require.NotNil(t, r.usableCopy())
		require.NotEqual(t, backup.ID, r.usableCopy().endpoint.ID)
		_ = writer.CloseWithError(errors.New("connection reset"))
		require.Equal(t, strings.Fields("1 2 3"), eventIDs(<-done))
	})
}

// An engine that another instance reports as unreachable must be probed, and
// stay in use if it answers: the fault may be in the link between the two.
func TestFindingOfAnotherInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		d := w.testEnginePool()
		w.onNotice(loads.Notice{Endpoint: "e1", Gone: true})
		synctest.Wait()
		require.Equal(t, 1, w.reports)
		require.False(t, d.isDown("e1"))
		w.unreachable["e1"] = true
		w.onNotice(loads.Notice{Endpoint: "e1", Gone: true})
		w.onNotice(loads.Notice{Endpoint: "e1", Gone: true})
		synctest.Wait()
		require.True(t, d.isDown("e1"))
		require.Empty(t, w.notices, "a finding of another instance must not be sent on")
		w.mu.Lock()
		w.unreachable["e1"] = false
		w.mu.Unlock()
		time.Sleep(maxCheckPause)
		require.False(t, d.isDown("e1"), "an engine that can be reached again must be used again")
		w.makeUnreachable("e2")
		synctest.Wait()
		require.Equal(t, loads.Notice{Endpoint: "e2", Gone: true}, <-w.notices)
	})
}

// Engines give notice while the store is unreachable, and each instance polls
// them at its own times. The finding of one instance is used by all, but only
// for the start of the engine process that it refers to.
func TestNoticeOfAnotherInstance(t *testing.T) {
	w := newTestGateway(t)
	var sources []string
	w.Roster.OnLeaving = func(_ roster.Endpoint, source string) { sources = append(sources, source) }
	w.Roster.Set(roster.Endpoint{ID: "e9", Service: engineService, Born: 20})
	w.onNotice(loads.Notice{Endpoint: "e9", Born: 10, Leaving: true})
	w.onNotice(loads.Notice{Endpoint: "unknown", Leaving: true})
	e, _ := w.Roster.Get("e9")
	require.False(t, e.Leaving)
	w.onNotice(loads.Notice{Endpoint: "e9", Born: 20, Leaving: true})
	w.onNotice(loads.Notice{Endpoint: "e9", Born: 20, Leaving: true})
	e, _ = w.Roster.Get("e9")
	require.True(t, e.Leaving)
	require.Equal(t, []string{roster.FromInstance}, sources)
}

// Only notices that this instance received from an endpoint itself are sent on.
// The other instances also see a notice from the list there.
func TestOnlyOwnFindingsAreSent(t *testing.T) {
	w := newTestGateway(t)
	for _, source := range []string{roster.FromList, roster.FromInstance, roster.FromAddress} {
		w.onEndpointLeaves(roster.Endpoint{ID: "e1"}, source)
	}
	require.Empty(t, w.notices)
	w.onEndpointLeaves(roster.Endpoint{ID: "e1", Born: 3}, roster.FromReport)
	require.Equal(t, loads.Notice{Endpoint: "e1", Born: 3, Leaving: true}, <-w.notices)
}

// Probes of an unreachable engine are limited in number and end when the engine
// leaves the list.
func TestChecksEndWithTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.makeUnreachable("e1")
		time.Sleep(time.Minute)
		w.mu.Lock()
		asked := w.reports
		w.mu.Unlock()
		require.Less(t, asked, 40)
		require.True(t, w.testEnginePool().isDown("e1"))
		w.Roster.Remove("e1")
		time.Sleep(2 * maxCheckPause)
		require.False(t, w.testEnginePool().isDown("e1"))
		before := w.reports
		time.Sleep(time.Minute)
		require.Equal(t, before, w.reports)
		require.False(t, slices.ContainsFunc(w.Roster.List(engineService), func(e roster.Endpoint) bool { return e.ID == "e1" }))
	})
}
