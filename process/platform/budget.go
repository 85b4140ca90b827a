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
	defaultRate = 200             // calls per second of one process while the store keeps up
	leastRate   = 2               // calls per second that remain while the store limits
	raise       = 1.1             // growth of the rate for each second without a refusal
	slowAnswer  = 2 * time.Second // an answer that takes this long counts like a refusal
)

type (
	// Rank is the importance of a call.
	Rank int

	// Budget bounds the calls of one process to the platform, and gives up the
	// less important ones first. The rate halves when the store refuses a call
	// for its own limit or is slow, and grows again by a tenth each second, so
	// that many processes share the store without knowing of each other. A call
	// over the budget fails with ErrLimited without being sent. The zero values
	// of Rate and Now are ready; fields are set before Platform is called.
	Budget struct {
		Base Platform
		// Rate is the most calls per second; 200 if zero.
		Rate float64
		// Now is the clock; time.Now if nil.
		Now func() time.Time

		mu      sync.Mutex
		limiter *rate.Limiter
		changed time.Time // when the rate was last changed
	}
)

// Ranks. A low call needs half of the budget to be unused, a normal one a
// quarter, and a high one none.
const (
	Low    Rank = iota // lists and objects
	Normal             // configuration and registrations
	High               // leases and claims, on which work in flight depends
)

var (
	shares = [...]float64{Low: 0.5, Normal: 0.25, High: 0}
	calls  = expvar.NewMap("platform") // sent and shed, by rank
	names  = [...]string{Low: "low", Normal: "normal", High: "high"}
)

// RankOf gives the rank of a call about a key.
func RankOf(key string) Rank {
	if strings.HasPrefix(key, "lease/") || strings.HasPrefix(key, "claim/") {
		return High
	}
	return Normal
}

// Platform gives the seam with the budget applied.
func (b *Budget) Platform() Platform {
	return Platform{
		Get: func(ctx context.Context, key string) (row Row, err error) {
			err = b.call(RankOf(key), func() error { row, err = b.Base.Get(ctx, key); return err })
			return row, err
		},
		List: func(ctx context.Context, prefix, after string, n int) (rows []Row, err error) {
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

// call sends a call if the budget allows it, and learns from how it ended.
func (b *Budget) call(rank Rank, send func() error) error {
	begun := b.now()
	if !b.admit(rank, begun) {
		calls.Add("shed_"+names[rank], 1)
		return ErrLimited
	}
	calls.Add("sent_"+names[rank], 1)
	err := send()
	if errors.Is(err, ErrLimited) || b.now().Sub(begun) >= slowAnswer {
		b.slower()
	}
	return err
}

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
		b.set(min(float64(b.limiter.Limit())*raise, b.Rate), now)
	}
	if b.limiter.TokensAt(now) < 1+shares[rank]*float64(b.limiter.Burst()) {
		return false
	}
	return b.limiter.AllowN(now, 1)
}

// slower halves the rate, at most once in a second, because calls in flight
// that are refused together tell one thing.
func (b *Budget) slower() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if now.Sub(b.changed) < time.Second && float64(b.limiter.Limit()) < b.Rate {
		return
	}
	b.set(max(float64(b.limiter.Limit())/2, leastRate), now)
}

// set changes the rate. At most one second of it can be saved up, so that calls
// that were held back do not come at once.
func (b *Budget) set(perSecond float64, now time.Time) {
	b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	b.limiter.SetBurstAt(now, int(perSecond))
	b.changed = now
}
