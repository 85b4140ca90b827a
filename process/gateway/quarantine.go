package gateway

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/process/loads"
	"github.com/eelgrassdock/eelgrassdock/process/quarantine"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

var errCondemned = errors.New("the request or a part of its prompt was condemned")

// Details of refusals.
const (
	partCrashes    = "a part of the prompt has crashed engines"
	requestCrashes = "the request has crashed endpoints that ran it"
)

// attemptState tells how far an attempt of a run has come.
type attemptState struct {
	since     time.Time // when the attempt was sent, or its head received
	answering bool      // the engine has sent the head of its answer
	passed    bool      // an event was passed on
	closed    bool      // the engine has closed its connection
	lost      bool      // it was ended because the engine has ended or does not answer
}

// watchSuspects connects the register of suspects to the log and to the exchange
// with the other instances.
func (g *Gateway) watchSuspects() {
	g.quarantine.Changed = g.onVerdict
	g.quarantine.Unsent = g.sendUpdates
}

// suspectUpdates returns the datagrams that tell the other instances what the
// register has to send.
func (g *Gateway) suspectUpdates(all bool) (datagrams [][]byte) {
	updates, err := g.quarantine.Updates(all, time.Now())
	if err != nil {
		g.Log.WithError(err).Error("suspects cannot be encoded")
	}
	for _, u := range updates {
		datagrams = append(datagrams, loads.Suspects(u))
	}
	return datagrams
}

// onSuspects handles an update of another instance.
func (g *Gateway) onSuspects(data []byte) {
	if err := g.quarantine.Merge(data, time.Now()); err != nil {
		counters.Add("suspects_malformed", 1)
	}
	g.confirmCrashes()
}

func (g *Gateway) onVerdict(c quarantine.Change) {
	fields := logrus.Fields{"verdict": c.Reason, "trials": c.Level - 1, "hold": time.Until(c.Until).Milliseconds()}
	if c.Request {
		counters.Add("requests_"+c.Reason, 1)
		g.Log.WithFields(logrus.Fields{"event": "request_judged", "digest": formatKey(c.Key)}).WithFields(fields).
			Warn("verdict on a request that has crashed endpoints")
	} else {
		counters.Add("parts_"+c.Reason, 1)
		g.Log.WithFields(logrus.Fields{"event": "part_judged", "part": formatKey(c.Key)}).WithFields(fields).
			Warn("verdict on a part of prompts")
	}
	switch {
	case c.Reason != quarantine.Condemned && c.Reason != quarantine.Adopted:
	case c.Request:
		g.spawn(func() {
			if sleep.For(g.base, quarantine.WithdrawDelay) && g.quarantine.IsAlone(c.Key) {
				g.withdraw(c.Key)
			}
		})
	default:
		g.withdraw(c.Key)
	}
}

func formatKey(key uint64) string { return strconv.FormatUint(key, 16) }

// withdraw ends the attempts of requests with a key that was condemned after they were
// sent, as long as they are not being answered: their endpoints may not have begun to
// run them.
func (g *Gateway) withdraw(key uint64) {
	g.runs.each(func(r *run) {
		if r.events == 0 && r.withdraw != nil && slices.Contains(r.keys, key) {
			r.withdraw(errCondemned)
		}
	})
	g.calls.withdraw(key)
}

// isWithdrawn reports whether an attempt was ended by withdraw.
func isWithdrawn(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errCondemned) }

// withdrawn returns the refusal of a withdrawn attempt. Its engine may have run it.
func (r *run) withdrawn(a *attempt) error {
	r.logAttempt("withdrawn", a, logrus.Fields{"parts": r.j.Parts, "digest": formatKey(r.j.identity)})
	return r.finalError(refusal.New(refusal.Quarantined, refusal.Unknown, r.g.crashDetail(r.j)))
}

// crashDetail returns the detail of the refusal of a request in quarantine.
func (g *Gateway) crashDetail(j *job) string {
	if _, held := g.quarantine.Held([]uint64{j.identity}); held {
		return requestCrashes
	}
	return partCrashes
}

// checkQuarantine returns a refusal if the request, or a part of its prompt, crashes
// engines, and releases the room of attempt a, which is nil before the request waits for
// an engine. A request that is admitted as a trial is sent once. A run that has passed
// events continues: it has shown that it is sound where it began.
func (r *run) checkQuarantine(a *attempt) error {
	_, held := r.g.quarantine.Held(r.keys)
	switch {
	case !held, r.headWritten:
		return nil
	case a == nil && r.g.quarantine.Try(r.keys, r.g.trialRank, time.Now()):
		r.trial, r.onTrial = true, true
		return nil
	case a != nil && r.trial:
		r.trial = false
		return nil
	}
	if a != nil {
		r.enginePool.release(a.ticket, 0, false)
	}
	return refusal.Downgrade(r.g.refuseQuarantined(r.j, r.keys), r.sends > 0)
}

// refuseQuarantined returns the refusal of a request with condemned keys.
func (g *Gateway) refuseQuarantined(j *job, keys []uint64) *refusal.Error {
	now := time.Now()
	until := g.quarantine.Refuse(keys, now)
	f := refusal.New(refusal.Quarantined, refusal.NotRun, g.crashDetail(j))
	if f.RetryAt = retryTime(now); until.After(f.RetryAt) {
		f.RetryAt = until
	}
	g.logDecision(j, "quarantined", logrus.Fields{
		"digest": formatKey(j.identity), "detail": f.Detail, "parts": j.Parts, "retry_ms": f.RetryAt.Sub(now).Milliseconds(),
	})
	return f
}

// endTrial gives a trial back if the request was not run: no engine had room, or the
// caller left. The parameter err is the result of the request.
func (r *run) endTrial(err error) {
	if r.onTrial {
		r.g.endTrial(r.keys, err)
	}
}

func (g *Gateway) endTrial(keys []uint64, err error) {
	if err != nil && !errors.Is(err, ErrCut) && refusal.From(err).Outcome == refusal.NotRun {
		g.quarantine.Return(keys, time.Now())
	}
}

// trialRank returns the position of this instance in the order in which the live
// instances may try a key again. All instances that know the same members compute
// the same order.
func (g *Gateway) trialRank(key uint64) (rank int) {
	if g.listMembers == nil {
		return 0
	}
	text := formatKey(key)
	own := quarantine.ID(g.id, text)
	for _, m := range g.listMembers() {
		if m.ID != g.id && quarantine.ID(m.ID, text) < own {
			rank++
		}
	}
	return rank
}

// noteSurvival records that an engine has survived the request, at the first event of an
// attempt or with its plain answer. The attempt is then not withdrawn.
func (r *run) noteSurvival() {
	if r.current.passed {
		return
	}
	r.current.passed = true
	r.mu.Lock()
	r.withdraw = nil
	r.mu.Unlock()
	r.g.quarantine.Begun(r.keys, time.Now())
}

// checkCrash reports the run as a suspect if its engine ended the connection of an
// attempt before the first event and has crashed. It waits for the result if the
// engine had begun to answer, and then reports whether it has crashed.
func (r *run) checkCrash(a *attempt, f *refusal.Error) bool {
	state, ended := r.current, time.Now()
	if f.Reason != refusal.Broken || state.passed {
		return false
	}
	c := crash{
		j: r.j, endpoint: a.endpoint, since: state.since, ended: ended, begun: state.answering, parts: r.parts,
	}
	if state.answering {
		return r.g.reportCrash(c)
	}
	r.g.spawn(func() { r.g.reportCrash(c) })
	return false
}
