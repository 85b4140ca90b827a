package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
	"github.com/eelgrassdock/eelgrassdock/connection/service"
	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/quarantine"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/version/config"
)

const (
	// suspectsMark begins the datagrams that carry what entries know of deadly requests.
	// No datagram of the membership begins with it.
	suspectsMark = 'Q'
	// suspectsPeriod is the time between two rounds in which suspects and verdicts are
	// repeated, each time to suspectsFanout random entries. Verdicts spread from there.
	suspectsPeriod = time.Second
	suspectsFanout = 3
)

var errCondemned = errors.New("the request has crashed endpoints that ran it")

type (
	// candidate is a request as the quarantine sees it, from its admission to its end.
	candidate struct {
		e        *Entry
		act      *activity
		identity uint64
		parts    []uint64 // of the prompt, with the identity last; nil for a call
		keys     []uint64 // identity and parts
		onTrial  bool     // it is the one request that is admitted to learn whether it still crashes endpoints
		sent     bool     // on trial, and sent
	}

	// crash is a request at an endpoint that ended its connection without an answer.
	crash struct {
		candidate    *candidate
		service      string
		endpoint     string
		boot         string // of the endpoint's process, empty if it is not known
		since, ended time.Time
		begun        bool // the endpoint may have begun to run the request
	}

	// attempts lets a verdict end the attempts of a request that has no answer yet.
	attempts struct {
		identity uint64
		cancel   context.CancelCauseFunc
	}
)

// completionCandidate returns the candidate of a completion, and a context that ends if
// the request is condemned before its first token.
func (e *Entry) completionCandidate(ctx context.Context, c call, req CompletionRequest, act *activity) (context.Context, *candidate) {
	q := &candidate{e: e, act: act, identity: quarantine.Identity([]byte(req.Prompt), "completion", c.account.ID, req.Model, strconv.Itoa(req.Max))}
	for _, hash := range engine.PrefixHashes(req.Prompt) {
		q.parts = append(q.parts, quarantine.ID(req.Model, formatKey(hash)))
	}
	q.parts = append(q.parts, q.identity)
	q.keys = q.parts
	return q.watch(ctx)
}

// callCandidate is completionCandidate for the call of a plain service.
func (e *Entry) callCandidate(ctx context.Context, c call, s *config.Service, out service.Call, act *activity) (context.Context, *candidate) {
	q := &candidate{e: e, act: act, identity: quarantine.Identity(out.Body, "call", c.account.ID, s.ID, out.Method, out.Path)}
	q.keys = []uint64{q.identity}
	return q.watch(ctx)
}

func (q *candidate) watch(ctx context.Context) (context.Context, *candidate) {
	ctx, cancel := context.WithCancelCause(ctx)
	q.act.attempts.Store(&attempts{identity: q.identity, cancel: cancel})
	return ctx, q
}

// check returns a refusal if the request, or a part of its prompt, crashes endpoints. A
// request that is admitted as a trial is sent once.
func (q *candidate) check() error {
	register := &q.e.quarantine
	if _, held := register.Held(q.keys); !held || q.onTrial && !q.sent {
		return nil
	}
	now := q.e.now()
	if !q.onTrial && register.Try(q.keys, q.e.trialRank, now) {
		q.onTrial = true
		return nil
	}
	f := refusal.New(refusal.Quarantined, refusal.NotRun, "a part of the prompt has crashed engines")
	if _, held := register.Held([]uint64{q.identity}); held {
		f.Detail = errCondemned.Error()
	}
	f.RetryAt = now.Add(overloadWait)
	if until := register.Refuse(q.keys, now); until.After(f.RetryAt) {
		f.RetryAt = until
	}
	return f
}

// markSent records that the next attempt is being sent.
func (q *candidate) markSent() { q.sent = q.onTrial }

// survived records that an endpoint has answered the request, or begun to: it is no
// longer withdrawn.
func (q *candidate) survived() {
	q.act.attempts.Store(nil)
	q.e.quarantine.Begun(q.keys, q.e.now())
}

// end gives a trial back if the request did not run. The parameter err is its result.
func (q *candidate) end(err error) {
	q.act.attempts.Store(nil)
	if q.onTrial && err != nil && refusal.From(err).Outcome == refusal.NotRun {
		q.e.quarantine.Return(q.keys, q.e.now())
	}
}

// isWithdrawn reports whether a request was ended because it was condemned.
func isWithdrawn(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errCondemned) }

func (c crash) id() uint64 { return quarantine.ID(c.endpoint, c.boot) }

// noteCrash reports the request as a suspect if its endpoint has crashed. If that is not
// known, the request is reported once it becomes known, within quarantine.ConfirmTime.
func (e *Entry) noteCrash(c crash) {
	c.ended = e.now()
	switch crashed, known := e.hasCrashed(c); {
	case !known:
		e.unconfirmed.Add(c, c.ended)
		e.confirmCrashes()
	case crashed:
		e.suspectRequest(c)
	}
}

// suspectRequest records a request that was at an endpoint when it crashed.
func (e *Entry) suspectRequest(c crash) {
	judged.Add("suspects", 1)
	e.Log.WithFields(logrus.Fields{
		"event": "crash_suspect", "endpoint": c.endpoint, "answering": c.begun, "digest": formatKey(c.candidate.identity),
	}).Warn("endpoint crashed with a request that it had not answered")
	e.quarantine.Report(quarantine.Suspect{
		Crash: c.id(), Request: c.candidate.identity, Since: c.since, Ended: c.ended, Begun: c.begun, Parts: c.candidate.parts,
	}, e.now())
}

// hasCrashed reports whether an endpoint that has just ended a connection is gone without
// notice, and whether that is known: its host refuses a new connection, or another
// process has started there. One that is silent may be running.
func (e *Entry) hasCrashed(c crash) (crashed, known bool) {
	w := e.pool(c.service).findWatch(c.endpoint)
	if w == nil || w.leaving.Load() {
		return false, true
	}
	ctx, cancel := e.Stalls.WithTimeout(e.background, pollTimeout)
	defer cancel()
	boot, err := e.probe(ctx, c.service, w.endpoint.Addr)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return true, true
	case err != nil, boot == "" || c.boot == "":
		return false, false
	}
	return boot != c.boot, true
}

// probe returns what identifies the process of an endpoint, if it tells.
func (e *Entry) probe(ctx context.Context, id, addr string) (boot string, err error) {
	if s := e.config().Service(id); s != nil && s.Kind == config.KindPlain {
		h, err := (&service.Conn{Addr: addr, HTTP: e.polls}).Health(ctx)
		return h.Boot, err
	}
	r, err := (&engine.Conn{Addr: addr, HTTP: e.polls}).Load(ctx)
	return r.Boot, err
}

// confirmCrashes reports the requests at endpoints of which it is known by now that they
// have crashed: they report another start, or another entry has seen the crash.
func (e *Entry) confirmCrashes() {
	confirmed := e.unconfirmed.Take(e.now(), func(c crash) bool {
		w := e.pool(c.service).findWatch(c.endpoint)
		restarted := w != nil && c.boot != "" && w.boot() != "" && w.boot() != c.boot
		return restarted || e.quarantine.HasCrash(c.id(), c.ended)
	})
	for _, c := range confirmed {
		e.suspectRequest(c)
	}
}

// watchVerdicts connects the register of suspects to the log and to the exchange with the
// other entries.
func (e *Entry) watchVerdicts() {
	e.suspectsUnsent = make(chan struct{}, 1)
	e.quarantine.Changed = e.onVerdict
	e.quarantine.Unsent = func() {
		select {
		case e.suspectsUnsent <- struct{}{}:
		default:
		}
	}
}

func (e *Entry) onVerdict(c quarantine.Change) {
	kind := "part"
	if c.Request {
		kind = "request"
	}
	judged.Add(kind+"s_"+c.Reason, 1)
	e.Log.WithFields(logrus.Fields{
		"event": kind + "_judged", "digest": formatKey(c.Key), "verdict": c.Reason, "trials": c.Level - 1, "hold": c.Until.Sub(e.now()).Milliseconds(),
	}).Warn("verdict on requests that crash endpoints")
	if !c.Request || c.Reason != quarantine.Condemned && c.Reason != quarantine.Adopted {
		return
	}
	e.spawn(func() {
		if sleep.For(e.background, quarantine.WithdrawDelay) && e.quarantine.IsAlone(c.Key) {
			e.withdraw(c.Key)
		}
	})
}

// withdraw ends the attempts of a request that are not being answered.
func (e *Entry) withdraw(key uint64) {
	for _, a := range e.inFlight.all() {
		if w := a.attempts.Load(); w != nil && w.identity == key {
			w.cancel(errCondemned)
		}
	}
}

func formatKey(key uint64) string { return strconv.FormatUint(key, 16) }

// trialRank returns the position of this entry in the order in which the live entries may
// try a key again. All entries that know the same members compute the same order.
func (e *Entry) trialRank(key uint64) (rank int) {
	text := formatKey(key)
	own := quarantine.ID(e.id, text)
	for _, m := range e.members.Members() {
		if m.ID != e.id && quarantine.ID(m.ID, text) < own {
			rank++
		}
	}
	return rank
}

// runQuarantine exchanges suspects and verdicts with the other entries until ctx ends.
func (e *Entry) runQuarantine(ctx context.Context) error {
	ticker := time.NewTicker(suspectsPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.suspectsUnsent:
			if err := e.sendSuspects(false, e.members.Members()); err != nil {
				return err
			}
		case <-ticker.C:
			e.quarantine.Expire(e.now())
			e.confirmCrashes()
			if err := e.sendSuspects(true, e.sampleMembers(suspectsFanout)); err != nil {
				return err
			}
		}
	}
}

// sampleMembers returns up to n random other live entries.
func (e *Entry) sampleMembers(n int) []member.Member {
	var list []member.Member
	for _, m := range e.members.Members() {
		if m.ID != e.id {
			list = append(list, m)
		}
	}
	rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	return list[:min(n, len(list))]
}

// sendSuspects sends what is new to all entries, and if all is set what is repeated to the
// given ones.
func (e *Entry) sendSuspects(all bool, to []member.Member) error {
	if all { // what is new would otherwise go to a few entries only
		if err := e.sendSuspects(false, e.members.Members()); err != nil {
			return err
		}
	}
	updates, err := e.quarantine.Updates(all, e.now())
	if err != nil {
		return fmt.Errorf("encode suspects: %w", err)
	}
	for _, u := range updates {
		data := append([]byte{suspectsMark}, u...)
		for _, m := range to {
			if m.ID == e.id {
				continue
			}
			if err := e.sendDatagram(m.Probe, data); err != nil {
				judged.Add("unsent", 1)
			}
		}
	}
	return nil
}

// receive handles a datagram of another entry.
func (e *Entry) receive(data []byte, from string) {
	if len(data) == 0 || data[0] != suspectsMark {
		e.members.Receive(data, from)
		return
	}
	if err := e.quarantine.Merge(data[1:], e.now()); err != nil {
		judged.Add("malformed", 1)
		return
	}
	e.confirmCrashes()
}

// newCallAttempt returns what noteCrash needs to know of an attempt that is being sent. A
// plain replica does not tell which requests it has begun to run.
func (e *Entry) newCallAttempt(q *candidate, id, endpoint string) crash {
	c := crash{candidate: q, service: id, endpoint: endpoint, since: e.now(), begun: true}
	if w := e.pool(id).findWatch(endpoint); w != nil {
		c.boot = w.boot()
	}
	return c
}
