package loads

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/eelgrassdock/eelgrassdock/internal/packed"
)

const (
	// RelayInterval is the time between two datagrams of a relay to an instance.
	RelayInterval = 50 * time.Millisecond

	zoneRefresh  = 500 * time.Millisecond // after which a relay repeats its sums to the other relays
	zoneLifetime = 3 * zoneRefresh        // of the sums of a relay that are not renewed: its instances soon tell another one
	noticeSends  = 2                      // datagrams in which a relay passes a notice on
	noticeMemory = 10 * time.Second       // in which a notice is passed on once

	sumSuffix  = "/sum"  // of the sender of sums that a relay sends to instances
	zoneSuffix = "/zone" // of the sender of sums that a relay sends to relays

	// maxSubscribers bounds the instances that one relay serves.
	maxSubscribers = 1024
)

type (
	// relay sums up the loads of the instances that send them to this one only, its
	// subscribers, and passes the sums on: those of its subscribers to the relays of all
	// places, and those of all instances to its subscribers. What a subscriber is told leaves
	// out its own loads. It is not safe for concurrent use, except for its boards.
	relay struct {
		id string

		own, zones  *Board                 // what subscribers and other relays have sent
		subscribers map[string]*subscriber // by ID
		recent      map[string]time.Time   // endpoints whose sum has changed, and when: the datagram with its end may be lost
		notices     []relayedNotice
		known       map[Notice]time.Time // notices that were passed on, and when
		others      map[string]time.Time // addresses of relays that have sent their sums, and when

		sumSeq, zoneSeq uint64
		refreshed       time.Time // when all sums were sent to the relays
		paced           time.Time // when times for tokens were sent to them

		mu       sync.Mutex      // of the fields below, which the boards change by their callbacks
		dirtyOwn map[string]bool // endpoints whose sum over the subscribers has changed
		dirty    map[string]bool // endpoints whose sum over all instances has changed
	}

	subscriber struct {
		addr string
		seen time.Time
		told time.Time // when it was last sent something
		full time.Time // when it was last sent all sums
	}

	relayedNotice struct {
		Notice
		sums, zones int // datagrams in which it is still sent
	}
)

func newRelay(id string) *relay {
	r := &relay{
		id: id, own: &Board{}, zones: &Board{Lifetime: zoneLifetime}, subscribers: map[string]*subscriber{},
		dirtyOwn: map[string]bool{}, dirty: map[string]bool{}, known: map[Notice]time.Time{}, others: map[string]time.Time{}, recent: map[string]time.Time{},
	}
	r.own.OnChange = func(l Load) { r.markDirty(l.Endpoint, true) }
	r.zones.OnChange = func(l Load) { r.markDirty(l.Endpoint, false) }
	return r
}

func (r *relay) markDirty(endpoint string, own bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dirty[endpoint] = true
	if own {
		r.dirtyOwn[endpoint] = true
	}
}

// collect handles the loads of a subscriber.
func (r *relay) collect(data []byte, addr string, now time.Time) error {
	var m message
	if err := packed.Unmarshal(data, &m); err != nil {
		return fmt.Errorf("decode loads for a relay: %w", err)
	}
	s := r.subscribers[m.From]
	if s == nil {
		if len(r.subscribers) >= maxSubscribers {
			return nil
		}
		s = &subscriber{}
		r.subscribers[m.From] = s
	}
	s.addr, s.seen = addr, now
	for _, n := range r.own.apply(m, now) {
		r.pass(n, true, now)
	}
	return nil
}

// collectZone handles the sums of another relay.
func (r *relay) collectZone(data []byte, addr string, now time.Time) error {
	var m message
	if err := packed.Unmarshal(data, &m); err != nil {
		return fmt.Errorf("decode sums of a relay: %w", err)
	}
	r.others[addr] = now
	for _, n := range r.zones.apply(m, now) {
		r.pass(n, false, now)
	}
	return nil
}

// pass queues a notice for the subscribers, and if one of them has sent it for the other
// relays, unless it was passed on lately.
func (r *relay) pass(n Notice, own bool, now time.Time) {
	if at, ok := r.known[n]; ok && now.Sub(at) < noticeMemory {
		return
	}
	maps.DeleteFunc(r.known, func(_ Notice, at time.Time) bool { return now.Sub(at) >= noticeMemory })
	r.known[n] = now
	q := relayedNotice{Notice: n, sums: noticeSends}
	if own {
		q.zones = noticeSends
	}
	r.notices = append(r.notices, q)
}

// isIdle reports whether no instance uses this relay.
func (r *relay) isIdle() bool { return len(r.subscribers) == 0 }

// flush sends what has changed since the last call: to the relays in the list, and to the
// subscribers.
func (r *relay) flush(relays []string, send func(addr string, data []byte, kind string), now time.Time) error {
	all := now.Sub(r.refreshed) >= zoneRefresh
	if all {
		r.refreshed = now
		r.own.Expire(now)
		r.zones.Expire(now)
	}
	maps.DeleteFunc(r.subscribers, func(_ string, s *subscriber) bool { return now.Sub(s.seen) > Lifetime })
	r.mu.Lock()
	dirtyOwn, dirty := slices.Sorted(maps.Keys(r.dirtyOwn)), slices.Sorted(maps.Keys(r.dirty))
	clear(r.dirtyOwn)
	clear(r.dirty)
	r.mu.Unlock()
	for _, id := range dirty {
		r.recent[id] = now
	}
	if all {
		dirtyOwn = r.own.addEndpoints(r.addRecent(dirtyOwn, now))
	}
	if all && now.Sub(r.paced) >= RefreshInterval {
		r.paced = now
	} else {
		dirtyOwn = withoutPaces(dirtyOwn)
	}
	if err := r.flushZone(r.targets(relays, now), dirtyOwn, send); err != nil {
		return err
	}
	if err := r.flushSums(dirty, send, now); err != nil {
		return err
	}
	for i := range r.notices {
		r.notices[i].sums--
		r.notices[i].zones--
	}
	r.notices = slices.DeleteFunc(r.notices, func(n relayedNotice) bool { return n.sums <= 0 && n.zones <= 0 })
	return nil
}

// targets adds to a list of relays those that have sent their sums lately: they may know of
// this one before it knows of them.
func (r *relay) targets(relays []string, now time.Time) []string {
	maps.DeleteFunc(r.others, func(_ string, at time.Time) bool { return now.Sub(at) > zoneLifetime })
	list := slices.Clone(relays)
	for addr := range r.others {
		if !slices.Contains(relays, addr) {
			list = append(list, addr)
		}
	}
	return list
}

// addRecent adds to a list the endpoints whose sums have changed lately, and may have ended.
func (r *relay) addRecent(list []string, now time.Time) []string {
	maps.DeleteFunc(r.recent, func(_ string, at time.Time) bool { return now.Sub(at) > endRounds*RefreshInterval })
	return slices.AppendSeq(slices.Clone(list), maps.Keys(r.recent))
}

func (r *relay) flushZone(relays, dirty []string, send func(addr string, data []byte, kind string)) error {
	var notices []Notice
	for _, n := range r.notices {
		if n.zones > 0 {
			notices = append(notices, n.Notice)
		}
	}
	var list []Load
	for _, id := range dirty {
		list = append(list, r.own.Total(id, ""))
	}
	datagrams, err := encode(r.id+zoneSuffix, &r.zoneSeq, list, notices, false)
	if err != nil {
		return err
	}
	for _, data := range datagrams {
		for _, addr := range relays {
			send(addr, append([]byte{relayTag, zoneKind}, data...), "zone")
		}
	}
	return nil
}

// flushSums sends to each subscriber the sums over all other instances: those that have
// changed, and once a second all. One that has been told nothing for a while gets an empty
// datagram, so that it does not take this relay for dead.
func (r *relay) flushSums(dirty []string, send func(addr string, data []byte, kind string), now time.Time) error {
	var notices []Notice
	for _, n := range r.notices {
		if n.sums > 0 {
			notices = append(notices, n.Notice)
		}
	}
	frequent := withoutPaces(dirty)
	for id, s := range r.subscribers {
		changed := frequent
		if now.Sub(s.full) >= RefreshInterval {
			s.full = now
			changed = r.zones.addEndpoints(r.own.addEndpoints(r.addRecent(dirty, now)))
		}
		list := make([]Load, 0, len(changed))
		for _, endpoint := range changed {
			l, far := r.own.Total(endpoint, id), r.zones.Total(endpoint, "")
			list = append(list, Load{
				Endpoint: endpoint, Runs: l.Runs + far.Runs, Tokens: l.Tokens + far.Tokens, Copied: l.Copied + far.Copied, Sent: l.Sent + far.Sent,
			})
		}
		datagrams, err := encode(r.id+sumSuffix, &r.sumSeq, list, notices, now.Sub(s.told) >= relaySilence/4)
		if err != nil {
			return err
		}
		for _, data := range datagrams {
			s.told = now
			send(s.addr, data, "sum")
		}
	}
	return nil
}

// encode returns datagrams with loads and others with notices, and an empty one if there is
// nothing to send but always is set.
func encode(from string, seq *uint64, list []Load, notices []Notice, always bool) ([][]byte, error) {
	var out [][]byte
	for always || len(list) > 0 || len(notices) > 0 {
		m := message{From: from}
		*seq++
		m.Seq = *seq
		if n := min(len(notices), maxPerDatagram); n > 0 {
			m.Notices, notices = notices[:n], notices[n:]
		} else {
			n := min(len(list), maxPerDatagram)
			m.Loads, list = list[:n], list[n:]
		}
		data, err := msgpack.Marshal(&m)
		if err != nil {
			return nil, fmt.Errorf("encode loads: %w", err)
		}
		out, always = append(out, data), false
	}
	return out, nil
}
