package config_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/platform"
	"github.com/eelgrassdock/eelgrassdock/version/config"
)

const slot = 20 * time.Millisecond // resolution of the manual clock

type (
	// system simulates entries, each with membership, a holder and a tracker,
	// under a manual clock.
	system struct {
		t        require.TestingT
		now      time.Time
		n        int64 // slots since the start
		random   *rand.Rand
		memory   platform.Memory
		entries  []*entry
		byAddr   map[string]*entry
		inFlight map[int64][]func()
		loss     float64
		cut      func(from, to *entry) bool
		fetched  int // calls of Fetch that reached a peer
	}

	entry struct {
		node    *member.Node
		holder  *config.Holder
		tracker *config.Tracker
		i       int
		down    bool
		paused  int64 // paused until this slot
		max     int64 // highest version seen in force
	}
)

func newSystem(t require.TestingT, n int, seed uint64) *system {
	s := &system{
		t: t, now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, 2)),
		byAddr: map[string]*entry{}, inFlight: map[int64][]func(){}, memory: platform.Memory{Seed: seed},
	}
	var seeds []member.Member
	for i := range n {
		seeds = append(seeds, s.add(i).node.Self)
	}
	for _, e := range s.entries {
		e.node.SetSeeds(seeds)
	}
	return s
}

func (s *system) add(i int) *entry {
	id, addr := fmt.Sprint("entry-", i), fmt.Sprintf("10.0.%d.%d:7946", i/200, i%200+1)
	clock := func() time.Time { return s.now }
	e := &entry{i: i, max: -1, tracker: &config.Tracker{}}
	e.holder = &config.Holder{
		Store: &config.Store{Platform: s.memory.Platform(), Origin: id, Now: clock, Pause: noPause},
		Now:   clock, Seed: s.random.Uint64(), Acked: e.tracker.Ack, Fetch: s.fetch(e),
		Violation: func(text string) { require.Fail(s.t, text) },
	}
	e.node = &member.Node{
		Self: member.Member{ID: id, Probe: addr}, Now: clock, Seed: s.random.Uint64() | 1,
		Payload: e.holder.Payload, OnPayload: e.holder.OnPayload,
		Changed: func(list []member.Member) {
			for _, m := range list {
				e.tracker.Observe(m.ID)
			}
		},
	}
	e.holder.Live = func() int { return len(e.node.Members()) }
	e.holder.Nudge, e.holder.SendPayload, e.holder.RequestPayload, e.holder.Pending = e.node.Nudge, e.node.SendPayload, e.node.RequestPayload, e.tracker.Pending
	e.tracker.Gone = func(id string) bool { return e.node.Status(id) == member.Left }
	e.node.Send = func(to string, data []byte) error {
		if peer := s.byAddr[to]; peer != nil && s.delivered(e, peer) {
			// Messages between entries of equal parity take 1 slot, others 3 slots.
			s.schedule(1+2*int64((e.i^peer.i)&1), func() {
				if !peer.down && peer.paused < s.n {
					peer.node.Receive(data, addr)
				}
			})
		}
		return nil
	}
	s.entries, s.byAddr[addr] = append(s.entries, e), e
	return e
}

func (s *system) delivered(from, to *entry) bool {
	return s.random.Float64() >= s.loss && (s.cut == nil || !s.cut(from, to))
}

func (s *system) schedule(slots int64, run func()) {
	s.inFlight[s.n+slots] = append(s.inFlight[s.n+slots], run)
}

func (s *system) fetch(e *entry) func(context.Context, string, int64) ([]config.Delta, error) {
	return func(_ context.Context, peer string, after int64) ([]config.Delta, error) {
		for _, p := range s.entries {
			if p.node.Self.ID == peer && !p.down && p.paused < s.n && s.delivered(e, p) && s.delivered(p, e) {
				s.fetched++
				return p.holder.Deltas(after)
			}
		}
		return nil, errors.New("peer unreachable")
	}
}

// run advances the clock by d. Holders step every 100 ms instead of as soon as
// they are woken, which stands for the duration of a fetch.
func (s *system) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.n++
		s.now = s.now.Add(slot)
		arrived := s.inFlight[s.n]
		delete(s.inFlight, s.n)
		for _, run := range arrived {
			run()
		}
		for _, e := range s.entries {
			if e.down || e.paused >= s.n || (s.n+int64(e.i))%5 != 0 {
				continue
			}
			e.node.Step(s.now)
			e.holder.Step(context.Background())
			if x := e.holder.Current(); x != nil {
				require.GreaterOrEqual(s.t, x.Document.Version, e.max)
				e.max = x.Document.Version
			}
		}
	}
}

// until runs the system until done and returns the elapsed time, or -1 at the
// limit.
func (s *system) until(limit time.Duration, done func() bool) time.Duration {
	for start := s.now; s.now.Sub(start) < limit; s.run(slot) {
		if done() {
			return s.now.Sub(start)
		}
	}
	return -1
}

func (s *system) allHave(version int64) func() bool {
	return func() bool {
		for _, e := range s.entries {
			if x := e.holder.Current(); !e.down && (x == nil || x.Document.Version < version) {
				return false
			}
		}
		return true
	}
}

// change makes one change at e, based on the version in force there.
func (s *system) change(e *entry) (int64, error) {
	x := e.holder.Current()
	if x == nil {
		return 0, errors.New("not ready")
	}
	return e.holder.Change(context.Background(), x.Document.Version, func(d *config.Document) error {
		if d.Version == 0 {
			*d = document(3)
		}
		d.Accounts[0].Limit.Burst++
		return nil
	}, e.node.Self.ID)
}

// Guards against a version that reaches some entries late, a change that is
// accepted too early or never, and head reads that grow with the number of
// entries.
func TestPropagation(t *testing.T) {
	s := newSystem(t, 7, 3)
	s.run(10 * time.Second)
	v, err := s.change(s.entries[2])
	require.NoError(t, err)
	require.Len(t, s.entries[2].tracker.Pending(v), 6)
	require.GreaterOrEqual(t, s.until(2*time.Second, s.allHave(v)), time.Duration(0))
	require.GreaterOrEqual(t, s.until(2*time.Second, func() bool { return len(s.entries[2].tracker.Pending(v)) == 0 }), time.Duration(0))
	before := s.memory.Usage().Reads
	s.run(time.Minute)
	reads := float64(s.memory.Usage().Reads-before) / 60
	require.InDelta(t, 4, reads, 1)
	for _, e := range s.entries {
		require.False(t, e.holder.Stale(s.now))
	}
	s.memory.Break(platform.Faults{Down: true})
	s.run(10 * time.Second)
	for _, e := range s.entries {
		require.True(t, e.holder.Stale(s.now))
	}
}

// Guards against a partitioned entry that counts as having a version, or that
// does not report its own version as stale.
func TestCutOffEntryIsNamed(t *testing.T) {
	s := newSystem(t, 7, 4)
	s.run(10 * time.Second)
	lone := s.entries[5]
	s.cut = func(from, to *entry) bool { return from == lone || to == lone }
	lone.holder.Store.Platform.Get = func(context.Context, string) (platform.Row, error) { return platform.Row{}, platform.ErrDown }
	v, err := s.change(s.entries[0])
	require.NoError(t, err)
	s.run(30 * time.Second)
	require.Equal(t, []string{"entry-5"}, s.entries[0].tracker.Pending(v))
	require.True(t, lone.holder.Stale(s.now))
	s.cut = nil
	require.GreaterOrEqual(t, s.until(30*time.Second, func() bool { return len(s.entries[0].tracker.Pending(v)) == 0 }), time.Duration(0))
}

// Guards against failures in sequences of faults that the other tests do not
// cover. The invariants must hold throughout (Violation and the check in run),
// and after the faults end all entries must have the newest version.
func TestRandomFaultsKeepVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSystem(t, rapid.IntRange(2, 7).Draw(t, "entries"), rapid.Uint64Range(1, 1<<20).Draw(t, "seed"))
		made := map[int64]bool{}
		for range rapid.IntRange(5, 40).Draw(t, "actions") {
			e := s.entries[rapid.IntRange(0, len(s.entries)-1).Draw(t, "entry")]
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				e.down = e.i > 0
			case 1:
				e.paused = s.n + int64(rapid.IntRange(1, 1000).Draw(t, "pause"))
			case 2:
				s.memory.Break(platform.Faults{Lose: 0.6})
			case 3:
				s.memory.Break(platform.Faults{Down: true})
			case 4:
				s.memory.Break(platform.Faults{})
			case 5:
				s.loss = 0.3
			case 6:
				s.cut = func(from, _ *entry) bool { return from == e }
			case 7:
				s.loss, s.cut = 0, nil
			default:
				if v, err := s.change(e); err == nil {
					require.False(t, made[v], "two operators made version %d", v)
					made[v] = true
				}
			}
			s.run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "run")) * time.Millisecond)
		}
		s.loss, s.cut = 0, nil
		s.memory.Break(platform.Faults{})
		s.run(25 * time.Second)
		head, err := (&config.Store{Platform: s.memory.Platform()}).ReadHead(context.Background())
		require.NoError(t, err)
		for v := range made {
			require.LessOrEqual(t, v, head.Version, "an accepted change was reverted")
		}
		require.True(t, s.allHave(head.Version)())
		for _, e := range s.entries {
			require.True(t, e.down || !e.holder.Stale(s.now))
		}
	})
}
