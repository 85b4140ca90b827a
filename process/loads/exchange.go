package loads

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Instances send their loads to all others directly while there are at most
	// relayBelow of them, and through relays from relayFrom on.
	relayFrom  = 100
	relayBelow = 80

	relaysPerPlace = 2                      // the first one serves the place, the second one knows all sums in case it ends
	relaySilence   = 700 * time.Millisecond // after which a relay that tells nothing is replaced
	relayAvoided   = 5 * time.Second        // for which another one is used
	idleInterval   = 5 * RelayInterval      // of Tick at an instance that relays nothing
	farewellSends  = 4                      // datagrams to a relay that is used no more, in case one is lost

	// Age of what an instance knows of the loads of the others: batching, the intervals of
	// two relays, half of each at the mean, and the latency between regions.
	directAge = 35 * time.Millisecond
	relayAge  = directAge + RelayInterval

	// relayTag begins datagrams from and for relays, with the kind in the second byte. It
	// encodes no array, so that an instance of an older version drops them.
	relayTag    = 0xc3
	collectKind = 'u' // loads of an instance, for a relay
	zoneKind    = 'z' // sums of a relay, for relays
)

type (
	// Peer is one of the live instances.
	Peer struct {
		ID, Place string
		Addr      string // for datagrams with loads
		Link      int    // rate of its link; those with faster ones are relays first
		Relays    bool   // it can be a relay, and understands what relays send
		Leaving   bool
	}

	// Exchange tells the other instances the loads of this one, and passes on the loads of
	// others. Up to about 100 instances send to each other. More of them send their loads to
	// one instance of their place, a relay, which sums up: what an instance sends and receives
	// then does not grow with the number of instances, and what a relay sends grows with
	// the number of instances in its place. An instance whose relay is silent uses the
	// next one of its place.
	//
	// Its fields are set before use. The methods are safe for concurrent use.
	Exchange struct {
		ID, Place string
		// Peers returns the live instances, with this one. As long as they do not change, it
		// returns the same slice.
		Peers func() []Peer
		// Send sends a datagram. The kind is "direct", "collect", "sum" or "zone".
		Send func(addr string, data []byte, kind string)
		// Needed is called when another instance begins to use this one as its relay, so that
		// Tick is due. It may be nil.
		Needed func()
		// Board gets the loads of the others.
		Board *Board

		mu      sync.Mutex
		sender  Sender
		relay   *relay
		relayed bool       // loads are sent to a relay
		current Peer       // that relay; without an ID if there is none
		heard   time.Time  // when it last told something, or was chosen
		asked   time.Time  // when it was last sent all loads because it had told nothing
		left    []farewell // of relays that were used before
		avoid   map[string]time.Time
		ticked  time.Time
		layout  layout
	}

	// farewell is what tells a relay that this instance uses it no more: the last datagrams
	// for it, with the end of all loads. Until one arrives, the loads of this instance count
	// twice everywhere.
	farewell struct {
		relay     Peer
		datagrams [][]byte
		sends     int // that are left
		at        time.Time
	}

	// layout is who relays what, as follows from the live instances.
	layout struct {
		peers  []Peer
		here   []Peer   // that can be relays of this place, in the order in which they are chosen
		older  []Peer   // of this place, that do not understand relays
		relays []string // addresses of the first relays of all places, without this instance
	}
)

// Offer sends the loads of this instance that have changed, with all also the others, and
// notices.
func (x *Exchange) Offer(own []Load, notices []Notice, all bool, now time.Time) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.init()
	datagrams, err := x.encode(own, notices, all)
	if err != nil {
		return err
	}
	x.send(datagrams, now)
	return nil
}

func (x *Exchange) init() {
	if x.relay == nil {
		x.relay, x.avoid, x.sender.From = newRelay(x.ID), map[string]time.Time{}, x.ID
	}
}

func (x *Exchange) encode(own []Load, notices []Notice, all bool) ([][]byte, error) {
	datagrams, err := x.sender.Changes(own, all)
	if err != nil || len(notices) == 0 && (len(datagrams) > 0 || !all || x.current.ID == "") {
		return datagrams, err
	}
	// An instance without loads sends an empty datagram to its relay, which then knows whom
	// to tell the loads of the others.
	data, err := x.sender.Notices(notices...)
	return append(datagrams, data), err
}

// send sends datagrams to the relay, or to all others if there is none.
func (x *Exchange) send(datagrams [][]byte, now time.Time) {
	for _, data := range datagrams {
		switch x.current.ID {
		case "":
			for _, p := range x.Peers() {
				if p.ID != x.ID {
					x.Send(p.Addr, data, "direct")
				}
			}
		case x.ID:
			_ = x.relay.collect(data, "", now) // encoded here
		default:
			x.sendToRelay(x.current, data)
		}
	}
}

func (x *Exchange) sendToRelay(relay Peer, data []byte) {
	x.Send(relay.Addr, append([]byte{relayTag, collectKind}, data...), "collect")
}

// Tick chooses how this instance sends its loads, and sends what it passes on for others. It
// is called after each Interval, with the loads of this instance.
func (x *Exchange) Tick(own func() []Load, now time.Time) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.init()
	if now.Sub(x.ticked) > 2*idleInterval {
		x.heard = now // this process has stood still, which says nothing about the relay
	}
	x.ticked = now
	x.updateLayout()
	if next := x.choose(now); next.ID != x.current.ID {
		if err := x.change(next, own(), now); err != nil {
			return err
		}
	}
	if err := x.askAgain(own, now); err != nil {
		return err
	}
	x.sayFarewell(now)
	return x.flush(now)
}

// askAgain sends all loads to a relay that has told nothing for half of the time after which
// it is replaced: it may not know this instance, because the first datagram was lost.
func (x *Exchange) askAgain(own func() []Load, now time.Time) error {
	latest := x.heard
	if x.asked.After(latest) {
		latest = x.asked
	}
	if x.current.ID == "" || x.current.ID == x.ID || now.Sub(latest) < relaySilence/2 {
		return nil
	}
	x.asked = now
	datagrams, err := x.encode(own(), nil, true)
	if err != nil {
		return err
	}
	x.send(datagrams, now)
	return nil
}

// sayFarewell tells the relays that were used before that they are not used now.
func (x *Exchange) sayFarewell(now time.Time) {
	for k := range x.left {
		f := &x.left[k]
		if now.Before(f.at) {
			continue
		}
		f.sends, f.at = f.sends-1, now.Add(idleInterval/2)
		for _, data := range f.datagrams {
			x.sendToRelay(f.relay, data)
		}
	}
	x.left = slices.DeleteFunc(x.left, func(f farewell) bool { return f.sends <= 0 })
}

// choose returns the relay to use.
func (x *Exchange) choose(now time.Time) Peer {
	if n := len(x.layout.peers); n > relayFrom || n <= relayBelow {
		x.relayed = n > relayFrom
	}
	if !x.relayed {
		return Peer{}
	}
	if x.current.ID != "" && x.current.ID != x.ID && now.Sub(x.heard) > relaySilence {
		x.avoid[x.current.ID] = now.Add(relayAvoided)
	}
	for _, p := range x.layout.here {
		if until, ok := x.avoid[p.ID]; !ok || !now.Before(until) {
			return p
		}
	}
	return Peer{}
}

// rank returns those of the instances of a place that can be relays, in the order in which
// they are chosen.
func rank(peers []Peer) []Peer {
	list := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return !p.Relays || p.Leaving })
	slices.SortFunc(list, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.Link, a.Link), cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// change makes another instance the relay of this one, or none. The earlier one, or all
// others, forget the loads that they know from this instance.
func (x *Exchange) change(next Peer, own []Load, now time.Time) error {
	datagrams, err := x.sender.Changes(nil, false)
	if err != nil {
		return err
	}
	x.left = slices.DeleteFunc(x.left, func(f farewell) bool { return f.relay.ID == next.ID })
	if x.current.ID != "" && x.current.ID != x.ID {
		x.left = append(x.left, farewell{relay: x.current, datagrams: datagrams, sends: farewellSends})
	} else {
		x.send(datagrams, now)
	}
	x.Board.Drop(x.current.ID + sumSuffix)
	x.current, x.heard = next, now
	first, err := x.encode(own, nil, true)
	if err != nil {
		return err
	}
	x.send(first, now)
	return nil
}

// flush sends what this instance passes on for others.
func (x *Exchange) flush(now time.Time) error {
	if x.relay.isIdle() {
		return nil
	}
	if here := x.layout.here; len(here) > 0 && here[0].ID == x.ID {
		x.adoptOlder(now)
	}
	return x.relay.flush(x.layout.relays, func(addr string, data []byte, kind string) {
		if addr == "" {
			if x.current.ID == x.ID { // else it has just become another instance's subscriber
				_ = x.Board.Receive(data, now) // encoded here
			}
			return
		}
		x.Send(addr, data, kind)
	}, now)
}

// updateLayout works out who relays what, if the live instances have changed.
func (x *Exchange) updateLayout() {
	peers := x.Peers()
	if old := x.layout.peers; len(old) == len(peers) && len(old) > 0 && &old[0] == &peers[0] {
		return
	}
	x.layout = layout{peers: peers}
	byPlace := map[string][]Peer{}
	for _, p := range peers {
		byPlace[p.Place] = append(byPlace[p.Place], p)
		if p.Place == x.Place && !p.Relays {
			x.layout.older = append(x.layout.older, p)
		}
	}
	for place, list := range byPlace {
		list = rank(list)
		if place == x.Place {
			x.layout.here = list
		}
		for _, p := range list[:min(len(list), relaysPerPlace)] {
			if p.ID != x.ID {
				x.layout.relays = append(x.layout.relays, p.Addr)
			}
		}
	}
}

// adoptOlder has the instances of the place told the sums that cannot ask for them, those
// of an older version: they take the relay for one more instance.
func (x *Exchange) adoptOlder(now time.Time) {
	for _, p := range x.layout.older {
		s := x.relay.subscribers[p.ID]
		if s == nil {
			s = &subscriber{}
			x.relay.subscribers[p.ID] = s
		}
		s.addr, s.seen = p.Addr, now
	}
}

// Receive handles a datagram with loads or notices.
func (x *Exchange) Receive(data []byte, from string, now time.Time) error {
	if x.Board.receiveOther(data) {
		return nil
	}
	if len(data) < 2 || data[0] != relayTag {
		return x.receiveLoads(data, now)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.init()
	var err error
	idle := x.relay.isIdle()
	switch data[1] {
	case collectKind:
		err = x.relay.collect(data[2:], from, now)
		if idle && !x.relay.isIdle() && x.Needed != nil {
			x.Needed()
		}
	case zoneKind:
		err = x.relay.collectZone(data[2:], from, now)
	}
	return err
}

// receiveLoads handles loads of an instance, or sums of a relay. Only the sums of the relay
// in use count: those of two would count the same loads twice.
func (x *Exchange) receiveLoads(data []byte, now time.Time) error {
	return x.Board.receiveIf(data, func(sender string) bool {
		id, isSum := strings.CutSuffix(sender, sumSuffix)
		if !isSum {
			return true
		}
		x.mu.Lock()
		defer x.mu.Unlock()
		if id != x.current.ID {
			return false
		}
		x.heard = now
		return true
	}, now)
}

// Age returns the mean age of what this instance knows of the loads of the others.
func (x *Exchange) Age() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.current.ID != "" {
		return relayAge
	}
	return directAge
}

// Interval returns the time after which Tick is due again.
func (x *Exchange) Interval() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.relay != nil && !x.relay.isIdle():
		return RelayInterval
	case x.relayed:
		return idleInterval
	}
	return RefreshInterval
}
