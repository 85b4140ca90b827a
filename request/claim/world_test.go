package claim

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/eelgrassdock/eelgrassdock/process/lease"
	"github.com/eelgrassdock/eelgrassdock/process/platform"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

var errDead = errors.New("entry does not answer")

type (
	// world holds a store, a manual clock, and entries that own one claim shard
	// in turn.
	world struct {
		t      require.TestingT
		memory platform.Memory

		mu          sync.Mutex
		now         time.Time
		withheld    [][]platform.Op // commits withheld from the store
		withholding bool            // withhold commits and lose their answers
		owner       *entry
		leaseHolder *entry // holds the lease; claims may go to another entry
		fence       int64
		runs        map[string]int
		entries     []*entry
	}

	entry struct {
		world *world
		id    string
		owner *Owner
		guard *Guard
		dead  bool // does not answer other entries, and dispatches nothing
		// granted is called between a grant and the dispatch.
		granted func()
		nonce   uint64 // of the last claim
	}
)

func TestMain(m *testing.M) {
	logrus.SetOutput(io.Discard)
	_ = flag.Set("rapid.seed", "20260101")
	_ = flag.Set("rapid.checks", "40")
	flag.Parse()
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func newWorld(t require.TestingT, n int) *world {
	w := &world{t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), runs: map[string]int{}}
	for i := range n {
		w.entries = append(w.entries, w.entry(fmt.Sprintf("e%d", i)))
	}
	w.setOwner(w.entries[0])
	for _, s := range w.entries[0].owner.all() {
		<-s.loaded
	}
	return w
}

func (w *world) clock() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now
}

func (w *world) advance(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now = w.now.Add(d)
}

func (w *world) entry(id string) *entry {
	violation := func(text string) { w.t.Errorf("violation: %s", text) }
	p := w.memory.Platform()
	p.Commit = w.commit
	e := &entry{world: w, id: id}
	e.owner = &Owner{Platform: p, Holder: id, Shards: 1, Now: w.clock, Pace: 1e6, Violation: violation, Holds: e.holds}
	e.guard = &Guard{
		Ledger: &Ledger{Now: w.clock, Violation: violation}, Instance: id, Now: w.clock, Shards: 1,
		Patience: 50 * time.Millisecond, QueryRemote: w.query, TakeRemote: e.take,
		ReleaseRemote: func(ctx context.Context, _ int, c Claim) error { return w.currentOwner().owner.Release(ctx, c) },
	}
	return e
}

// commit passes a commit on to the store, or withholds it and loses its answer.
func (w *world) commit(ctx context.Context, ops []platform.Op) error {
	w.mu.Lock()
	if w.withholding {
		w.withheld = append(w.withheld, ops)
		w.mu.Unlock()
		return platform.ErrUnknown
	}
	w.mu.Unlock()
	return w.memory.Platform().Commit(ctx, ops)
}

// withhold sets whether commits are withheld from the store.
func (w *world) withhold(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.withholding = on
}

// deliverWithheld sends the withheld commits to the store.
func (w *world) deliverWithheld() {
	w.mu.Lock()
	late := w.withheld
	w.withheld = nil
	w.mu.Unlock()
	for _, ops := range late {
		_ = w.memory.Platform().Commit(context.Background(), ops)
	}
}

// setOwner makes e the owner of the shard. The previous owner is not notified,
// as if it were paused: safety must not depend on leases. Claims go to e only
// after its Gained was called, since an older tenure of e may not have read the
// latest claims.
func (w *world) setOwner(e *entry) {
	w.mu.Lock()
	w.fence++
	fence := w.fence
	w.leaseHolder = e
	w.mu.Unlock()
	e.owner.Gained(lease.Lease{Duty: Duty(0), Holder: e.id, Fence: fence})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.owner = e
}

func (e *entry) holds(string, time.Time) bool {
	e.world.mu.Lock()
	defer e.world.mu.Unlock()
	return e.world.leaseHolder == e
}

func (w *world) currentOwner() *entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.owner
}

func (w *world) isDead(e *entry) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return e.dead
}

func (w *world) kill(e *entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.dead = true
}

func (w *world) query(ctx context.Context, instance string, q Query) (Reply, error) {
	for _, e := range w.entries {
		if e.id == instance && !w.isDead(e) {
			return e.guard.Ledger.Answer(ctx, q), nil
		}
	}
	return Reply{}, errDead
}

func (e *entry) take(ctx context.Context, _ int, c Claim) (Grant, error) {
	o := e.world.currentOwner()
	e.world.mu.Lock()
	e.nonce = c.Nonce
	e.world.mu.Unlock()
	if e.world.isDead(o) {
		return Grant{}, errDead
	}
	g := o.owner.Answer(ctx, c)
	if e.granted != nil {
		e.granted()
	}
	return g, nil
}

// do runs a key and counts the run; a dead entry does not dispatch.
func (e *entry) do(key string, outcome error) (Result, *refusal.Error) {
	return e.request(Request{Account: "a", Key: key, Fingerprint: "f"}, func() error { return outcome })
}

func (e *entry) request(r Request, run func() error) (Result, *refusal.Error) {
	result, err := e.guard.Do(context.Background(), r, func(context.Context) (Result, error) {
		err := run()
		var f *refusal.Error
		e.world.mu.Lock()
		defer e.world.mu.Unlock()
		if e.dead {
			return Result{}, refusal.New(refusal.Internal, refusal.Unknown, "dead")
		}
		if !errors.As(err, &f) || f.Outcome != refusal.NotRun {
			e.world.runs[r.Key]++
		}
		return Result{Status: 200, Body: []byte(r.Key)}, err
	})
	if err != nil {
		return result, refusal.From(err)
	}
	return result, nil
}

func (w *world) runCount(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[key]
}

func (w *world) key(instance string) string {
	id := uuid.Must(uuid.NewV7())
	ms := w.clock().UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	if instance == "" {
		return id.String()
	}
	return instance + "." + id.String()
}

// close stops the background work of all owners.
func (w *world) close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, e := range w.entries {
		_ = e.owner.Run(ctx)
	}
}
