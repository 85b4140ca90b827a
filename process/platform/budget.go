package platform

import (
	"context"
	"expvar"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

const (
	defaultRate = 200             // calls per second of one process unless the store limits or is slow
	minRate     = 2               // lowest rate, in calls per second, while the store limits
	rateGrowth  = 1.1             // growth of the rate for each second without a refusal
	slowAnswer  = 2 * time.Second // a response that takes this long lowers the rate like a refusal
)

type (
	// Rank is the importance of a call.
	Rank int

	// Budget limits the rate of calls of one process to the platform and refuses
	// less important calls first. The rate is halved when the store refuses a
	// call because of its own limit or is slow, and then grows by a tenth each
	// second. Many processes can thus share the store without coordination. A
	// call over the budget fails with ErrLimited and is not sent. The exported
	// fields must be set before Platform is called; Rate and Now may be zero.
	Budget struct {
		Base Platform
		// Rate is the highest number of calls per second; 200 if zero.
		Rate float64
		// Now is the clock; time.Now if nil.
		Now func() time.Time

		mu      sync.Mutex
		limiter *rate.Limiter
		changed time.Time // when the rate was last changed
	}
)

// Ranks, from the least to the most important. A call with rank Low is sent only
// if half of the budget would remain unused, Normal if a quarter would, and High
// as long as anything is left.
const (
	Low    Rank = iota // lists of rows, except of leases and claims; the list of instances; writes of objects
	Normal             // reads and commits of other rows, such as configuration and registrations; reads of objects
	High               // all calls for leases and claims, which running generations depend on
)

var (
	reserves  = [...]float64{Low: 0.5, Normal: 0.25, High: 0}
	calls     = expvar.NewMap("platform") // sent and shed, by rank
	rankNames = [...]string{Low: "low", Normal: "normal", High: "high"}
)

// RankOf returns the rank of a call that reads or writes a key.
func RankOf(key string) Rank {
	if strings.HasPrefix(key, "lease/") || strings.HasPrefix(key, "claim/") {
		return High
	}
	return Normal
}

// Platform returns the calls of Base with the budget applied.
func (b *Budget) Platform() Platform {
	return Platform{
		Get: func(ctx context.Context, key string) (row Row, err error) {
			err = b.call(RankOf(key), func() error { row, err = b.Base.Get(ctx, key); return err })
			return row, err
		},
		List: func(ctx context.Context, prefix, after string, n int) (rows []Row, err error) {
			// Lists rank below reads of single rows, except lists of leases and claims.
			rank := RankOf(prefix)
			if rank == Normal {
				rank = Low
			}
			err = b.call(rank, func() error { rows, err = b.Base.List(ctx, prefix, after, n); return err })
			return rows, err
		},
		Commit: func(ctx context.Context, ops []Op) error {
			rank := Low
			for _, op := range ops {
				rank = max(rank, RankOf(op.Key))
			}
			return b.call(rank, func() error { return b.Base.Commit(ctx, ops) })
		},
		GetObject: func(ctx context.Context, name string) (data []byte, err error) {
			err = b.call(Normal, func() error { data, err = b.Base.GetObject(ctx, name); return err })
			return data, err
		},
		PutObject: func(ctx context.Context, name string, data []byte) error {
			return b.call(Low, func() error { return b.Base.PutObject(ctx, name, data) })
		},
		Instances: func(ctx context.Context) (list []Instance, err error) {
			err = b.call(Low, func() error { list, err = b.Base.Instances(ctx); return err })
			return list, err
		},
	}
}

func (b *Budget) now() time.Time {
	if b.Now != nil {
		return b.Now()
	}
	return time.Now()
}

// call sends a call if the budget allows it, and lowers the rate if the store
// refused it because of a limit or was slow.
func (b *Budget) call(rank Rank, send func() error) error {
	start := b.now()
	if !b.admit(rank, start) {
		calls.Add("shed_"+rankNames[rank], 1)
		return ErrLimited
	}
	calls.Add("sent_"+rankNames[rank], 1)
	err := send()
	if errors.Is(err, ErrLimited) || b.now().Sub(start) >= slowAnswer {
		b.reduceRate()
	}
	return err
}

// admit takes a call out of the budget and reports whether it may be sent.
func (b *Budget) admit(rank Rank, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limiter == nil {
		if b.Rate <= 0 {
			b.Rate = defaultRate
		}
		b.limiter = rate.NewLimiter(rate.Limit(b.Rate), int(b.Rate))
		b.changed = now
	}
	if now.Sub(b.changed) >= time.Second && float64(b.limiter.Limit()) < b.Rate {
		b.setRate(min(float64(b.limiter.Limit())*rateGrowth, b.Rate), now)
	}
	if b.limiter.TokensAt(now) < 1+reserves[rank]*float64(b.limiter.Burst()) {
		return false
	}
	return b.limiter.AllowN(now, 1)
}

// reduceRate halves the rate, at most once per second, because calls that are
// in flight and refused together are only one sign of overload.
func (b *Budget) reduceRate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if now.Sub(b.changed) < time.Second && float64(b.limiter.Limit()) < b.Rate {
		return
	}
	b.setRate(max(float64(b.limiter.Limit())/2, minRate), now)
}

// setRate changes the rate. At most one second of unused calls accumulates, so
// that delayed calls are not sent in one large burst.
func (b *Budget) setRate(perSecond float64, now time.Time) {
	b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	b.limiter.SetBurstAt(now, int(perSecond))
	b.changed = now
}
