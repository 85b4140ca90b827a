package loads

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

func newBoard() (*Board, map[string]Load) {
	sums := map[string]Load{}
	return &Board{OnNotice: func(Notice) {}, OnSuspects: func([]byte) {}, OnChange: func(l Load) {
		l.Sent += sums[l.Endpoint].Sent
		sums[l.Endpoint] = l
	}}, sums
}

func send(t require.TestingT, s *Sender, b *Board, now time.Time, all bool, own ...Load) {
	list, err := s.Changes(own, all)
	require.NoError(t, err)
	for _, data := range list {
		require.NoError(t, b.Receive(data, now))
	}
}

// The sum covers the latest load of each instance, and sent tokens are reported
// only once.
func TestSums(t *testing.T) {
	b, sums := newBoard()
	x, y := &Sender{From: "x"}, &Sender{From: "y"}
	send(t, x, b, epoch, true, Load{Endpoint: "e", Runs: 1, Tokens: 100, Sent: 100})
	send(t, y, b, epoch, true, Load{Endpoint: "e", Runs: 2, Tokens: 300, Sent: 900})
	require.Equal(t, 3, sums["e"].Runs)
	require.Equal(t, int64(400), sums["e"].Tokens)
	require.Zero(t, sums["e"].Sent, "tokens sent before the first datagram of an instance must not count")
	send(t, x, b, epoch, false, Load{Endpoint: "e", Runs: 2, Tokens: 350, Sent: 350})
	require.Equal(t, int64(250), sums["e"].Sent)
	send(t, x, b, epoch, false)
	require.Equal(t, 2, sums["e"].Runs)
	require.Equal(t, 2, b.Sum("e").Runs)
}

// Guards against times for tokens that are counted twice, also after the load at an endpoint
// has ended and begun again.
func TestTimesForTokensCountOnce(t *testing.T) {
	var took, predicted int64
	b := &Board{OnChange: func(l Load) {
		l, _ = l.Pace()
		took, predicted = took+l.Took, predicted+l.Predicted
	}}
	x := &Sender{From: "x"}
	load := func(runs int, took, predicted int64) Load {
		return Load{Endpoint: "e", Runs: runs, Took: took, Predicted: predicted}
	}
	send(t, x, b, epoch, true, load(1, 1000, 900))
	require.Zero(t, took, "what was taken before the first datagram of an instance must not count")
	send(t, x, b, epoch, true, load(1, 3000, 2400))
	send(t, x, b, epoch, false) // it has ended
	send(t, x, b, epoch, true)
	send(t, x, b, epoch, true, load(2, 4000, 3200))
	require.Equal(t, []int64{3000, 2300}, []int64{took, predicted})
}

// Unchanged loads are not sent again, unless all loads are requested.
func TestOnlyChangesAreSent(t *testing.T) {
	s := &Sender{From: "x"}
	own := []Load{{Endpoint: "e", Runs: 1, Tokens: 10, Sent: 10}, {Endpoint: "f", Runs: 1, Tokens: 10, Sent: 10}}
	first, err := s.Changes(own, false)
	require.NoError(t, err)
	require.Len(t, first, 1)
	again, err := s.Changes(own, false)
	require.NoError(t, err)
	require.Empty(t, again)
	all, err := s.Changes(own, true)
	require.NoError(t, err)
	require.Len(t, all, 1)
	require.Less(t, len(all[0]), 200)
}

// Guards against an overtaken datagram that restores an older load.
func TestOvertakenDatagramIsDropped(t *testing.T) {
	b, sums := newBoard()
	s := &Sender{From: "x"}
	first, err := s.Changes([]Load{{Endpoint: "e", Runs: 5, Tokens: 50}}, false)
	require.NoError(t, err)
	second, err := s.Changes([]Load{{Endpoint: "e", Runs: 1, Tokens: 10}}, false)
	require.NoError(t, err)
	require.NoError(t, b.Receive(second[0], epoch))
	require.NoError(t, b.Receive(first[0], epoch))
	require.Equal(t, 1, sums["e"].Runs)
}

// Guards against the load of a dead instance that counts without end.
func TestLoadOfADeadInstanceLapses(t *testing.T) {
	b, sums := newBoard()
	s := &Sender{From: "x"}
	send(t, s, b, epoch, true, Load{Endpoint: "e", Runs: 3, Tokens: 30})
	b.Expire(epoch.Add(Lifetime))
	require.Equal(t, 3, sums["e"].Runs)
	b.Expire(epoch.Add(Lifetime + time.Millisecond))
	require.Zero(t, sums["e"].Runs)
	require.Zero(t, b.Sum("e").Tokens)
}

// Guards against sums that stay wrong after lost datagrams: the next full round
// must correct them.
func TestLostDatagramsAreMadeGood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, sums := newBoard()
		s := &Sender{From: "x"}
		var own []Load
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			own = nil
			for _, id := range []string{"a", "b", "c"} {
				if n := rapid.IntRange(0, 3).Draw(t, id); n > 0 {
					own = append(own, Load{Endpoint: id, Runs: n, Tokens: int64(10 * n)})
				}
			}
			list, err := s.Changes(own, false)
			require.NoError(t, err)
			for _, data := range list {
				if rapid.Bool().Draw(t, "arrives") {
					require.NoError(t, b.Receive(data, epoch))
				}
			}
		}
		now := epoch.Add(2 * Lifetime)
		send(t, s, b, now, true, own...)
		b.Expire(now)
		total := 0
		for _, l := range own {
			total += l.Runs
			require.Equal(t, l.Runs, sums[l.Endpoint].Runs)
		}
		for _, l := range sums {
			total -= l.Runs
		}
		require.Zero(t, total)
	})
}

// Guards against a notice that is reported again with a repeated datagram or
// with the next loads.
func TestNews(t *testing.T) {
	b, _ := newBoard()
	var told []Notice
	b.OnNotice = func(n Notice) { told = append(told, n) }
	notice := Notice{Endpoint: "e", Born: 7, Gone: true}
	s := &Sender{From: "x"}
	data, err := s.Notices(notice)
	require.NoError(t, err)
	require.NoError(t, b.Receive(data, epoch))
	require.NoError(t, b.Receive(data, epoch), "repeated datagram")
	send(t, s, b, epoch, true, Load{Endpoint: "f", Runs: 1})
	require.Equal(t, []Notice{notice}, told)
}

// Updates of suspects arrive as they were sent, whatever the order, and an instance of
// an older version, which reads every datagram as loads, drops them.
func TestSuspectsArrive(t *testing.T) {
	b, _ := newBoard()
	var got []string
	b.OnSuspects = func(data []byte) { got = append(got, string(data)) }
	for _, text := range []string{"b", "a", "a", ""} {
		require.NoError(t, b.Receive(Suspects([]byte(text)), epoch))
	}
	require.Equal(t, []string{"b", "a", "a", ""}, got)
	var m message
	require.Error(t, msgpack.Unmarshal(Suspects([]byte("a")), &m))
}

// Guards against a change of the datagrams that instances of other versions cannot
// read: while a release is rolled out, both versions run.
func TestDatagramsKeepTheirForm(t *testing.T) {
	type released struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

		From    string
		Seq     uint64
		Loads   []Load
		Notices []Notice
	}
	list, err := (&Sender{From: "x"}).Changes([]Load{{Endpoint: "e", Runs: 1}}, true)
	require.NoError(t, err)
	var m released
	require.NoError(t, msgpack.Unmarshal(list[0], &m))
	require.Equal(t, 1, m.Loads[0].Runs)
}

// Guards against loads that instances of earlier builds cannot read, or that they send and
// cannot be read here.
func TestLoadsOfEarlierBuilds(t *testing.T) {
	type load struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

		Endpoint             string
		Runs                 int
		Tokens, Copied, Sent int64
	}
	type earlier struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

		From    string
		Seq     uint64
		Loads   []load
		Notices []Notice
	}
	list, err := (&Sender{From: "x"}).Changes([]Load{{Endpoint: "e", Runs: 1, Sent: 7, Took: 5, Predicted: 6}, {Endpoint: "f", Runs: 2}}, true)
	require.NoError(t, err)
	var m earlier
	require.NoError(t, msgpack.Unmarshal(list[0], &m))
	require.Len(t, m.Loads, 4, "two of them at an endpoint that they do not know")
	require.Equal(t, []load{{Endpoint: "e", Runs: 1, Sent: 7}, {Endpoint: "f", Runs: 2}}, m.Loads[:2])
	data, err := msgpack.Marshal(&earlier{From: "y", Seq: 1, Loads: []load{{Endpoint: "e", Runs: 3, Tokens: 9}, {Endpoint: "f", Runs: 4}}})
	require.NoError(t, err)
	b, _ := newBoard()
	require.NoError(t, b.Receive(data, epoch))
	require.Equal(t, Load{Endpoint: "e", Runs: 3, Tokens: 9}, b.Sum("e"))
	require.Equal(t, 4, b.Sum("f").Runs)
}

// Guards against a panic on malformed datagrams.
func FuzzTake(f *testing.F) {
	list, _ := (&Sender{From: "x"}).Changes([]Load{{Endpoint: "e", Runs: 1}}, true)
	f.Add(list[0])
	f.Add([]byte{0x93, 0xa1})
	f.Add([]byte{0x94, 0xa1, 'x', 0x01, 0xdd, 0xff, 0xff, 0xff, 0xff}) // a list of 2^32-1 loads
	f.Fuzz(func(_ *testing.T, data []byte) {
		b, _ := newBoard()
		_ = b.Receive(data, epoch)
	})
}

// Guards against sums that overflow: an engine on which two instances say that they have
// the largest number of generations would look idle.
func TestLoadsOutOfBounds(t *testing.T) {
	b, _ := newBoard()
	for n, l := range []Load{
		{Runs: math.MaxInt}, {Runs: math.MinInt}, {Tokens: math.MaxInt64}, {Copied: math.MinInt64}, {Sent: math.MaxInt64}, {Runs: maxRuns + 1},
	} {
		l.Endpoint = "e"
		for from := range 3 {
			data, err := msgpack.Marshal(&message{From: fmt.Sprint("i", from), Seq: uint64(n + 1), Loads: []Load{l}})
			require.NoError(t, err)
			require.NoError(t, b.Receive(data, epoch))
		}
		require.Equal(t, Load{Endpoint: "e"}, b.Sum("e"))
	}
}

// Guards against prompts that count again when an instance comes back to an endpoint after
// its load there has lapsed: the endpoint would seem to have all of them before it.
func TestSentCountsOnceAfterALapse(t *testing.T) {
	b, sums := newBoard()
	x := &Sender{From: "x"}
	now := epoch
	send(t, x, b, now, true, Load{Endpoint: "e", Runs: 1, Tokens: 100, Sent: 100})
	for range 10 {
		now = now.Add(RefreshInterval)
		send(t, x, b, now, true, Load{Endpoint: "e", Sent: 100}, Load{Endpoint: "f", Runs: 1})
		b.Expire(now)
	}
	send(t, x, b, now, false, Load{Endpoint: "e", Runs: 1, Tokens: 30, Sent: 130}, Load{Endpoint: "f", Runs: 1})
	require.Equal(t, int64(30), sums["e"].Sent)
	require.Equal(t, int64(30), b.Total("e", "").Sent)
	require.Zero(t, b.Total("e", "x").Sent)
}
