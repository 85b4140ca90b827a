package entry

import (
	"expvar"

	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// The counters belong to the process, not to one entry, because tests run
// several entries in one process and expvar allows each name only once.
var (
	requests         = expvar.NewMap("requests")         // ended requests by service
	delivered        = expvar.NewInt("tokens")           // tokens sent to callers
	resumed          = expvar.NewInt("resumed")          // streams that callers resumed at this process
	reconnects       = expvar.NewInt("reconnects")       // new connections to an engine for a running stream
	held             = expvar.NewInt("held")             // requests that waited in the queue of the entry for an endpoint
	handedOver       = expvar.NewInt("moved")            // requests handed over to other entries at the end of a graceful stop
	judged           = expvar.NewMap("quarantine")       // suspects and verdicts on requests that crash endpoints
	interRegionBytes = expvar.NewMap("interregionbytes") // bytes to and from engines of other regions by service
)

// countRequest counts a request that ended with err.
func countRequest(service string, err error) {
	requests.Add(service, 1)
	if err != nil && refusal.From(err).Reason == refusal.Stopping {
		handedOver.Add(1)
	}
}
