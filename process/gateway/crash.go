package gateway

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/process/quarantine"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
)

const crashProbes = 3 // connections that are tried after an endpoint ended one: kept ones may have ended as well

// crash is a request at an endpoint that ended its connection without an answer.
type crash struct {
	j            *job
	endpoint     roster.Endpoint
	since, ended time.Time
	begun        bool
	parts        []uint64
}

func (c crash) id() uint64 {
	return quarantine.ID(c.endpoint.ID, strconv.FormatInt(c.endpoint.Born, 10))
}

// reportCrash reports a request as a suspect if its endpoint has crashed, and reports
// whether it has. If that is not known, the request is reported once it becomes known,
// within quarantine.ConfirmTime.
func (g *Gateway) reportCrash(c crash) bool {
	crashed, known := g.hasCrashed(c.endpoint)
	switch {
	case !known:
		g.unconfirmed.Add(c, c.ended)
		g.confirmCrashes()
		return false
	case crashed:
		g.suspect(c)
	}
	return crashed
}

// suspect records a request as one that was at an endpoint when it crashed.
func (g *Gateway) suspect(c crash) {
	counters.Add("crash_suspects", 1)
	g.logDecision(c.j, "crash_suspect", logrus.Fields{
		"endpoint": c.endpoint.ID, "answering": c.begun, "parts": c.j.Parts, "digest": formatKey(c.j.identity),
	})
	g.quarantine.Report(quarantine.Suspect{
		Crash: c.id(), Request: c.j.identity, Since: c.since, Ended: c.ended, Begun: c.begun, Parts: c.parts,
	}, time.Now())
}

// hasCrashed reports whether an endpoint that has just ended a connection is gone
// without notice, and whether that is known: its host refuses a new connection, or it has
// started again. One that is silent or cut off may be running, and one that answers has
// only closed the connection.
func (g *Gateway) hasCrashed(e roster.Endpoint) (crashed, known bool) {
	now, ok := g.Roster.Get(e.ID)
	if !ok || now.Leaving {
		return false, true
	}
	for range crashProbes {
		born, err := g.probe(g.base, e)
		switch {
		case errors.Is(err, ErrRefused):
			return true, true
		case err == nil && born != 0 && e.Born != 0:
			return born > e.Born, true
		case err == nil || errors.Is(err, ErrUnreachable):
			return false, false
		}
	}
	return false, false
}

// confirmCrashes reports the requests at endpoints of which it is known by now that they
// have crashed: the list shows a later start, or another instance has seen the crash.
func (g *Gateway) confirmCrashes() {
	confirmed := g.unconfirmed.Take(time.Now(), func(c crash) bool {
		now, ok := g.Roster.Get(c.endpoint.ID)
		return ok && now.Born > c.endpoint.Born && c.endpoint.Born != 0 || g.quarantine.HasCrash(c.id(), c.ended)
	})
	for _, c := range confirmed {
		g.suspect(c)
	}
}
