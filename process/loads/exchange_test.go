package loads

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/internal/packed"
)

// Guards against messages that grow with the square of the instances: between 100 and 295
// of them, the middle one must not receive more than twice as many.
func TestMessagesDoNotGrowWithInstances(t *testing.T) {
	t.Parallel()
	middle := map[int]int{}
	for _, n := range []int{simMany, 295} {
		s := newSim(t, n, 0)
		s.engines = 130
		for _, i := range s.instances {
			i.paced = true
		}
		s.run(4 * time.Second) // until times for tokens have reached all
		for _, i := range s.instances {
			i.received, i.bytes, i.sent = 0, 0, 0
		}
		s.run(time.Second)
		var received []int
		most, bytes := 0, 0
		for _, i := range s.instances {
			received = append(received, i.received)
			most, bytes = max(most, i.sent), max(bytes, i.bytes)
		}
		slices.Sort(received)
		middle[n] = received[n/2]
		t.Logf("%d instances: middle receives %d a second, busiest %d, busiest sends %d, %d B/s at most", n, middle[n], received[n-1], most, bytes)
	}
	require.LessOrEqual(t, middle[295], 2*middle[simMany])
	require.LessOrEqual(t, middle[295], 63, "a tenth of what a change and a round to each of 295 took")
}

// Guards against loads that stay unknown or are counted twice after the relay of a place has
// ended, or has stood still and goes on.
func TestARelayEnds(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"dead", "frozen", "leaving"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			s := newSim(t, simMany, 0)
			s.run(2 * time.Second)
			relay := s.relayOf(s.instances[simMany-1])
			require.Equal(t, 200, relay.Link)
			switch how {
			case "dead":
				relay.dead = true // the others learn it later
				relay.own = map[string]Load{}
			case "frozen":
				relay.frozen = true
			case "leaving":
				relay.Leaving = true
				s.list()
			}
			s.run(relaySilence + 400*time.Millisecond)
			require.NotEqual(t, relay.ID, s.instances[simMany-1].x.current.ID)
			if how == "dead" {
				s.list()
			}
			if how == "frozen" {
				s.run(2 * time.Second)
				relay.frozen = false
			}
			s.run(time.Second)
			s.settle(Lifetime + 2*time.Second)
		})
	}
}

// Guards against sums that stay wrong after datagrams were lost, late or doubled. With luck
// 10 an instance changed its relay twice, and the datagram with which it left was lost.
func TestSumsWithPoorLinks(t *testing.T) {
	t.Parallel()
	for _, luck := range []uint64{0, 9, 10, 35} {
		t.Run(fmt.Sprint(luck), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, simMany, 0)
			s.loss, s.doubled, s.late, s.luck = 0.05, 0.05, 100*time.Millisecond, luck
			s.run(4 * time.Second)
			s.settle(Lifetime + 3*time.Second)
		})
	}
}

// isCollect reports whether a datagram is for a relay, from an instance that uses it.
func isCollect(data []byte) bool { return data[0] == relayTag && data[1] == collectKind }

// Guards against loads that count twice for as long as they live, because the datagram with
// which an instance leaves its relay is lost.
func TestFarewellIsLost(t *testing.T) {
	t.Parallel()
	s := newSim(t, simMany, 0)
	s.run(2 * time.Second)
	last := s.instances[simMany-1]
	old := s.relayOf(last)
	old.Leaving = true
	s.list()
	lost := map[*simInstance]bool{}
	s.lose = func(from, to *simInstance, data []byte) bool {
		var m message
		if to != old || !isCollect(data) || lost[from] || packed.Unmarshal(data[2:], &m) != nil {
			return false
		}
		ended := !slices.ContainsFunc(m.Loads, func(l Load) bool { return l.Runs > 0 })
		lost[from] = ended && len(m.Loads) == len(from.own)
		return lost[from]
	}
	s.run(2 * idleInterval)
	require.True(t, lost[last])
	s.settle(time.Second)
}

// Guards against instances that replace a sound relay, because the first datagram with which
// they asked it was lost.
func TestFirstDatagramForARelayIsLost(t *testing.T) {
	t.Parallel()
	s := newSim(t, simMany, 0)
	chosen := map[*simInstance]string{}
	s.lose = func(from, to *simInstance, data []byte) bool {
		if !isCollect(data) || chosen[from] != "" {
			return false
		}
		chosen[from] = to.ID
		return true
	}
	s.run(relaySilence + time.Second)
	require.Greater(t, len(chosen), simMany/2)
	for i, id := range chosen {
		require.Equal(t, id, i.x.current.ID, i.ID)
	}
	s.settle(Lifetime)
}

// Guards against loads that are lost or counted twice for good after a place was cut off.
func TestAPlaceIsCutOff(t *testing.T) {
	t.Parallel()
	s := newSim(t, simMany, 0)
	s.run(2 * time.Second)
	s.cut = "p3"
	s.run(Lifetime + time.Second)
	s.cut = ""
	s.run(time.Second)
	s.settle(Lifetime + 2*time.Second)
}

// Guards against instances of an older version that miss the loads of the others, or count
// them twice.
func TestOlderInstancesAreToldToo(t *testing.T) {
	t.Parallel()
	s := newSim(t, simMany, 12)
	s.run(3 * time.Second)
	s.settle(2 * time.Second)
}

// Guards against relays that instances disagree about: some of them do not know yet that the
// first relay of their place has joined.
func TestInstancesDisagreeOnTheirRelay(t *testing.T) {
	t.Parallel()
	s := newSim(t, simMany, 0)
	s.run(2 * time.Second)
	old := s.peers
	joined := s.add(Peer{ID: "joined", Place: "p1", Addr: "joined", Link: 1000, Relays: true})
	for k, i := range s.instances {
		if k%2 == 0 {
			i.x.Peers = func() []Peer { return old }
		}
	}
	s.list()
	s.run(time.Second)
	require.NotEmpty(t, joined.x.relay.subscribers)
	s.settle(Lifetime + time.Second)
	for _, i := range s.instances {
		i.x.Peers = func() []Peer { return s.peers }
	}
	s.run(time.Second)
	s.settle(Lifetime + time.Second)
}

// Guards against notices of leaving that reach instances late, also if some datagrams are lost:
// drain_ms is 3 s at the least, and the list may take 2 s.
func TestNoticesReachAll(t *testing.T) {
	t.Parallel()
	s := newSim(t, simMany, 0)
	s.run(2 * time.Second)
	s.loss = 0.05
	const waves = 10
	for n := range waves {
		id := fmt.Sprint("leaves", n)
		for _, k := range []int{n, 30 + n, 60 + n} {
			s.offer(s.instances[k], []Notice{{Endpoint: id, Born: 1, Leaving: true}}, false)
		}
		s.run(300 * time.Millisecond)
	}
	missed := 0
	for _, i := range s.instances {
		for n := range waves {
			if _, ok := i.notices[fmt.Sprint("leaves", n)]; !ok {
				missed++
			}
		}
	}
	require.LessOrEqual(t, float64(missed), 0.01*float64(waves*len(s.instances)), "an instance that misses one finds out by itself")
}

// Guards against times for tokens that relays do not pass on, or count twice: each instance
// must learn most of those of all others. Some may be lost, as what follows a lapse is.
func TestTimesForTokensPassRelays(t *testing.T) {
	t.Parallel()
	s := newSim(t, simMany, 0)
	s.quiet = true
	took := make([]int64, len(s.instances))
	for k, i := range s.instances {
		i.x.Board.OnChange = func(l Load) {
			l, _ = l.Pace()
			took[k] += l.Took
		}
		i.own["e0"] = Load{Endpoint: "e0", Runs: 1, Tokens: 3000, Took: 500, Predicted: 400}
	}
	s.run(5 * time.Second)
	clear(took)
	for _, i := range s.instances {
		l := i.own["e0"]
		l.Took, l.Predicted = l.Took+100, l.Predicted+80
		i.own["e0"] = l
	}
	s.run(5 * time.Second)
	all := int64(100 * (len(s.instances) - 1))
	for k, i := range s.instances {
		require.LessOrEqual(t, took[k], all, "at %s", i.ID)
		require.GreaterOrEqual(t, took[k], all*9/10, "at %s", i.ID)
	}
}

// FuzzReceive guards against a datagram that ends the process, or makes it tell an instance
// loads out of their bounds.
func FuzzReceive(f *testing.F) {
	s := Sender{From: "i1"}
	list, err := s.Changes([]Load{{Endpoint: "e1", Runs: 1, Tokens: 3000, Sent: 3000}}, true)
	if err != nil {
		f.Fatal(err)
	}
	notice, err := s.Notices(Notice{Endpoint: "e1", Born: 1, Leaving: true})
	if err != nil {
		f.Fatal(err)
	}
	for _, data := range append(list, notice) {
		f.Add(data)
		for _, kind := range []byte{collectKind, zoneKind, 'x'} {
			f.Add(append([]byte{relayTag, kind}, data...))
		}
	}
	f.Add([]byte{relayTag})
	f.Fuzz(func(t *testing.T, data []byte) {
		n := newSim(t, 7, 0)
		x, now := n.instances[0].x, n.now
		_ = x.Receive(data, "a1", now)
		require.NoError(t, x.Tick(n.instances[0].loads, now.Add(time.Second)))
		n.deliver()
		for _, i := range n.instances {
			for _, d := range i.waiting {
				var m message
				if data := d.data[max(0, strings.IndexByte(string(d.data[:2]), zoneKind)+1):]; packed.Unmarshal(data, &m) == nil {
					for _, l := range m.Loads {
						require.True(t, l.isValid(), "%+v", l)
					}
				}
			}
		}
	})
}
