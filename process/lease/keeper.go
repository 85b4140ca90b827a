package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"github.com/eelgrassdock/eelgrassdock/process/platform"
)

type (
	// Keeper takes, renews and hands over the leases of one entry. Exported
	// fields are set before Run.
	Keeper struct {
		Platform platform.Platform
		// Holder is the incarnation of the entry. It must be unique: a restarted
		// entry has another one.
		Holder string
		Now    func() time.Time // time.Now if nil
		// Wants tells whether this entry is the preferred holder of a duty. Two
		// entries that both want a duty keep it from moving; none breaks safety.
		Wants  func(duty string) bool
		Duties []string
		Log    *logrus.Logger // the standard logger if nil
		// Gained and Lost are called without locks held, in order for a duty.
		// When a lease is handed over, Lost returns before the row is written.
		Gained func(Lease)
		Lost   func(Lease)
		// Rate limits the operations per second of this process, 50 if zero.
		// Reads use at most half of it, so that they cannot delay renewals.
		Rate float64

		once   sync.Once
		all    *rate.Limiter
		reads  *rate.Limiter
		duties map[string]*duty
	}

	duty struct {
		name    string
		backoff *backoff.ExponentialBackOff
		renewAt time.Time
		// release is a tenure that has ended here and whose row may still name
		// this entry.
		release Lease

		mu    sync.Mutex
		lease Lease // Holder is empty if not held
	}
)

func (k *Keeper) prepare() {
	k.once.Do(func() {
		if k.Now == nil {
			k.Now = time.Now
		}
		if k.Log == nil {
			k.Log = logrus.StandardLogger()
		}
		limit := k.Rate
		if limit <= 0 {
			limit = defaultRate
		}
		burst := max(int(limit), 1)
		k.all = rate.NewLimiter(rate.Limit(limit), burst)
		k.reads = rate.NewLimiter(rate.Limit(limit/2), max(burst/2, 1))
		k.duties = make(map[string]*duty, len(k.Duties))
		for _, name := range k.Duties {
			b := backoff.NewExponentialBackOff()
			b.InitialInterval, b.MaxInterval, b.RandomizationFactor = minBackoff, maxBackoff, 0.5
			k.duties[name] = &duty{name: name, backoff: b}
		}
	})
}

// Run keeps the leases until ctx ends, and then hands over those held. It
// returns the error of ctx.
func (k *Keeper) Run(ctx context.Context) error {
	k.prepare()
	var wg conc.WaitGroup
	for _, d := range k.duties {
		wg.Go(func() { k.keep(ctx, d) })
	}
	wg.Wait()
	<-ctx.Done()
	return fmt.Errorf("lease keeper ended: %w", ctx.Err())
}

// Check gives the lease of a duty if this entry holds it at time now.
func (k *Keeper) Check(name string, now time.Time) (Lease, bool) {
	k.prepare()
	d := k.duties[name]
	if d == nil {
		return Lease{}, false
	}
	l := d.current()
	return l, l.Valid(now)
}

func (d *duty) current() Lease {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lease
}

func (d *duty) set(l Lease) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lease = l
}

func (k *Keeper) keep(ctx context.Context, d *duty) {
	timer := time.NewTimer(vary(idleInterval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			k.resign(context.WithoutCancel(ctx), d)
			return
		case <-timer.C:
			timer.Reset(k.limit(d, k.step(ctx, d)))
		}
	}
}

// limit cuts a wait short so that Lost is called as soon as a lease lapses.
func (k *Keeper) limit(d *duty, wait time.Duration) time.Duration {
	held := d.current()
	if held.Holder == "" {
		return wait
	}
	return max(min(wait, held.Deadline.Add(-Margin).Sub(k.Now().Round(0))), 0)
}

// resign hands the lease over when the entry stops. One attempt is enough: a
// lease that is not handed over lapses by itself.
func (k *Keeper) resign(ctx context.Context, d *duty) {
	k.drop(d, "entry is stopping")
	if d.release.Holder != "" {
		k.handOver(ctx, d)
	}
}

// step does what is due for a duty and gives the time to wait for the next step.
func (k *Keeper) step(ctx context.Context, d *duty) time.Duration {
	now := k.Now()
	held := d.current()
	switch {
	case held.Holder != "" && !held.Valid(now):
		k.drop(d, "lease lapsed")
		return 0
	case held.Holder != "" && !k.Wants(d.name):
		k.drop(d, "another entry is preferred")
		return 0
	case held.Holder != "":
		return k.renew(ctx, d, held, now)
	case k.Wants(d.name):
		return k.acquire(ctx, d)
	case d.release.Holder != "":
		return k.handOver(ctx, d)
	default:
		return vary(idleInterval)
	}
}

// drop ends the tenure in this process before anything is written.
func (k *Keeper) drop(d *duty, cause string) {
	held := d.current()
	if held.Holder == "" {
		return
	}
	d.set(Lease{})
	d.release = held
	counters.Add("lost", 1)
	k.Log.WithFields(logrus.Fields{"duty": d.name, "fence": held.Fence, "cause": cause}).Info("lease ended")
	if k.Lost != nil {
		k.Lost(held)
	}
}

func (k *Keeper) renew(ctx context.Context, d *duty, held Lease, now time.Time) time.Duration {
	if wait := d.renewAt.Sub(now); wait > 0 {
		return min(wait, vary(idleInterval))
	}
	next := held
	next.Deadline = now.Round(0).UTC().Add(Term)
	l, err := k.write(ctx, next)
	if err != nil {
		return k.retry(d, "renew", err)
	}
	if !l.same(held) {
		k.drop(d, "another entry took over")
		return 0
	}
	d.backoff.Reset()
	d.renewAt = now.Add(vary(renewInterval))
	d.set(l)
	return vary(idleInterval)
}

func (k *Keeper) acquire(ctx context.Context, d *duty) time.Duration {
	found, err := k.read(ctx, d.name)
	if err != nil {
		return k.retry(d, "read", err)
	}
	now := k.Now()
	if !found.free(k.Holder, now) {
		d.backoff.Reset()
		return vary(watchInterval)
	}
	next := Lease{
		Duty: d.name, Holder: k.Holder, Fence: found.Fence + 1, Version: found.Version,
		Deadline: now.Round(0).UTC().Add(Term),
	}
	l, err := k.write(ctx, next)
	if err != nil {
		return k.retry(d, "acquire", err)
	}
	d.backoff.Reset()
	if !l.same(next) || !l.Valid(k.Now()) {
		return vary(watchInterval)
	}
	d.release = Lease{}
	d.renewAt = now.Add(vary(renewInterval))
	d.set(l)
	counters.Add("gained", 1)
	k.Log.WithFields(logrus.Fields{"duty": d.name, "fence": l.Fence}).Info("lease gained")
	if k.Gained != nil {
		k.Gained(l)
	}
	return vary(idleInterval)
}

// handOver writes the row without a holder, so that the successor need not wait
// for the deadline. The fencing token stays in the row.
func (k *Keeper) handOver(ctx context.Context, d *duty) time.Duration {
	now := k.Now()
	if now.Round(0).After(d.release.Deadline.Add(Margin)) {
		d.release = Lease{}
		return vary(idleInterval)
	}
	next := d.release
	next.Holder, next.Deadline = "", now.Round(0).UTC()
	l, err := k.write(ctx, next)
	if err != nil {
		return k.retry(d, "hand over", err)
	}
	d.backoff.Reset()
	if l.same(d.release) {
		// A renewal whose answer was lost took effect after all.
		d.release = l
		return vary(minBackoff)
	}
	d.release = Lease{}
	return vary(idleInterval)
}

// write writes the row of a lease on condition of its version, and gives the
// lease that the row holds afterwards: next, or what another write put there.
func (k *Keeper) write(ctx context.Context, next Lease) (Lease, error) {
	value, err := next.encode()
	if err != nil {
		return Lease{}, err
	}
	if err := k.all.Wait(ctx); err != nil {
		return Lease{}, fmt.Errorf("wait for the operation budget: %w", err)
	}
	counters.Add("writes", 1)
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = k.Platform.Commit(call, []platform.Op{
		{Kind: platform.Put, Key: Key(next.Duty), Value: value, Version: next.Version},
	})
	switch {
	case err == nil:
		next.Version++
		return next, nil
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrUnknown):
		return k.settle(ctx, next, err)
	default:
		return Lease{}, fmt.Errorf("write lease: %w", err)
	}
}

// settle reads the row after a write that failed or whose answer was lost. If
// the row is unchanged, the write may still take effect later; the condition
// on the version lets only one write follow, so repeating it is safe.
func (k *Keeper) settle(ctx context.Context, next Lease, cause error) (Lease, error) {
	found, err := k.read(ctx, next.Duty)
	if err != nil {
		return Lease{}, err
	}
	if found.Version == next.Version {
		return Lease{}, fmt.Errorf("write lease: %w", cause)
	}
	return found, nil
}

func (k *Keeper) read(ctx context.Context, name string) (Lease, error) {
	if err := k.reads.Wait(ctx); err != nil {
		return Lease{}, fmt.Errorf("wait for the read budget: %w", err)
	}
	if err := k.all.Wait(ctx); err != nil {
		return Lease{}, fmt.Errorf("wait for the operation budget: %w", err)
	}
	counters.Add("reads", 1)
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := k.Platform.Get(call, Key(name))
	if err != nil {
		return Lease{}, fmt.Errorf("read lease: %w", err)
	}
	return decode(name, r)
}

// retry gives the wait after a failed operation: longer with each failure, and
// varied so that entries do not return to a recovering store together.
func (k *Keeper) retry(d *duty, action string, err error) time.Duration {
	counters.Add("failures", 1)
	k.Log.WithFields(logrus.Fields{"duty": d.name, "action": action}).WithError(err).Debug("lease operation failed")
	return d.backoff.NextBackOff()
}

func vary(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitter*(2*rand.Float64()-1)))
}
