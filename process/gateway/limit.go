package gateway

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/process/roster"
)

// send sends a call to an endpoint and records the limit that its answer names.
func (g *Gateway) send(ctx context.Context, c Call) (*Answer, error) {
	answer, err := g.Backend.Send(ctx, c)
	if err == nil {
		g.recordLimit(c.Endpoint, answer)
	}
	return answer, err
}

// recordLimit logs when the limit that an endpoint names in its answers changes.
func (g *Gateway) recordLimit(e roster.Endpoint, a *Answer) {
	if a.InvalidLimit != "" {
		counters.Add("limits_invalid", 1)
	}
	if a.AddressReused {
		return // another endpoint answered
	}
	if a.Limit == nil {
		if _, named := g.namedLimits.LoadAndDelete(e.ID); named {
			g.Log.WithFields(logrus.Fields{"event": "limit_ended", "endpoint": e.ID}).Info("endpoint no longer names a limit")
		}
		return
	}
	if old, named := g.namedLimits.Swap(e.ID, *a.Limit); !named || old != *a.Limit {
		g.Log.WithFields(logrus.Fields{"event": "limit_named", "endpoint": e.ID, "rate": *a.Limit}).Info("endpoint names a limit")
	}
}
