package gateway

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// An operator evacuates a place by a row in the store. Its endpoints are closed until the
// row is deleted: nothing new is sent there, but what runs there goes on. Nothing at all
// may reach them from Settings.Evacuation after the store has acknowledged the row.

const (
	// defaultEvacuation stands for Settings.Evacuation if that is 0 and a place is
	// evacuated all the same; the users' figure for the deployments that have evacuations.
	defaultEvacuation = 5 * time.Second
	// orderShare is the share of Settings.Evacuation, counted from when the row can have been
	// written, for which orders for runs, reports and probes are still sent to a place. The
	// other half is for the time until the row is known, and for calls under way.
	orderShare = 0.5
	// awayShare is the share of Settings.Evacuation over which an instance starts to copy
	// the runs of a place: all instances learn of the row nearly at once. It leaves 1.5 s
	// of the 2.5 s for orders; an engine makes one copy at a time.
	awayShare = 0.2
	// freezeTime is the length of a stall of this process after which it sends nothing until
	// a later poll of the table is answered. Beside the age that the table has at the most
	// in its absence, feedMaxAge, it is within the users' 5 s.
	freezeTime = time.Second
)

var (
	// ErrClosed marks the error of Backend.Send if Call.Closed reported that the endpoint
	// was closed. Nothing was sent.
	ErrClosed = errors.New("endpoint was closed before the request was sent")

	errEvacuated = errors.New("the place of the endpoint is evacuated")
)

// evacuation holds the places that are evacuated.
type evacuation struct {
	mu     sync.Mutex                           // serializes changes
	places atomic.Pointer[map[string]time.Time] // the earliest time at which the row can have been written
	known  bool                                 // from the store; until then a peer may tell
}

// since returns the earliest time at which the evacuation of a place can have been written,
// and whether it is evacuated.
func (x *evacuation) since(place string) (time.Time, bool) {
	places := x.places.Load()
	if places == nil {
		return time.Time{}, false
	}
	at, ok := (*places)[place]
	return at, ok
}

func (x *evacuation) all() map[string]time.Time {
	if places := x.places.Load(); places != nil {
		return *places
	}
	return nil
}

// SetEvacuated closes the endpoints of the places, and opens those of all other ones. The
// places are the present ones in the store.
func (g *Gateway) SetEvacuated(places map[string]bool) {
	f := g.feeds[g.configuration]
	g.setEvacuated(places, f.latestOrigin().source, f.age(), true)
}

// borrowEvacuated adds the evacuated places of another instance, until this one has read
// the store. Any other instance may be behind.
func (g *Gateway) borrowEvacuated(names []string, source string) {
	places := make(map[string]bool, len(names))
	for _, name := range names {
		places[name] = true
	}
	g.setEvacuated(places, source, feedMaxAge, false)
}

// evacuated returns the names of the evacuated places.
func (g *Gateway) evacuated() []string { return slices.Sorted(maps.Keys(g.evacuation.all())) }

func (g *Gateway) setEvacuated(places map[string]bool, source string, age time.Duration, stored bool) {
	x := &g.evacuation
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.known && !stored {
		return
	}
	x.known = x.known || stored
	old, now := x.all(), time.Now()
	if !stored {
		for place := range old {
			places[place] = true
		}
	}
	next := make(map[string]time.Time, len(places))
	for place := range places {
		at, ok := old[place]
		if !ok {
			at = now.Add(-age)
		}
		next[place] = at
	}
	x.places.Store(&next)
	if len(old) > 0 {
		g.coolOpened(places) // before they get requests
	}
	closed := g.Roster.SetEvacuated(places)
	for _, place := range slices.Sorted(maps.Keys(next)) {
		if _, ok := old[place]; !ok {
			g.logPlace(place, true, source, age)
		}
	}
	for _, place := range slices.Sorted(maps.Keys(old)) {
		if _, ok := next[place]; !ok {
			g.logPlace(place, false, source, age)
		}
	}
	if len(closed) > 0 {
		g.spawn(func() { g.clearEndpoints(closed) })
	}
}

// coolOpened records that the endpoints whose evacuation ends are cold.
func (g *Gateway) coolOpened(places map[string]bool) {
	g.coolEndpoints(slices.DeleteFunc(g.Roster.All(), func(e roster.Endpoint) bool {
		return e.Leaving || !e.Evacuated || places[e.Place]
	}))
}

// logPlace logs that a place was closed or opened, on information of an age.
func (g *Gateway) logPlace(place string, closed bool, source string, age time.Duration) {
	event := "place_closed"
	if !closed {
		event = "place_opened"
	}
	counters.Add(event, 1)
	runs, copies := 0, 0
	g.runs.each(func(r *run) {
		if r.endpoint.Place == place {
			runs++
		}
		if r.backup != nil && r.backup.endpoint.Place == place {
			copies++
		}
	})
	g.Log.WithFields(logrus.Fields{
		"event": event, "place": roster.Shorten(place), "source": source, "age": age.Milliseconds(), "runs": runs, "copies": copies,
	}).Warn("evacuated places changed")
}

// clearEndpoints drops the copies of runs at endpoints that were closed, and starts to copy
// the runs that were there, or have lost their copy, to others. The runs themselves go on.
func (g *Gateway) clearEndpoints(closed []roster.Endpoint) {
	ids := make(map[string]bool, len(closed))
	for _, e := range closed {
		ids[e.ID] = true
	}
	var list []*run
	lost := map[*run]*memoryCopy{}
	g.runs.each(func(r *run) {
		dropped := r.backup != nil && ids[r.backup.endpoint.ID]
		if dropped {
			lost[r] = r.backup
		}
		if dropped || ids[r.endpoint.ID] {
			list = append(list, r)
		}
	})
	for r, b := range lost {
		r.dropBackup(b)
	}
	// An engine transfers one copy at a time. The runs with the most remaining tokens are
	// the first.
	slices.SortFunc(list, func(a, b *run) int { return cmp.Compare(b.remaining(), a.remaining()) })
	each := time.Duration(float64(g.evacuationTime())*awayShare) / time.Duration(max(len(list), 1))
	for n, r := range list {
		g.spawn(func() {
			if sleep.For(g.base, time.Duration(n)*each+jitter(each+1)) {
				r.copyAway()
			}
		})
	}
}

// copyAway copies a run whose engine or whose copy was in a place that is evacuated.
func (r *run) copyAway() {
	r.mu.Lock()
	at, ended := r.endpoint, r.ended
	r.mu.Unlock()
	switch {
	case ended:
	case r.leaves(at):
		r.g.protectAll([]*run{r})
	default:
		r.copyEarly()
	}
}

// evacuationTime returns the time after which nothing may reach an evacuated place.
func (g *Gateway) evacuationTime() time.Duration {
	if ms := g.Settings.Evacuation; ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultEvacuation
}

// isClosed reports whether a request that was placed at an endpoint must not be sent there
// any more.
func (g *Gateway) isClosed(e roster.Endpoint) bool {
	if _, ok := g.evacuation.since(e.Place); ok {
		return true
	}
	now, ok := g.Roster.Get(e.ID)
	return ok && (now.Evacuated || now.Leaving && now.Born == e.Born)
}

// mayOrder reports whether an order for a run, or a request for a report, may be sent to
// an endpoint.
func (g *Gateway) mayOrder(e roster.Endpoint) bool {
	if _, doubtful := g.isDoubtful(); doubtful {
		return false
	}
	at, ok := g.evacuation.since(e.Place)
	return !ok || time.Since(at) < time.Duration(float64(g.evacuationTime())*orderShare)
}

// mayCopy reports whether an endpoint may be ordered to copy a run to another one.
func (g *Gateway) mayCopy(from, to roster.Endpoint) bool {
	_, evacuated := g.evacuation.since(to.Place)
	return !evacuated && g.mayOrder(from)
}

// isDoubtful reports whether a place may have been evacuated while this process stood still,
// and returns a channel that is closed when that can have changed.
func (g *Gateway) isDoubtful() (changed <-chan struct{}, doubtful bool) {
	f := g.feeds[g.configuration]
	if f == nil || g.Settings.Evacuation == 0 {
		return nil, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.asked.IsZero() {
		return nil, false
	}
	since := f.asked
	if f.lost { // a call that was under way during a freeze fails because of it
		since = later(since, f.failed)
	}
	return f.heard, time.Since(since)-g.Stalls.RanSince(since) >= freezeTime
}

// awaitPlaces waits, after this process stood still, until it knows the evacuated places
// again or that the store is away. It reports whether it had to wait.
func (g *Gateway) awaitPlaces(ctx context.Context) (waited bool, err error) {
	for ; ; waited = true {
		changed, doubtful := g.isDoubtful()
		if !doubtful {
			return waited, nil
		}
		counters.Add("waits_after_freeze", 1)
		select {
		case <-changed:
		case <-ctx.Done():
			return true, refusal.FromContext(ctx.Err())
		}
	}
}

// refuseClosed returns the error of a request that was not sent because its endpoint was
// closed, or because its grant was for an earlier time.
func refuseClosed() error {
	return errors.Mark(refusal.New(refusal.NoEndpoint, refusal.NotRun, ErrClosed.Error()), ErrClosed)
}

// areEvacuated reports whether all endpoints of a list are in places that are evacuated.
func areEvacuated(list []roster.Endpoint) bool {
	return !slices.ContainsFunc(list, func(e roster.Endpoint) bool { return !e.Evacuated })
}
