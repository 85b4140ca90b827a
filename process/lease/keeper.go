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
	// Keeper acquires, renews and hands over the leases of one entry. Exported
	// fields are set before Run.
	Keeper struct {
		Platform platform.Platform
		// Holder is the incarnation of the entry. It must be unique: a restarted
		// entry needs a new one.
		Holder string
		Now    func() time.Time // time.Now if nil
		// Wants reports whether this entry is the preferred holder of a duty. If
		// it is true at two entries, the lease stays where it is; if at none, the
		// duty has no holder. Neither breaks safety.
		Wants  func(duty string) bool
		Duties []string
		Log    *logrus.Logger // the standard logger if nil
		// Gained and Lost are called without locks held, and in order for each
		// duty. When a lease is handed over, Lost returns before the row is
		// written.
		Gained func(Lease)
		Lost   func(Lease)
		// Rate limits the store operations per second of this Keeper, 50 if zero.
		// Reads use at most half of it, so that they cannot delay renewals.
		Rate float64

		once   sync.Once
		all    *rate.Limiter
		reads  *rate.Limiter
		duties map[string]*duty
	}

	// duty is the state of one duty at this entry.
	duty struct {
		name    string
		backoff *backoff.ExponentialBackOff
		renewAt time.Time
		// release is a tenure that has ended in this process and whose row may
		// still name this entry.
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

// Run acquires and renews leases until ctx ends, and then hands over those held.
// It returns the error of ctx.
func (k *Keeper) Run(ctx context.Context) error {
	k.prepare()
	var wg conc.WaitGroup
	for _, d := range k.duties {
		wg.Go(func() { k.runDuty(ctx, d) })
	}
	wg.Wait()
	<-ctx.Done()
	return fmt.Errorf("lease keeper ended: %w", ctx.Err())
}

// Held returns the lease of a duty, and reports whether this entry holds it at
// time now.
func (k *Keeper) Held(name string, now time.Time) (Lease, bool) {
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

// runDuty calls step for a duty until ctx ends, and then hands its lease over.
func (k *Keeper) runDuty(ctx context.Context, d *duty) {
	timer := time.NewTimer(randomize(idleInterval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			k.resign(context.WithoutCancel(ctx), d)
			return
		case <-timer.C:
			timer.Reset(k.capWait(d, k.step(ctx, d)))
		}
	}
}

// capWait shortens a wait so that Lost is called as soon as a lease lapses.
func (k *Keeper) capWait(d *duty, wait time.Duration) time.Duration {
	held := d.current()
	if held.Holder == "" {
		return wait
	}
	return max(min(wait, held.Deadline.Add(-Margin).Sub(k.Now().Round(0))), 0)
}

// resign hands the lease over when the entry stops. It makes one attempt only,
// since a lease that is not handed over lapses by itself.
func (k *Keeper) resign(ctx context.Context, d *duty) {
	k.endTenure(d, "entry is stopping")
	if d.release.Holder != "" {
		k.handOver(ctx, d)
	}
}

// step performs the next action for a duty and returns the time to wait before
// the next step.
func (k *Keeper) step(ctx context.Context, d *duty) time.Duration {
	now := k.Now()
	held := d.current()
	switch {
	case held.Holder != "" && !held.Valid(now):
		k.endTenure(d, "lease lapsed")
		return 0
	case held.Holder != "" && !k.Wants(d.name):
		k.endTenure(d, "another entry is preferred")
		return 0
	case held.Holder != "":
		return k.renew(ctx, d, held, now)
	case k.Wants(d.name):
		return k.acquire(ctx, d)
	case d.release.Holder != "":
		return k.handOver(ctx, d)
	default:
		return randomize(idleInterval)
	}
}

// endTenure ends the tenure in this process, before the row is written.
func (k *Keeper) endTenure(d *duty, cause string) {
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

// renew extends the lease if its renewal is due, and returns the time to wait
// before the next step.
func (k *Keeper) renew(ctx context.Context, d *duty, held Lease, now time.Time) time.Duration {
	if wait := d.renewAt.Sub(now); wait > 0 {
		return min(wait, randomize(idleInterval))
	}
	next := held
	next.Deadline = now.Round(0).UTC().Add(Term)
	l, err := k.write(ctx, next)
	if err != nil {
		return k.retry(d, "renew", err)
	}
	if !l.sameTenure(held) {
		k.endTenure(d, "another entry took over")
		return 0
	}
	d.backoff.Reset()
	d.renewAt = now.Add(randomize(renewInterval))
	d.set(l)
	return randomize(idleInterval)
}

// acquire takes the lease if it is available, and returns the time to wait
// before the next step.
func (k *Keeper) acquire(ctx context.Context, d *duty) time.Duration {
	found, err := k.read(ctx, d.name)
	if err != nil {
		return k.retry(d, "read", err)
	}
	now := k.Now()
	if !found.availableTo(k.Holder, now) {
		d.backoff.Reset()
		return randomize(watchInterval)
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
	if !l.sameTenure(next) || !l.Valid(k.Now()) {
		return randomize(watchInterval)
	}
	d.release = Lease{}
	d.renewAt = now.Add(randomize(renewInterval))
	d.set(l)
	counters.Add("gained", 1)
	k.Log.WithFields(logrus.Fields{"duty": d.name, "fence": l.Fence}).Info("lease gained")
	if k.Gained != nil {
		k.Gained(l)
	}
	return randomize(idleInterval)
}

// handOver writes the row without a holder, so that the successor need not wait
// for the deadline. The fencing token stays in the row. It returns the time to
// wait before the next step.
func (k *Keeper) handOver(ctx context.Context, d *duty) time.Duration {
	now := k.Now()
	if now.Round(0).After(d.release.Deadline.Add(Margin)) {
		d.release = Lease{}
		return randomize(idleInterval)
	}
	next := d.release
	next.Holder, next.Deadline = "", now.Round(0).UTC()
	l, err := k.write(ctx, next)
	if err != nil {
		return k.retry(d, "hand over", err)
	}
	d.backoff.Reset()
	if l.sameTenure(d.release) {
		// A renewal whose answer was lost took effect after all.
		d.release = l
		return randomize(minBackoff)
	}
	d.release = Lease{}
	return randomize(idleInterval)
}

// write writes the row of a lease on condition of its version, and returns the
// lease in the row afterwards: next, or the lease of another write.
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
		return k.readBack(ctx, next, err)
	default:
		return Lease{}, fmt.Errorf("write lease: %w", err)
	}
}

// readBack reads the row after a write that failed or whose answer was lost. If
// the row is unchanged, the write may still take effect later. Repeating it is
// safe, because the condition on the version lets only one write take effect.
func (k *Keeper) readBack(ctx context.Context, next Lease, cause error) (Lease, error) {
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

// retry returns the wait after a failed operation: longer with each failure, and
// randomized so that entries do not return to a recovering store together.
func (k *Keeper) retry(d *duty, action string, err error) time.Duration {
	counters.Add("failures", 1)
	k.Log.WithFields(logrus.Fields{"duty": d.name, "action": action}).WithError(err).Debug("lease operation failed")
	return d.backoff.NextBackOff()
}

// randomize returns d changed at random by up to the fraction jitter.
func randomize(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitter*(2*rand.Float64()-1)))
}
