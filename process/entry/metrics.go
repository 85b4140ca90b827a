package entry

import (
	"expvar"

	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// The counters are those of the process. They are published once, because
// tests run several entries in one process.
var (
	requests  = expvar.NewMap("requests")         // by service
	delivered = expvar.NewInt("tokens")           // tokens passed on to callers
	resumed   = expvar.NewInt("resumed")          // streams that callers resumed here
	reread    = expvar.NewInt("reconnects")       // new connections to an engine for a running stream
	held      = expvar.NewInt("held")             // requests that waited at the entry for an endpoint
	handed    = expvar.NewInt("moved")            // streams handed over at the end of a stop
	regions   = expvar.NewMap("interregionbytes") // by service, bytes to and from engines of other regions
)

// countEnd counts how a request ended.
func countEnd(service string, err error) {
	requests.Add(service, 1)
	if err != nil && refusal.From(err).Reason == refusal.Stopping {
		handed.Add(1)
	}
}
