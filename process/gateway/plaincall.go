package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

type (
	// callRegistry holds the plain requests that have no answer yet, by identity.
	callRegistry struct {
		mu    sync.Mutex
		calls map[uint64]map[*plainCall]struct{}
	}

	// plainCall is a request to replicas of a plain service.
	plainCall struct {
		withdraw context.CancelCauseFunc
		onTrial  bool // admitted as a trial of its identity
	}
)

func (x *callRegistry) add(identity uint64, c *plainCall) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.calls == nil {
		x.calls = map[uint64]map[*plainCall]struct{}{}
	}
	if x.calls[identity] == nil {
		x.calls[identity] = map[*plainCall]struct{}{}
	}
	x.calls[identity][c] = struct{}{}
}

func (x *callRegistry) remove(identity uint64, c *plainCall) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.calls[identity], c)
	if len(x.calls[identity]) == 0 {
		delete(x.calls, identity)
	}
}

// withdraw ends the requests with an identity that have no answer yet.
func (x *callRegistry) withdraw(identity uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for c := range x.calls[identity] {
		c.withdraw(errCondemned)
	}
}

// call sends a request to replicas of a plain service until one answers or no further
// attempt is allowed. It refuses a request that crashes replicas.
func (g *Gateway) call(ctx context.Context, j *job) error {
	attempts, withdraw := context.WithCancelCause(ctx)
	defer withdraw(nil)
	c := &plainCall{withdraw: withdraw}
	// The request is registered first, so that a verdict after the check withdraws it.
	g.calls.add(j.identity, c)
	defer g.calls.remove(j.identity, c)
	keys := []uint64{j.identity}
	if _, held := g.quarantine.Held(keys); held {
		if c.onTrial = g.quarantine.Try(keys, g.trialRank, time.Now()); !c.onTrial {
			return g.refuseQuarantined(j, keys)
		}
	}
	result, err := g.callReplicas(attempts, ctx, j, c.onTrial)
	g.calls.remove(j.identity, c)
	if err != nil && isWithdrawn(attempts) {
		err = refusal.New(refusal.Quarantined, refusal.From(err).Outcome, requestCrashes)
	}
	if c.onTrial {
		g.endTrial(keys, err)
	}
	if err != nil {
		return err
	}
	return g.finish(j, result.answer, result.endpoint, result.attempt)
}

// pickAllowed chooses a replica as pickReplica does. It refuses a request that crashes
// replicas, unless it is on trial.
func (g *Gateway) pickAllowed(ctx context.Context, j *job, p *pool, tried []string, onTrial bool) (roster.Endpoint, *refusal.Error) {
	keys := []uint64{j.identity}
	if _, held := g.quarantine.Held(keys); held && !onTrial {
		return roster.Endpoint{}, g.refuseQuarantined(j, keys)
	}
	return g.pickReplica(ctx, j, p, tried)
}

// noteAttempt records whether the replica of an attempt has survived the request: it has
// answered, or it has ended the connection and may have crashed.
func (g *Gateway) noteAttempt(ctx context.Context, j *job, e roster.Endpoint, sent time.Time, answer *bufferedAnswer, f *fault) {
	switch {
	case answer != nil:
		g.quarantine.Begun([]uint64{j.identity}, time.Now())
	case f.Reason == refusal.Broken && ctx.Err() == nil:
		// A plain replica does not tell which requests it has begun to run.
		c := crash{j: j, endpoint: e, since: sent, ended: time.Now(), begun: true}
		g.spawn(func() { g.reportCrash(c) })
	}
}
