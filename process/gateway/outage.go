package gateway

import (
	"context"
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/mirror"
)

// In an outage of the store, its calls would grow with the number of instances that try
// to reach it again. Each instance of a region finds out for itself that the store is
// away. From then on only the first few in the order of a table poll it. The others await
// those, and seldom ask the store all the same, in case only these few cannot reach it.

const (
	outageReaders = 3  // instances of a region that poll the store for a table in an outage
	probeShare    = 16 // one in so many polls of the other instances goes to the store
)

// errStoreLost reports that the polled instance cannot reach the store either.
var errStoreLost = errors.New("peer has lost the store")

// pollInOutage makes a poll while this instance and the one that it polls, source, have lost
// the store. It fails with errStoreLost if none of those that poll the store reaches it
// within peerWait, and with errNotFollowing if this instance has to poll the store itself.
func (g *Gateway) pollInOutage(ctx context.Context, source member.Member, f *feed, poll Poll) (mirror.Page, error) {
	before := placesBefore(g.id, f.table.Name, g.aliveNear(nil))
	if len(before) < outageReaders || rand.IntN(probeShare) == 0 {
		return mirror.Page{}, errNotFollowing
	}
	poll.Wait = 0
	for _, reader := range before[:outageReaders] {
		if reader.ID == source.ID {
			continue
		}
		if page, err := g.request(ctx, reader.Member, f, poll); err == nil {
			f.avoidPeer(source.ID)
			return page, nil
		}
	}
	poll.Wait, poll.Await = peerWait, true
	page, err := g.request(ctx, source, f, poll)
	if errors.Is(err, errStoreLost) {
		err = errors.Mark(err, mirror.ErrWaited)
	}
	return page, err
}

// listInOutage reads a whole table from another instance while this one has lost the store.
// It returns false if the table has to be read from the store.
func (g *Gateway) listInOutage(ctx context.Context, f *feed) (_ mirror.Page, ok bool, _ error) {
	if !f.storeLost() {
		return mirror.Page{}, false, nil
	}
	source, ok := g.feedSource(f)
	if !ok {
		return mirror.Page{}, false, nil
	}
	page, err := g.pollInOutage(ctx, source, f, f.wholePoll())
	switch {
	case err == nil:
		counters.Add("tables_from_peers", 1)
		return page, true, nil
	case errors.Is(err, errStoreLost):
		return mirror.Page{}, true, err
	case !errors.Is(err, errNotFollowing):
		f.avoidPeer(source.ID)
	}
	return mirror.Page{}, false, nil
}
