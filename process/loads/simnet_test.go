package loads

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

const (
	simStep    = 25 * time.Millisecond
	simEngines = 40
	simMany    = 102  // instances, enough for relays
	simRate    = 1.15 // changes of loads a second at each instance, as in the large deployment
	simFar     = 30 * time.Millisecond
	simNear    = 2 * time.Millisecond
)

type (
	// simNet is a network of instances in places, each with an Exchange.
	simNet struct {
		t         testing.TB
		now       time.Time
		random    *rand.Rand
		instances []*simInstance
		flying    []simDatagram
		links     map[string]*rand.Rand // luck of the datagrams from one instance to another; relays send in no certain order
		loss      float64               // share of datagrams that are lost
		doubled   float64               // share that arrive twice
		late      time.Duration
		luck      uint64                                        // seed of what is lost, doubled or late
		lose      func(from, to *simInstance, data []byte) bool // further datagrams that are lost; may be nil
		cut       string                                        // place that no datagram enters or leaves
		peers     []Peer
		quiet     bool // loads do not change
		engines   int
	}

	simInstance struct {
		Peer
		x        *Exchange
		older    *Board // of an instance of an older version, which sends and receives loads only
		sender   Sender
		own      map[string]Load
		at       time.Time // of the next Tick
		round    time.Time // of the next full round
		dead     bool
		frozen   bool
		paced    bool // its generations take times for tokens that it tells
		waiting  []simDatagram
		received int
		bytes    int
		sent     int
		notices  map[string]time.Time
	}

	simDatagram struct {
		at       time.Time
		to, from string
		data     []byte
	}
)

// newSim returns a network of instances in six places, the first three of each with faster
// links. The last older ones of them are of an older version.
func newSim(t testing.TB, n, older int) *simNet {
	s := &simNet{t: t, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2)), engines: simEngines, links: map[string]*rand.Rand{}}
	for i := range n {
		link := 20
		if i/6 < 3 {
			link = 200
		}
		s.add(Peer{ID: fmt.Sprint("i", i), Place: fmt.Sprint("p", i%6), Addr: fmt.Sprint("a", i), Link: link, Relays: i < n-older})
	}
	s.list()
	return s
}

func (s *simNet) add(p Peer) *simInstance {
	i := &simInstance{Peer: p, own: map[string]Load{}, notices: map[string]time.Time{}, round: s.now.Add(time.Duration(s.random.Int64N(int64(time.Second))))}
	board := &Board{
		OnChange: func(Load) {}, OnSuspects: func([]byte) {}, OnLimits: func([]byte) {},
		OnNotice: func(n Notice) {
			if _, ok := i.notices[n.Endpoint]; !ok {
				i.notices[n.Endpoint] = s.now
			}
		},
	}
	if p.Relays {
		i.x = &Exchange{ID: p.ID, Place: p.Place, Board: board, Peers: func() []Peer { return s.peers }, Send: func(addr string, data []byte, _ string) { s.send(i, addr, data) }}
	} else {
		i.older, i.sender.From = board, p.ID
	}
	s.instances = append(s.instances, i)
	return i
}

// list tells all instances who is alive.
func (s *simNet) list() {
	s.peers = nil
	for _, i := range s.instances {
		if !i.dead {
			s.peers = append(s.peers, i.Peer)
		}
	}
}

func (s *simNet) send(from *simInstance, addr string, data []byte) {
	from.sent++
	k := slices.IndexFunc(s.instances, func(i *simInstance) bool { return i.Addr == addr })
	to := s.instances[k]
	if to.Place != from.Place && (s.cut == to.Place || s.cut == from.Place) {
		return
	}
	if s.lose != nil && s.lose(from, to, data) {
		return
	}
	delay := simNear
	if to.Place[1:] != from.Place[1:] {
		delay = simFar
	}
	luck := s.links[from.ID+">"+addr]
	if luck == nil {
		luck = rand.New(rand.NewPCG(xxhash.Sum64String(from.ID)+s.luck, xxhash.Sum64String(addr)))
		s.links[from.ID+">"+addr] = luck
	}
	for range 2 {
		if luck.Float64() >= s.loss {
			at := s.now.Add(delay + time.Duration(luck.Int64N(int64(s.late)+1)))
			s.flying = append(s.flying, simDatagram{at: at, to: addr, from: from.Addr, data: slices.Clone(data)})
		}
		if luck.Float64() >= s.doubled {
			break
		}
	}
}

// run plays the network for a time.
func (s *simNet) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simStep)
		s.deliver()
		for _, i := range s.instances {
			if !i.dead && !i.frozen {
				s.act(i)
			}
		}
	}
}

func (s *simNet) deliver() {
	var later, due []simDatagram
	for _, d := range s.flying {
		if d.at.After(s.now) {
			later = append(later, d)
		} else {
			due = append(due, d)
		}
	}
	s.flying = later
	byAddr := map[string]*simInstance{}
	for _, i := range s.instances {
		byAddr[i.Addr] = i
	}
	for _, d := range due {
		if i := byAddr[d.to]; !i.dead {
			i.waiting = append(i.waiting, d)
		}
	}
}

// act lets one instance handle what has arrived and what is due.
func (s *simNet) act(i *simInstance) {
	for _, d := range i.waiting {
		i.received++
		i.bytes += len(d.data)
		if i.x == nil {
			_ = i.older.Receive(d.data, s.now) // a newer version may send what it does not know
			continue
		}
		require.NoError(s.t, i.x.Receive(d.data, d.from, s.now))
	}
	i.waiting = nil
	changed := !s.quiet && s.random.Float64() < simRate*simStep.Seconds()
	if changed {
		s.change(i)
	}
	all := !s.now.Before(i.round)
	if all {
		i.round = s.now.Add(RefreshInterval)
		i.board().Expire(s.now)
	}
	if changed || all {
		s.offer(i, nil, all)
	}
	if i.x != nil && !s.now.Before(i.at) {
		require.NoError(s.t, i.x.Tick(i.loads, s.now))
		i.at = s.now.Add(i.x.Interval())
	}
}

func (s *simNet) offer(i *simInstance, notices []Notice, all bool) {
	if i.x != nil {
		require.NoError(s.t, i.x.Offer(i.loads(), notices, all, s.now))
		return
	}
	list, err := i.sender.Changes(i.loads(), all)
	require.NoError(s.t, err)
	for _, data := range list {
		for _, p := range s.peers {
			if p.ID != i.ID {
				s.send(i, p.Addr, data)
			}
		}
	}
}

func (i *simInstance) board() *Board {
	if i.x == nil {
		return i.older
	}
	return i.x.Board
}

func (i *simInstance) loads() (list []Load) {
	for _, id := range slices.Sorted(maps.Keys(i.own)) {
		l := i.own[id]
		if i.paced && l.Runs > 0 {
			l.Took, l.Predicted = l.Took+30_000, l.Predicted+29_000
			i.own[id] = l
		}
		list = append(list, l)
	}
	return list
}

// change begins or ends a generation.
func (s *simNet) change(i *simInstance) {
	for _, id := range slices.Sorted(maps.Keys(i.own)) {
		if l := i.own[id]; l.Runs > 0 && s.random.IntN(2) == 0 {
			l.Runs, l.Tokens = l.Runs-1, l.Tokens-3000
			i.own[id] = l
			return
		}
	}
	id := fmt.Sprint("e", s.random.IntN(s.engines))
	l := i.own[id]
	i.own[id] = Load{Endpoint: id, Runs: l.Runs + 1, Tokens: l.Tokens + 3000, Sent: l.Sent + 3000, Took: l.Took, Predicted: l.Predicted}
}

// wrong returns the number of pairs of an instance and an engine for which the instance has
// another sum than the truth.
func (s *simNet) wrong() (n int) {
	truth := map[string]Load{}
	for _, i := range s.instances {
		if !i.dead {
			for id, l := range i.own {
				sum := truth[id]
				sum.Runs, sum.Tokens = sum.Runs+l.Runs, sum.Tokens+l.Tokens
				truth[id] = sum
			}
		}
	}
	for _, i := range s.instances {
		if i.dead || i.frozen {
			continue
		}
		for k := range s.engines {
			id := fmt.Sprint("e", k)
			sum := i.board().Sum(id)
			if sum.Runs != truth[id].Runs-i.own[id].Runs || sum.Tokens != truth[id].Tokens-i.own[id].Tokens {
				if n++; n <= 3 {
					s.t.Logf("%s in %s knows %d of %d runs at %s", i.ID, i.Place, sum.Runs, truth[id].Runs-i.own[id].Runs, id)
				}
			}
		}
	}
	return n
}

// relayOf returns the instance that is the relay of another one.
func (s *simNet) relayOf(i *simInstance) *simInstance {
	k := slices.IndexFunc(s.instances, func(o *simInstance) bool { return o.ID == i.x.current.ID })
	require.GreaterOrEqual(s.t, k, 0)
	return s.instances[k]
}

// settle requires that all sums are right once loads no longer change.
func (s *simNet) settle(within time.Duration) {
	s.t.Helper()
	s.quiet = true
	s.run(within)
	require.Zero(s.t, s.wrong(), "of %d sums", len(s.instances)*s.engines)
	s.quiet = false
}
