package gateway

import (
	"slices"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/version/routing"
)

type (
	// waitCounter counts waiting requests by the regions that they may use.
	waitCounter struct {
		mu   sync.Mutex
		sets []waitSet
	}

	waitSet struct {
		regions routing.Regions
		n       int
	}
)

// add adds to the number of waiting requests that may use certain regions.
func (c *waitCounter) add(regions routing.Regions, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.sets, func(s waitSet) bool {
		return (s.regions == nil) == (regions == nil) && slices.Equal(s.regions, regions)
	})
	if i < 0 {
		i, c.sets = len(c.sets), append(c.sets, waitSet{regions: regions})
	}
	if c.sets[i].n += n; c.sets[i].n == 0 {
		c.sets = slices.Delete(c.sets, i, i+1)
	}
}

// competing returns the number of waiting requests that may use one of the given regions.
func (c *waitCounter) competing(regions routing.Regions) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sets {
		if both := regions.Intersect(s.regions); both == nil || len(both) > 0 {
			n += s.n
		}
	}
	return n
}

// allows reports whether a request may be sent to an endpoint: whether its route and its
// account allow the region of the endpoint.
func (g *Gateway) allows(j *job, e roster.Endpoint) bool {
	return j.regions.Allows(g.Settings.RegionOf(e.Place))
}

// isAllowed reports whether the run may continue at an endpoint: whether its row does not name
// a place in another region by now.
func (r *run) isAllowed(e roster.Endpoint) bool {
	now, ok := r.g.Roster.Get(e.ID)
	return !ok || r.g.allows(r.j, now)
}

// allowed returns the endpoints of a list to which a request may be sent. It does not
// change the list.
func (g *Gateway) allowed(j *job, list []roster.Endpoint) []roster.Endpoint {
	if j.regions == nil {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(e roster.Endpoint) bool { return !g.allows(j, e) })
}

// endpointsFor returns the endpoints of the service of a request to which the request may
// be sent.
func (g *Gateway) endpointsFor(j *job) []roster.Endpoint {
	return g.allowed(j, g.Roster.List(j.service))
}

// checkRegions returns the refusal of a request whose service has endpoints, but none in the
// regions that the request may use, nil otherwise.
func (g *Gateway) checkRegions(j *job) *refusal.Error {
	if j.regions == nil {
		return nil
	}
	list := g.Roster.List(j.service)
	if len(list) == 0 || slices.ContainsFunc(list, func(e roster.Endpoint) bool { return g.allows(j, e) }) {
		return nil
	}
	detail := "no endpoint of service " + j.service + " is in the regions that the request may use: " + strings.Join(j.regions, ", ")
	if len(j.regions) == 0 {
		detail = "the route and the account of the request have no region in common"
	}
	f := refusal.New(refusal.Region, refusal.NotRun, detail)
	f.RetryAt = g.returnTime(j)
	g.logDecision(j, "not_placed", logrus.Fields{
		"reason": f.Reason, "service": j.service, "regions": strings.Join(j.regions, ","), "endpoints": len(list),
	})
	return f
}
