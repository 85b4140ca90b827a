package member_test

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/eelgrassdock/eelgrassdock/process/member"
)

// settled returns a cluster whose nodes agree and whose start-up traffic has
// ended.
func settled(t testing.TB, n int, seed uint64) *world {
	w := newWorld(n, seed)
	require.GreaterOrEqual(t, w.until(time.Minute, w.agree), time.Duration(0))
	w.run(10 * time.Second)
	return w
}

func (w *world) total() member.Stats {
	var sum member.Stats
	for _, h := range w.nodes {
		s := h.Stats()
		sum.Bytes += s.Bytes
		sum.Suspicions += s.Suspicions
		sum.Deaths += s.Deaths
	}
	return sum
}

// Guards against nodes that do not find each other through their seeds, and
// against a death that is not detected.
func TestJoinAndDeath(t *testing.T) {
	for _, n := range []int{1, 2, 7, 60} {
		w := settled(t, n, 1)
		require.Zero(t, w.total().Deaths)
		w.nodes[n/2].down = true
		require.GreaterOrEqual(t, w.until(20*time.Second, w.agree), time.Duration(0), "%d nodes", n)
	}
}

// Guards against live members that are declared dead because of lost datagrams,
// or because the machine does not schedule their processes for up to 1.5 s.
func TestLossAndStalls(t *testing.T) {
	w := settled(t, 50, 2)
	w.loss = 0.05
	for range 120 {
		w.nodes[w.random.IntN(50)].wake = w.now.Add(time.Duration(w.random.IntN(1500)) * time.Millisecond)
		w.run(time.Second)
	}
	require.Zero(t, w.total().Deaths)
	require.True(t, w.agree())
}

// Guards against a process that declares all others dead after a pause, and
// against one that stays dead to the others.
func TestPausedProcessWakes(t *testing.T) {
	w := settled(t, 25, 3)
	h := w.nodes[4]
	before := h.Self.Incarnation
	suspicions := h.Stats().Suspicions
	// A probe is pending when the pause begins, and no datagrams are buffered when
	// it ends.
	w.cut = func(_, to *host) bool { return to == h }
	w.run(600 * time.Millisecond)
	h.wake = w.now.Add(30 * time.Second)
	w.run(20 * time.Second)
	require.Equal(t, member.Dead, w.nodes[0].Status(h.Self.ID))
	w.run(10*time.Second + 3*member.Tick)
	require.Len(t, h.Members(), 25)
	require.Greater(t, h.Self.Incarnation, before, "refutes before it receives rows that declare it dead")
	w.cut = nil
	require.GreaterOrEqual(t, w.until(10*time.Second, w.agree), time.Duration(0))
	require.Zero(t, h.Stats().Deaths)
	require.Equal(t, suspicions, h.Stats().Suspicions)
}

// Guards against a member that is declared dead because one direction of one link
// fails, and against a member that stays although no node receives from it.
func TestOneWayCuts(t *testing.T) {
	w := settled(t, 10, 4)
	w.cut = func(from, to *host) bool { return from.i == 1 && to.i == 2 }
	w.run(2 * time.Minute)
	require.Zero(t, w.total().Suspicions, "two other nodes reach the member that one cannot")
	w.cut = func(from, _ *host) bool { return from.i == 1 }
	w.run(20 * time.Second)
	require.Equal(t, member.Dead, w.nodes[0].Status(w.nodes[1].Self.ID))
	w.cut = nil
	require.GreaterOrEqual(t, w.until(20*time.Second, w.agree), time.Duration(0))
}

// Guards against halves of a partition that do not find each other after it has
// healed, and against false deaths inside the halves when they do.
func TestPartitionHeals(t *testing.T) {
	w := settled(t, 40, 5)
	w.cut = func(from, to *host) bool { return from.i%2 != to.i%2 }
	w.run(3 * time.Minute)
	require.Len(t, w.nodes[0].Members(), 20)
	w.cut = nil
	before := w.total().Deaths
	took := w.until(time.Minute, func() bool {
		for _, h := range w.nodes[2:] {
			require.NotEqual(t, member.Dead, w.nodes[h.i%2].Status(h.Self.ID), "dead in its own half")
		}
		return w.agree()
	})
	require.GreaterOrEqual(t, took, time.Duration(0))
	require.Equal(t, before, w.total().Deaths)
}

// Guards against two members at one address after an instance was replaced, by
// one with the same or another ID, and also if its clock is behind.
func TestReplacedInstance(t *testing.T) {
	for _, c := range []struct {
		id          string
		incarnation uint64
	}{{"entry-new", 0}, {"entry-new", 1}, {"entry-0003", 0}, {"entry-0003", 1}} {
		w := settled(t, 12, 6)
		old := w.nodes[3]
		old.down = true
		w.run(300 * time.Millisecond)
		h := w.add(c.id, old.Self.Probe)
		h.Self.Incarnation = c.incarnation
		h.SetSeeds(w.list())
		alive := func() bool { return w.agree() && w.nodes[0].Status(c.id) == member.Alive && len(h.Members()) == 12 }
		require.GreaterOrEqual(t, w.until(3*time.Second, alive), time.Duration(0), "%v", c)
		w.run(20 * time.Second)
		require.True(t, alive(), "%v", c)
		if c.id != old.Self.ID {
			require.Equal(t, member.Left, w.nodes[0].Status(old.Self.ID))
		}
	}
}

// Guards against a planned leave that is detected as late as a crash, and against
// late gossip that restores a member after it left or died.
func TestLeaveAndLateGossip(t *testing.T) {
	w := settled(t, 12, 7)
	h := w.nodes[5]
	var late [][]byte
	send := h.Send
	h.Send = func(to string, data []byte) error { late = append(late, data); return send(to, data) }
	h.Drain()
	w.run(3 * time.Second)
	require.True(t, w.nodes[0].Members()[5].Leaving)
	old := late
	h.Leave()
	w.run(time.Second)
	require.Equal(t, member.Left, w.nodes[0].Status(h.Self.ID))
	h.down = true
	require.GreaterOrEqual(t, w.until(2*time.Second, w.agree), time.Duration(0))
	w.run(2 * time.Minute)
	for _, data := range old {
		w.nodes[0].Receive(data, h.Self.Probe)
	}
	require.NotEqual(t, member.Alive, w.nodes[0].Status(h.Self.ID))
	w.run(10 * time.Second)
	require.True(t, w.agree())
}

// Guards against a row that a node never receives because gossip missed it.
func TestMissedRowIsRepaired(t *testing.T) {
	w := settled(t, 6, 9)
	w.cut = func(_, to *host) bool { return to.i == 5 }
	w.nodes[1].Drain()
	w.run(3 * time.Second)
	w.cut = nil
	leaving := func() bool { return w.nodes[5].Members()[1].Leaving }
	require.False(t, leaving())
	require.GreaterOrEqual(t, w.until(time.Minute, leaving), time.Duration(0))
}

// Guards against a payload that reaches some members late or not at all.
func TestPayloadSpreads(t *testing.T) {
	w := settled(t, 50, 8)
	got := make([]byte, 50)
	for i, h := range w.nodes {
		h.Payload = func() []byte { return got[i : i+1] }
		h.OnPayload = func(_ string, data []byte) {
			if data[0] > got[i] {
				got[i] = data[0]
				h.Nudge()
			}
		}
	}
	got[9] = 1
	w.nodes[9].Nudge()
	took := w.until(5*time.Second, func() bool { return string(got) == string(repeat(1, 50)) })
	require.GreaterOrEqual(t, took, time.Duration(0))
}

func repeat(b byte, n int) []byte {
	list := make([]byte, n)
	for i := range list {
		list[i] = b
	}
	return list
}

// Guards against states that the other tests do not cover: after any sequence of
// faults has ended, all running nodes must agree again.
func TestRandomFaultsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 14).Draw(t, "nodes")
		w := newWorld(n, rapid.Uint64Range(1, 1<<20).Draw(t, "seed"))
		w.run(5 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			h := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
			switch rapid.IntRange(0, 6).Draw(t, "fault") {
			case 0:
				h.down = h.i > 0 // node 0 keeps running, so that a cluster remains
			case 1:
				h.wake = w.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "pause")) * time.Second)
			case 2:
				w.loss = float64(rapid.IntRange(0, 30).Draw(t, "loss")) / 100
			case 3:
				w.cut = func(from, _ *host) bool { return from == h }
			case 4:
				side := rapid.IntRange(2, 3).Draw(t, "side")
				w.cut = func(from, to *host) bool { return (from.i%side == 0) != (to.i%side == 0) }
			case 5:
				w.cut = nil
			case 6:
				if h.down && w.byAddr[h.Self.Probe] == h {
					w.add(h.Self.ID, h.Self.Probe).SetSeeds(w.list())
				}
			}
			w.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "run")) * time.Second)
		}
		w.loss, w.cut = 0, nil
		w.run(20 * time.Second) // all pauses end
		if w.until(2*time.Minute, w.agree) < 0 {
			for _, h := range w.nodes {
				t.Log(h.Self.ID, h.down, len(h.Members()))
			}
			t.Fatal("no agreement")
		}
	})
}

// Guards against a panic or an invalid member that a damaged or forged datagram
// causes.
func FuzzReceive(f *testing.F) {
	w := newWorld(3, 9)
	w.nodes[0].Send = func(_ string, data []byte) error { f.Add(data); return nil }
	w.run(20 * time.Second)
	f.Fuzz(func(t *testing.T, data []byte) {
		w := newWorld(2, 9)
		w.run(2 * time.Second)
		w.nodes[1].Receive(data, w.nodes[0].Self.Probe)
		w.run(3 * time.Second)
		for _, m := range w.nodes[1].Members() {
			require.NotEmpty(t, m.ID)
			require.NotEmpty(t, m.Probe)
		}
		require.Contains(t, []member.Status{member.Alive, member.Suspect, member.Left}, w.nodes[1].Status(w.nodes[1].Self.ID))
	})
}

// Guards against goroutines that outlive Run, and against differences between UDP
// sockets and the simulated network.
func TestRunOverUDP(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	var list []member.Member
	var nodes []*member.Node
	// A node without Send opens its own socket; calls before that have no effect.
	own := &member.Node{Self: member.Member{ID: "own", Probe: "127.0.0.1:0"}}
	own.Leave()
	wg.Go(func() { _ = own.Run(ctx) })
	for i := range 3 {
		socket, err := member.ListenUDP("127.0.0.1:0")
		require.NoError(t, err)
		n := &member.Node{Self: member.Member{ID: fmt.Sprint("n", i), Probe: socket.Addr()}, Send: socket.Send}
		n.Seeds = func(context.Context) ([]member.Member, error) { return list, nil }
		list, nodes = append(list, n.Self), append(nodes, n)
		wg.Go(func() { _ = socket.Serve(n.Receive) })
		defer func() { _ = socket.Close() }()
		context.AfterFunc(ctx, func() { _ = socket.Close() })
	}
	for _, n := range nodes {
		wg.Go(func() { _ = n.Run(ctx) })
	}
	require.Eventually(t, func() bool { return len(nodes[0].Members()) == 3 && len(nodes[2].Members()) == 3 }, 20*time.Second, 20*time.Millisecond)
	cancel()
	wg.Wait()
}

// BenchmarkCapacity simulates one quiet and one lossy minute per cluster size. It
// reports, per node, bytes sent, CPU use and suspicions of live members that only
// stalled or lost datagrams. It also reports false deaths, and the time until a
// death is detected by the first node and by all.
// Command: go test ./process/member -run '^$' -bench Capacity -benchtime 1x
func BenchmarkCapacity(b *testing.B) {
	for _, n := range []int{7, 25, 50, 100, 500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := newWorld(n, 10)
			joined := w.until(2*time.Minute, w.agree)
			w.run(time.Minute)
			runtime.GC()
			before, start := w.total(), time.Now()
			w.run(time.Minute)
			quiet, busy := w.total(), time.Since(start)
			w.loss = 0.05
			for range 60 {
				w.nodes[w.random.IntN(n)].wake = w.now.Add(time.Duration(w.random.IntN(1500)) * time.Millisecond)
				w.run(time.Second)
			}
			lossy := w.total()
			w.loss = 0
			w.run(20 * time.Second)
			h := w.nodes[n/2]
			h.down = true
			first := w.until(time.Minute, func() bool { return w.nodes[0].Status(h.Self.ID) >= member.Suspect })
			all := w.until(time.Minute, w.agree)
			perNode := func(v int64) float64 { return float64(v) / float64(n) / 60 }
			b.ReportMetric(joined.Seconds(), "s-join")
			b.ReportMetric(perNode(quiet.Bytes-before.Bytes), "B/s-quiet")
			b.ReportMetric(perNode(lossy.Bytes-quiet.Bytes), "B/s-lossy")
			b.ReportMetric(100*busy.Seconds()/60/float64(n), "%core")
			b.ReportMetric(float64(lossy.Suspicions-quiet.Suspicions)/float64(n), "suspicions/min")
			b.ReportMetric(float64(lossy.Deaths-before.Deaths), "falsedeaths")
			b.ReportMetric(first.Seconds(), "s-suspect")
			b.ReportMetric((first + all).Seconds(), "s-all")
		})
	}
}

// BenchmarkHeal reports the time until the halves of a partition agree again
// after three minutes, and the false deaths declared after it ended.
func BenchmarkHeal(b *testing.B) {
	for _, n := range []int{7, 50, 500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := settled(b, n, 11)
			w.cut = func(from, to *host) bool { return from.i%2 != to.i%2 }
			w.run(3 * time.Minute)
			w.cut = nil
			before := w.total()
			took := w.until(5*time.Minute, w.agree)
			b.ReportMetric(took.Seconds(), "s-agree")
			b.ReportMetric(float64(w.total().Deaths-before.Deaths), "falsedeaths")
			b.ReportMetric(float64(w.total().Bytes-before.Bytes)/float64(n)/took.Seconds(), "B/s")
		})
	}
}

// Guards against instances that start together and all read the list of instances a second
// time, although they have found each other by then.
func TestSeedsAreReadOnceByThoseThatFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 12
		ctx, cancel := context.WithCancel(t.Context())
		var wg conc.WaitGroup
		var reads [count]int
		var list []member.Member
		nodes := map[string]*member.Node{}
		for i := range count {
			n := &member.Node{Self: member.Member{ID: fmt.Sprint("n", i), Probe: fmt.Sprintf("10.0.0.%d:1", i+1)}, Seed: uint64(i + 1)}
			n.Send = func(addr string, data []byte) error {
				data = slices.Clone(data)
				time.AfterFunc(2*time.Millisecond, func() { nodes[addr].Receive(data, n.Self.Probe) })
				return nil
			}
			n.Seeds = func(context.Context) ([]member.Member, error) {
				reads[i]++
				return list, nil
			}
			nodes[n.Self.Probe] = n
			if i < count-1 { // the last one is not listed yet, and finds the others
				list = append(list, n.Self)
			}
		}
		for _, n := range nodes {
			wg.Go(func() { _ = n.Run(ctx) })
		}
		time.Sleep(20 * time.Second)
		for _, n := range nodes {
			require.Len(t, n.Members(), count)
		}
		cancel()
		wg.Wait()
		for i, n := range reads {
			require.Equal(t, 1, n, i)
		}
	})
}

// Guards against a datagram that ends the process, or the reading of the datagrams after it.
func TestPanicOnADatagramEndsThatDatagramOnly(t *testing.T) {
	socket, err := member.ListenUDP("127.0.0.1:0")
	require.NoError(t, err)
	faults, received := make(chan string, 1), make(chan string, 1)
	socket.Panicked = func(fault *panics.Recovered) { faults <- fmt.Sprint(fault.Value) }
	var wg conc.WaitGroup
	wg.Go(func() {
		_ = socket.Serve(func(data []byte, _ string) {
			if string(data) == "odd" {
				panic("odd datagram")
			}
			received <- string(data)
		})
	})
	for _, data := range []string{"odd", "sound"} {
		require.NoError(t, socket.Send(socket.Addr(), []byte(data)))
	}
	require.Equal(t, "odd datagram", <-faults)
	require.Equal(t, "sound", <-received)
	require.NoError(t, socket.Close())
	wg.Wait()
}
