package entry

import (
	"expvar"

	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// The counters belong to the process, not to one entry, because tests run
// several entries in one process and expvar allows each name only once.
var (
	requests  = expvar.NewMap("requests")         // completed requests by service
	delivered = expvar.NewInt("tokens")           // tokens sent to callers
	resumed   = expvar.NewInt("resumed")          // streams that callers resumed at this process
	reread    = expvar.NewInt("reconnects")       // new connections to an engine for a running stream
	held      = expvar.NewInt("held")             // requests that waited in the queue of the entry for an endpoint
	handed    = expvar.NewInt("moved")            // requests handed over to other entries at the end of a graceful stop
	regions   = expvar.NewMap("interregionbytes") // bytes to and from engines of other regions by service
)

// countEnd counts a request that ended with err.
func countEnd(service string, err error) {
	requests.Add(service, 1)
	if err != nil && refusal.From(err).Reason == refusal.Stopping {
		handed.Add(1)
	}
}
