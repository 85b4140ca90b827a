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

// lose makes an engine unreachable that has just broken a stream.
func (w *world) lose(id string) {
	w.mu.Lock()
	w.gone[id] = true
	w.mu.Unlock()
	w.deskOf().suspect(id)
}

func (w *world) deskOf() *desk {
	return w.desk(engineService, w.Tables.Current().Services[0].Engine)
}

// Pattern: engines end without notice while the store is away, so that the list
// goes on showing them, and another engine gives notice seconds later. Copies to
// an engine that is gone lose the generation.
func TestGoneEngineGetsNoCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.Tables.Current().Services[0].Engine.Backups = false
		writer, done := w.stream(2, 3)
		_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
		synctest.Wait()
		from := w.runsOf("q")[0].endpoint
		d, ticket, _ := w.runsOf("q")[0].destination(from)
		w.deskOf().done(ticket, 0, false)
		w.lose(d.ID)                // which would be chosen
		time.Sleep(5 * time.Second) // longer than the time for which an engine that failed once is avoided
		w.Roster.MarkLeaving(from.ID, roster.FromReport)
		w.refreshDesks()
		w.evacuate(from, roster.FromReport)
		time.Sleep(protectPause)
		_ = writer.CloseWithError(errors.New("connection reset"))
		require.Equal(t, strings.Fields("1 2 3"), ids(<-done))
		require.Len(t, w.moves, 1)
		require.NotEqual(t, d.ID, w.moves[0].To.ID)
	})
}

// Pattern: the engine that is chosen for a copy is gone, which nobody has seen
// yet. The notice leaves time for another one.
func TestCopyGoesToAnotherEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.Tables.Current().Services[0].Engine.Backups = false
		w.move = func(m Move) (Moved, error) {
			time.Sleep(300 * time.Millisecond)
			w.mu.Lock()
			defer w.mu.Unlock()
			if len(w.moves) == 1 {
				w.gone[m.To.ID] = true
			}
			return Moved{Handle: "h", Failed: w.gone[m.To.ID]}, nil
		}
		writer, done := w.stream(2, 3)
		_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
		synctest.Wait()
		w.notice(roster.FromReport)
		time.Sleep(time.Second)
		_ = writer.CloseWithError(errors.New("connection reset"))
		require.Equal(t, strings.Fields("1 2 3"), ids(<-done))
		require.Len(t, w.moves, 2)
		require.NotEqual(t, w.moves[0].To.ID, w.moves[1].To.ID)
	})
}

// Pattern: the copy's engine is gone when the run's own engine gives notice. The
// copy must not be counted on.
func TestCopyAtAGoneEngineIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		writer, done := w.stream(2, 3)
		_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
		synctest.Wait()
		r := w.runsOf("q")[0]
		from, backup := r.endpoint, r.safe().endpoint
		w.lose(backup.ID)
		synctest.Wait()
		w.Roster.MarkLeaving(from.ID, roster.FromList)
		w.refreshDesks()
		w.evacuate(from, roster.FromReport)
		time.Sleep(protectPause)
		require.NotNil(t, r.safe())
		require.NotEqual(t, backup.ID, r.safe().endpoint.ID)
		_ = writer.CloseWithError(errors.New("connection reset"))
		require.Equal(t, strings.Fields("1 2 3"), ids(<-done))
	})
}

// The word of another instance makes an engine be asked, and takes nothing from
// one that answers: the link between the two may be at fault.
func TestWordOfAnotherInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		d := w.deskOf()
		w.told(loads.News{Endpoint: "e1", Gone: true})
		synctest.Wait()
		require.Equal(t, 1, w.asked)
		require.False(t, d.isDown("e1"))
		w.gone["e1"] = true
		w.told(loads.News{Endpoint: "e1", Gone: true})
		w.told(loads.News{Endpoint: "e1", Gone: true})
		synctest.Wait()
		require.True(t, d.isDown("e1"))
		require.Empty(t, w.news, "what another instance said is not said on")
		w.mu.Lock()
		w.gone["e1"] = false
		w.mu.Unlock()
		time.Sleep(checkMost)
		require.False(t, d.isDown("e1"), "an engine that comes back is used again")
		w.lose("e2")
		synctest.Wait()
		require.Equal(t, loads.News{Endpoint: "e2", Gone: true}, <-w.news)
	})
}

// Pattern: engines give notice while the store is away, and each instance asks
// them in its own time. What one of them learns is of use to all, but only for the
// start of the engine that it is about.
func TestNoticeOfAnotherInstance(t *testing.T) {
	w := newWorld(t)
	var sources []string
	w.Roster.OnLeaving = func(_ roster.Endpoint, source string) { sources = append(sources, source) }
	w.Roster.Set(roster.Endpoint{ID: "e9", Service: engineService, Born: 20})
	w.told(loads.News{Endpoint: "e9", Born: 10, Leaving: true})
	w.told(loads.News{Endpoint: "unknown", Leaving: true})
	e, _ := w.Roster.Get("e9")
	require.False(t, e.Leaving)
	w.told(loads.News{Endpoint: "e9", Born: 20, Leaving: true})
	w.told(loads.News{Endpoint: "e9", Born: 20, Leaving: true})
	e, _ = w.Roster.Get("e9")
	require.True(t, e.Leaving)
	require.Equal(t, []string{roster.FromInstance}, sources)
}

// A notice that came from the list reaches other instances from there.
func TestOnlyOwnFindingsAreTold(t *testing.T) {
	w := newWorld(t)
	for _, source := range []string{roster.FromList, roster.FromInstance, roster.FromAddress} {
		w.leaves(roster.Endpoint{ID: "e1"}, source)
	}
	require.Empty(t, w.news)
	w.leaves(roster.Endpoint{ID: "e1", Born: 3}, roster.FromReport)
	require.Equal(t, loads.News{Endpoint: "e1", Born: 3, Leaving: true}, <-w.news)
}

// An engine that nobody can reach is not asked without end after it has left.
func TestChecksEndWithTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.lose("e1")
		time.Sleep(time.Minute)
		w.mu.Lock()
		asked := w.asked
		w.mu.Unlock()
		require.Less(t, asked, 40)
		require.True(t, w.deskOf().isDown("e1"))
		w.Roster.Remove("e1")
		time.Sleep(2 * checkMost)
		require.False(t, w.deskOf().isDown("e1"))
		before := w.asked
		time.Sleep(time.Minute)
		require.Equal(t, before, w.asked)
		require.False(t, slices.ContainsFunc(w.Roster.List(engineService), func(e roster.Endpoint) bool { return e.ID == "e1" }))
	})
}
