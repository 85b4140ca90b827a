package claim

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/process/lease"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

const (
	loadWait = 3 * time.Second // longest time that a claim waits for the segments to be read
)

type (
	// shard is one claim shard at its owner. One write is in flight at a time;
	// claims that arrive meanwhile go into the next one.
	shard struct {
		owner  *Owner
		number int
		fence  int64
		ctx    context.Context
		cancel context.CancelFunc
		pace   *rate.Limiter
		loaded chan struct{} // closed when the segments have been read, or the shard stopped
		epoch  int64         // version of the epoch row; written by load, read only after loaded is closed

		mu       sync.Mutex
		lapsed   bool
		failed   error // set when the shard is no longer usable
		claims   map[Hash]held
		sealed   []sealedSegment
		open     segment
		count    int   // number of the open segment
		version  int64 // version of the open segment's row, 0 if not written yet
		seq      uint64
		queue    []*operation
		flushing bool
	}

	sealedSegment struct {
		key     string
		version int64
		expiry  int64
	}

	// operation is one claim or release that a caller of submit waits for.
	operation struct {
		ctx     context.Context
		claim   Claim
		release bool
		grant   Grant
		err     error
		done    chan struct{}
	}
)

func newShard(o *Owner, number int, l lease.Lease) *shard {
	ctx, cancel := context.WithCancel(o.base)
	return &shard{
		owner: o, number: number, fence: l.Fence, ctx: ctx, cancel: cancel,
		pace: rate.NewLimiter(rate.Limit(o.Pace), 1), loaded: make(chan struct{}),
		claims: map[Hash]held{}, count: 1,
	}
}

func isNotOwner(err error) bool { return errors.Is(err, ErrNotOwner) }

// refuse returns the refusal for a claim that could not be written. Its outcome
// is "not run" only while no other entry can own the shard.
func (s *shard) refuse(detail string) *refusal.Error {
	s.mu.Lock()
	lapsed := s.lapsed
	s.mu.Unlock()
	return s.refusal(lapsed, detail)
}

// refusal is like refuse, for callers that have read s.lapsed under the lock.
func (s *shard) refusal(lapsed bool, detail string) *refusal.Error {
	holds := s.owner.Holds == nil || s.owner.Holds(Duty(s.number), s.owner.Now())
	if lapsed || !holds {
		return refusal.New(refusal.Store, refusal.Unknown, "the lease of the claim shard is over: "+detail)
	}
	return refusal.New(refusal.Store, refusal.NotRun, detail)
}

func (s *shard) notOwner() error { return fmt.Errorf("claim shard %d: %w", s.number, ErrNotOwner) }

// start runs a task of the shard in the background, unless the owner has ended.
// A panic in the task stops the shard, so that claims fail instead of waiting,
// and is raised again when the owner ends.
func (s *shard) start(task func()) {
	s.owner.tasksMu.Lock()
	defer s.owner.tasksMu.Unlock()
	if s.owner.ended {
		return
	}
	s.owner.wg.Go(func() {
		completed := false
		defer func() {
			if !completed {
				s.stop()
			}
		}()
		task()
		completed = true
	})
}

// stop ends the shard. Its queued operations fail with ErrNotOwner.
func (s *shard) stop() {
	s.mu.Lock()
	if s.failed == nil {
		s.failed = s.notOwner()
	}
	queue := s.queue
	s.queue = nil
	s.mu.Unlock()
	s.cancel()
	for _, o := range queue {
		o.end(Grant{}, s.notOwner())
	}
	s.owner.remove(s)
}

// markLapsed records that lease l of the shard has ended.
func (s *shard) markLapsed(l lease.Lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fence == l.Fence {
		s.lapsed = true
	}
}

func (o *operation) end(g Grant, err error) {
	o.grant, o.err = g, err
	close(o.done)
}

func (s *shard) isLoaded() bool {
	select {
	case <-s.loaded:
		return true
	default:
		return false
	}
}

// awaitLoaded waits for the segments to be read, for up to loadWait, and reports
// whether they have been read or the shard has stopped.
func (s *shard) awaitLoaded(ctx context.Context) bool {
	timer := time.NewTimer(loadWait)
	defer timer.Stop()
	select {
	case <-s.loaded:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// submit answers an operation at once if it needs no write, and otherwise queues
// it and waits until it is written or refused.
func (s *shard) submit(ctx context.Context, c Claim, release bool) (Grant, error) {
	if !s.awaitLoaded(ctx) {
		return Grant{}, refusal.New(refusal.Store, refusal.Unknown, "the claims of the shard are still being read")
	}
	s.mu.Lock()
	if s.failed != nil {
		defer s.mu.Unlock()
		return Grant{}, s.failed
	}
	if g, known := s.decide(s.claims, c, release); known {
		s.mu.Unlock()
		return g, nil
	}
	o := &operation{ctx: ctx, claim: c, release: release, done: make(chan struct{})}
	s.queue = append(s.queue, o)
	if !s.flushing {
		s.flushing = true
		s.start(s.flush)
	}
	s.mu.Unlock()
	select {
	case <-o.done:
		return o.grant, o.err
	case <-ctx.Done():
		return Grant{}, s.refuse("the claim was not written in time")
	case <-s.owner.base.Done():
		return Grant{}, s.refuse("the claim was not written before the entry ended")
	}
}

// decide answers an operation that needs no write, given the current claims. It
// returns false if the operation has to be written.
func (s *shard) decide(claims map[Hash]held, c Claim, release bool) (Grant, bool) {
	h, ok := claims[c.Hash]
	ok = ok && h.expiry > s.owner.Now().Unix()
	same := ok && h.holder == c.Holder
	if release {
		return Grant{}, !same || h.nonce != c.Nonce
	}
	if !ok || same && c.Nonce > h.nonce {
		return Grant{}, false
	}
	return Grant{Holder: h.holder, Nonce: h.nonce}, true
}

// flush writes the queue until it is empty.
func (s *shard) flush() {
	for s.pending() {
		if err := s.pace.Wait(s.ctx); err != nil {
			s.stop()
			return
		}
		if b, ok := s.gather(); ok {
			s.write(b)
		}
	}
}

// pending reports whether there is something to write, and ends the flush if
// not. flush calls it before it waits for the pace, so an idle shard does not
// delay its next write.
func (s *shard) pending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flushing = len(s.queue) > 0 && s.failed == nil
	return s.flushing
}

// gather moves the queue into the next write. Operations whose callers have left
// are refused.
func (s *shard) gather() (*batch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 || s.failed != nil {
		return nil, false
	}
	if s.open.size() >= maxSegment-spareBytes {
		s.seal()
	}
	b := &batch{content: s.open.clone()}
	b.content.trim(s.owner.Now().Unix())
	for _, o := range s.queue {
		if o.ctx.Err() == nil {
			b.operations = append(b.operations, o)
		} else {
			o.end(Grant{}, s.refusal(s.lapsed, "the caller left before the claim was written"))
		}
	}
	s.queue = nil
	return b, true
}

// seal closes the open segment and begins the next one.
func (s *shard) seal() {
	s.sealed = append(s.sealed, sealedSegment{
		key: segmentKey(s.number, s.fence, s.count), version: s.version, expiry: s.open.expiry(),
	})
	s.count++
	s.open, s.version = segment{}, 0
}

// requeue puts operations back at the front of the queue.
func (s *shard) requeue(rest []*operation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(rest, s.queue...)
}

// reducePace halves the rate of writes, down to one per second.
func (s *shard) reducePace() {
	s.pace.SetLimit(max(s.pace.Limit()/2, 1))
}

// raisePace raises the rate of writes by 0.5 per second, up to the owner's Pace.
func (s *shard) raisePace() {
	if limit := rate.Limit(s.owner.Pace); s.pace.Limit() < limit {
		s.pace.SetLimit(min(s.pace.Limit()+0.5, limit))
	}
}

// trim removes lines that expired more than retention ago. A release expires no
// earlier than the claim it ends, so it is never removed before that claim.
func (s *segment) trim(now int64) {
	kept := s.Lines[:0]
	for _, l := range s.Lines {
		if l.Expiry+int64(retention/time.Second) > now {
			kept = append(kept, l)
		}
	}
	s.Lines = kept
}
