package claim

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

const (
	// defaultPatience covers a hand-over of a shard, but not the time until the
	// lease of a dead holder expires: callers should not wait that long.
	defaultPatience = 3 * time.Second
	queryTimeout    = 30 * time.Second // longest wait for a call at another entry, if the request has no deadline
)

type (
	// Guard runs requests at most once. Exported fields are set before use.
	Guard struct {
		Ledger *Ledger
		// Instance is the incarnation of this entry, which bound keys name.
		Instance string
		// QueryRemote queries another entry for the state of a key; that entry
		// answers with Ledger.Answer.
		QueryRemote func(ctx context.Context, instance string, q Query) (Reply, error)
		// TakeRemote takes a claim at the owner of the shard, in this or another
		// process, with Owner.Take or Owner.Answer.
		TakeRemote func(ctx context.Context, shard int, c Claim) (Grant, error)
		// ReleaseRemote releases a claim at the owner of the shard; only Release
		// uses it.
		ReleaseRemote func(ctx context.Context, shard int, c Claim) error
		Now           func() time.Time // time.Now if nil
		Shards        int              // Shards if zero
		// Patience bounds the repeated attempts to find the owner of a shard, 3 s
		// if zero.
		Patience time.Duration

		nonce atomic.Uint64
	}

	// Request identifies a request. Fingerprint distinguishes different requests
	// under the same key, for example a hash of method, path and body. A zero
	// Deadline means no deadline.
	Request struct {
		Account     string
		Key         string
		Fingerprint string
		Deadline    time.Time
	}

	// call is the state of one request during Do.
	call struct {
		Request
		key     Key
		attempt *Attempt
	}
)

func (g *Guard) now() time.Time {
	if g.Now == nil {
		return time.Now().Round(0)
	}
	return g.Now().Round(0)
}

// Do calls run unless the key has been used, and otherwise returns the result or
// refusal of the earlier request. An error of run is, or wraps, a
// *refusal.Error; after outcome NotRun the key may be tried again, after any
// other outcome it never runs again. Errors of Do are *refusal.Error.
func (g *Guard) Do(ctx context.Context, req Request, run func(ctx context.Context) (Result, error)) (Result, error) {
	if !req.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, req.Deadline.Sub(g.now()))
		defer cancel()
	}
	c := &call{Request: req, key: ParseKey(req.Key)}
	if c.key.Instance != "" && c.key.Instance != g.Instance {
		if e := c.key.check(g.now()); e != nil {
			return Result{}, e
		}
		return g.queryHolder(ctx, c.key.Instance, c)
	}
	attempt, reply := g.Ledger.Begin(ctx, req.Account, c.key, req.Fingerprint)
	if attempt == nil {
		return reply.unpack()
	}
	c.attempt = attempt
	return g.perform(ctx, c, run)
}

// perform runs the key for all calls that wait for it, and finishes the attempt
// even if run panics.
func (g *Guard) perform(ctx context.Context, c *call, run func(ctx context.Context) (Result, error)) (result Result, err error) {
	failure := refusal.New(refusal.Internal, refusal.Unknown, "the call panicked")
	defer func() { c.attempt.Finish(result, failure) }()
	result, err = g.claimAndRun(ctx, c, run)
	failure = nil
	if err != nil {
		failure = refusal.From(err)
		return Result{}, failure
	}
	return result, nil
}

func (g *Guard) claimAndRun(ctx context.Context, c *call, run func(ctx context.Context) (Result, error)) (Result, error) {
	if c.key.Instance == "" {
		holder, err := g.claim(ctx, c)
		if e := c.key.check(g.now()); e != nil {
			// An earlier claim of the key may have expired while this one was
			// requested.
			return Result{}, e
		}
		if err != nil {
			return Result{}, err
		}
		if holder != g.Instance {
			return g.queryHolder(ctx, holder, c)
		}
	}
	c.attempt.Start()
	if err := g.checkDispatch(ctx, c); err != nil {
		return Result{}, err
	}
	return run(ctx)
}

// checkDispatch refuses a request that must no longer be dispatched. It is the
// last check before run: the process may have been paused at any earlier point.
func (g *Guard) checkDispatch(ctx context.Context, c *call) error {
	now := g.now()
	switch {
	case !c.Deadline.IsZero() && !now.Before(c.Deadline):
		return refusal.New(refusal.Deadline, refusal.NotRun, "the deadline passed before dispatch")
	case ctx.Err() != nil:
		return refusal.New(refusal.Canceled, refusal.NotRun, "the caller left before dispatch")
	case !c.key.Minted.IsZero() && !now.Before(c.key.Minted.Add(Expiry-retention)):
		// An earlier claim may have expired by the clock of the shard's owner.
		return refusal.New(refusal.KeyExpired, refusal.Unknown, "the key expired before dispatch")
	case c.key.Instance == "" && !now.Before(c.attempt.ClaimExpiry().Add(-retention)):
		return refusal.New(refusal.Deadline, refusal.NotRun, "the claim expired before dispatch")
	}
	return nil
}

// claim returns the holder of the key's durable claim, after taking the claim if
// it is free. A claim that this entry holds is reused if it expires less than
// maxAhead before a new one would. A reused claim is thus valid for more than
// Expiry-maxAhead from now. Here, maxAhead is only the tolerance.
func (g *Guard) claim(ctx context.Context, c *call) (string, error) {
	now := g.now()
	expiry := c.key.expiry(now)
	// An older claim is replaced by a new one, because it could expire soon after
	// the dispatch, and a repeated request at another entry could then run.
	if c.attempt.ClaimExpiry().After(expiry.Add(-maxAhead)) {
		return g.Instance, nil
	}
	c.attempt.ExtendExpiry(expiry)
	wanted := Claim{
		Holder: g.Instance, Nonce: g.nonce.Add(1), Account: c.Account,
		Hash: HashKey(c.Account, c.Key), Expiry: expiry,
	}
	grant, err := g.take(ctx, wanted)
	switch {
	case err != nil:
		return "", err
	case grant.Granted(wanted):
		c.attempt.SetClaim(wanted.Nonce, expiry)
	case grant.Holder == g.Instance:
		return "", refusal.New(refusal.Store, refusal.NotRun, "a later claim of this entry exists")
	}
	return grant.Holder, nil
}

// take requests a claim, and repeats it under the same nonce while no owner
// answers, for up to Patience.
func (g *Guard) take(ctx context.Context, c Claim) (Grant, error) {
	patience := g.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	grant, err := backoff.Retry(ctx, func() (Grant, error) {
		grant, err := g.TakeRemote(ctx, c.Hash.Shard(g.Shards), c)
		var e *refusal.Error
		switch {
		case err == nil && grant.Refusal != nil:
			return Grant{}, backoff.Permanent(grant.Refusal)
		case errors.As(err, &e):
			return Grant{}, backoff.Permanent(e)
		case err == nil && grant.NotOwner:
			return Grant{}, ErrNotOwner
		case err != nil:
			return Grant{}, fmt.Errorf("take claim: %w", err)
		}
		return grant, nil
	}, backoff.WithMaxElapsedTime(patience), backoff.WithBackOff(takeBackOff()))
	if err == nil {
		return grant, nil
	}
	var e *refusal.Error
	if errors.As(err, &e) {
		return Grant{}, e
	}
	// Without an owner's answer, an earlier request under the key may have run.
	return Grant{}, refusal.New(refusal.Store, refusal.Unknown, "no owner of the claim shard answers: "+err.Error())
}

func takeBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = 50*time.Millisecond, 500*time.Millisecond
	return b
}

// queryHolder returns the outcome of the key at the entry instance.
func (g *Guard) queryHolder(ctx context.Context, instance string, c *call) (Result, error) {
	q := Query{Account: c.Account, Key: c.Key, Fingerprint: c.Fingerprint, Deadline: c.Deadline}
	if q.Deadline.IsZero() {
		q.Deadline = g.now().Add(queryTimeout)
	}
	reply, err := g.QueryRemote(ctx, instance, q)
	if err != nil {
		return Result{}, refusal.New(refusal.KeyTaken, refusal.Unknown, "the entry that may run the key does not answer")
	}
	return reply.unpack()
}

// Release gives up the durable claim of a key that has not run here, so that
// it can run at another entry. It does nothing if there is no such claim.
func (g *Guard) Release(ctx context.Context, account, key string) error {
	c, ok := g.Ledger.removeClaim(HashKey(account, key))
	if !ok || g.ReleaseRemote == nil {
		return nil
	}
	c.Account, c.Holder = account, g.Instance
	if err := g.ReleaseRemote(ctx, c.Hash.Shard(g.Shards), c); err != nil {
		return fmt.Errorf("release claim: %w", err)
	}
	return nil
}

// unpack converts a reply into the return values of Do.
func (r Reply) unpack() (Result, error) {
	switch r.State {
	case Done:
		if r.Result != nil {
			return *r.Result, nil
		}
		return Result{}, refusal.New(refusal.KeyTaken, refusal.Run, "the request ran and its result is no longer kept")
	case Barred:
		return Result{}, refusal.New(refusal.KeyBarred, refusal.NotRun, "the key was barred before it could run")
	case Reused:
		return Result{}, refusal.New(refusal.KeyReused, refusal.NotRun, "the key was used with a different request")
	case Running, Pending:
		return Result{}, refusal.New(refusal.KeyTaken, refusal.Unknown, "an earlier call under the key has not ended")
	}
	if r.Refusal != nil {
		return Result{}, r.Refusal
	}
	return Result{}, refusal.New(refusal.KeyTaken, refusal.Unknown, "it is not known whether the request ran")
}
