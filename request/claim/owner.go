package claim

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/eelgrassdock/eelgrassdock/process/lease"
	"github.com/eelgrassdock/eelgrassdock/process/platform"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

const (
	defaultPace = 20.0             // writes per second and shard: 320 with 16 shards
	expireEvery = 30 * time.Second // interval between deletions of expired segments
	dutyPrefix  = "claim-"
)

type (
	// Owner writes the claims of the shards whose leases this entry holds.
	// Exported fields are set before use. Gained and Lost are the callbacks for
	// a lease.Keeper whose duties are those that Duties lists.
	Owner struct {
		Platform platform.Platform
		// Holder is the incarnation of the entry.
		Holder string
		Shards int              // Shards if zero
		Now    func() time.Time // time.Now if nil
		// Holds reports whether this entry holds the lease of a duty now, as
		// lease.Keeper.Held does. Without the lease, a successor may have
		// granted the key, so a refusal cannot state "not run". If nil, a lease
		// counts as held from Gained to Lost.
		Holds func(duty string, now time.Time) bool
		// Pace is the maximum number of writes per second for each shard, 20 if
		// zero. The rate is halved when the store limits it, and recovers with
		// each successful write.
		Pace float64
		Log  *logrus.Logger // the standard logger if nil
		// Violation is called for a broken invariant, after it was counted and
		// logged.
		Violation func(string)

		once   sync.Once
		base   context.Context
		cancel context.CancelFunc
		wg     conc.WaitGroup

		tasksMu sync.Mutex
		ended   bool // no task is started any more

		mu     sync.Mutex
		shards map[int]*shard
	}
)

func (o *Owner) prepare() {
	o.once.Do(func() {
		if o.Shards <= 0 {
			o.Shards = Shards
		}
		if o.Now == nil {
			o.Now = time.Now
		}
		if o.Log == nil {
			o.Log = logrus.StandardLogger()
		}
		if o.Pace <= 0 {
			o.Pace = defaultPace
		}
		o.base, o.cancel = context.WithCancel(context.Background())
		o.shards = map[int]*shard{}
	})
}

// Duty returns the name of the lease duty of a shard.
func Duty(shard int) string { return dutyPrefix + strconv.Itoa(shard) }

// Duties returns the names of the lease duties of n shards.
func Duties(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = Duty(i)
	}
	return names
}

// Run deletes expired segments until ctx ends, and then stops all work. It
// returns the error of ctx.
func (o *Owner) Run(ctx context.Context) error {
	o.prepare()
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			o.cancel()
			o.tasksMu.Lock()
			o.ended = true
			o.tasksMu.Unlock()
			o.wg.Wait()
			return fmt.Errorf("claim owner ended: %w", ctx.Err())
		case <-ticker.C:
			for _, s := range o.all() {
				s.expire(ctx)
			}
		}
	}
}

func (o *Owner) all() []*shard {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]*shard, 0, len(o.shards))
	for _, s := range o.shards {
		list = append(list, s)
	}
	return list
}

func shardOf(duty string) (int, bool) {
	text, ok := strings.CutPrefix(duty, dutyPrefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(text)
	return n, err == nil
}

// Gained starts the shard of a lease: the shard answers once its epoch is
// written and its segments are read. Leases on other duties are ignored.
func (o *Owner) Gained(l lease.Lease) {
	o.prepare()
	n, ok := shardOf(l.Duty)
	if !ok || n >= o.Shards {
		return
	}
	s := newShard(o, n, l)
	o.mu.Lock()
	old := o.shards[n]
	o.shards[n] = s
	o.mu.Unlock()
	if old != nil {
		old.stop()
	}
	s.start(s.load)
}

// Lost records that the lease of a shard has ended. The shard is kept, since its
// claims remain valid and still identify duplicates while the store is down; its
// writes fail as soon as a successor has written the epoch row.
func (o *Owner) Lost(l lease.Lease) {
	o.prepare()
	n, ok := shardOf(l.Duty)
	if !ok {
		return
	}
	o.mu.Lock()
	s := o.shards[n]
	o.mu.Unlock()
	if s != nil {
		s.markLapsed(l)
	}
}

// remove removes a stopped shard.
func (o *Owner) remove(s *shard) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.shards[s.number] == s {
		delete(o.shards, s.number)
	}
}

// Take claims a key. It returns a Grant of the claim once it is durable, or a
// Grant that names the current holder. Repeating it with the same holder and
// nonce returns the same grant. It fails with ErrNotOwner, or with a refusal of
// reason Store, whose outcome is NotRun only if no other entry can own the
// shard; the claim may then have been written, so the nonce must not be used to
// dispatch the key.
func (o *Owner) Take(ctx context.Context, c Claim) (Grant, error) {
	return o.submit(ctx, c, false)
}

// Release gives up a claim. Its holder must not have dispatched the key, and
// must take a new claim before it ever does.
func (o *Owner) Release(ctx context.Context, c Claim) error {
	_, err := o.submit(ctx, c, true)
	return err
}

// Answer is Take with failures encoded in the Grant, for use behind net/rpc.
func (o *Owner) Answer(ctx context.Context, c Claim) Grant { return encodeFailure(o.Take(ctx, c)) }

// encodeFailure returns g if err is nil, and otherwise a Grant that carries err.
func encodeFailure(g Grant, err error) Grant {
	switch {
	case err == nil:
		return g
	case isNotOwner(err):
		return Grant{NotOwner: true}
	default:
		return Grant{Refusal: refusal.From(err)}
	}
}

func (o *Owner) submit(ctx context.Context, c Claim, release bool) (Grant, error) {
	o.prepare()
	n := c.Hash.Shard(o.Shards)
	o.mu.Lock()
	s := o.shards[n]
	o.mu.Unlock()
	if s == nil {
		return Grant{}, fmt.Errorf("claim shard %d: %w", n, ErrNotOwner)
	}
	return s.submit(ctx, c, release)
}
