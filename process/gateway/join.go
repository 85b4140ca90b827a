package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/mirror"
)

const (
	manyRegistered = 20                     // instances of a region, from which on most of those that start take the tables from others
	readerShare    = 8                      // one in so many reads the tables from the store all the same
	wholeTime      = 400 * time.Millisecond // after the start in which a table may come from another instance
	wholeWait      = 150 * time.Millisecond // for another instance to have read it
)

// listFromPeer reads a whole table from another instance of the region, if this one has just
// started and many are registered there: when all of them start together, each call to the
// store that each of them makes counts. It returns false if the table has to be read from
// the store.
func (g *Gateway) listFromPeer(ctx context.Context, f *feed) (mirror.Page, bool) {
	if !f.unanswered() || rand.IntN(readerShare) == 0 {
		return mirror.Page{}, false
	}
	f.setJoining(true)
	defer f.setJoining(false)
	asked := map[string]bool{}
	for time.Since(g.begun) < wholeTime {
		if n, known := g.registeredNear(); known && n < manyRegistered {
			return mirror.Page{}, false
		}
		near := g.aliveNear(asked)
		if len(near) == 0 {
			if !sleep.For(ctx, joinPause) {
				return mirror.Page{}, false
			}
			continue
		}
		m := near[rand.IntN(len(near))]
		asked[m.ID] = true
		if page, err := g.request(ctx, m, f, f.wholePoll()); err == nil {
			counters.Add("tables_from_peers", 1)
			return page, true
		}
	}
	return mirror.Page{}, false
}

// registeredNear returns the number of rows of instances of the region, and whether the rows
// have been read.
func (g *Gateway) registeredNear() (n int, known bool) {
	n = int(g.nearRows.Load())
	return n - 1, n > 0
}

// aliveNear returns the other live instances of the region that are not in a set.
func (g *Gateway) aliveNear(without map[string]bool) []member.Member {
	return slices.DeleteFunc(slices.Clone(g.listMembers()), func(m member.Member) bool {
		return m.Region != g.Settings.Region || m.ID == g.id || m.Leaving || without[m.ID] || g.memberStatus(m.ID) != member.Alive
	})
}
