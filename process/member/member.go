// Package member keeps the list of live entries with a cost per entry that
// does not grow with their number.
//
// The protocol is SWIM (Das, Gupta, Motivala 2002) with digests added. Each node
// probes one member per period, in a shuffled round. A member that
// does not acknowledge is probed again directly and through two others; if
// that fails too, it becomes suspect. A suspect that does not refute within a
// timeout that grows with the logarithm of the number of members is dead. All
// changes ride on the probes as rows; a row is the status of one member at one
// incarnation. A higher incarnation supersedes a lower one, and at the same
// incarnation the order is alive, suspect, dead, left. Only a member itself
// raises its incarnation, so it can always refute what others say of it.
//
// Rows that gossip missed are found by comparing digests: a table is divided
// into buckets, each with a hash of its live rows, and two nodes exchange the
// rows of the buckets that differ. Everything optional (piggybacked rows,
// extra gossip, transfers) is paid from one byte budget.
//
// The view may be wrong at any time, and nothing may depend on its being
// right. A wrong view costs a failed attempt or a delay.
//
// The core has no goroutines and no sockets: Step and Receive drive it, and
// Send carries datagrams away. Run adds a ticker and the list of instances.
package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// Tick is the interval at which Run calls Step.
	Tick = 100 * time.Millisecond
	// Period is the interval between two probes by one node.
	Period = 500 * time.Millisecond
	// MaxPayload is the largest payload in bytes.
	MaxPayload = 200

	retryTimeout   = 200 * time.Millisecond // a probe is then repeated, directly and through others
	failTimeout    = time.Second            // a probe has then failed; covers two round trips of 300 ms
	indirectProbes = 2
	suspectPeriods = 5                      // suspicion timeout in periods, times log10 of the members
	stallLimit     = 500 * time.Millisecond // a longer gap between steps voids the probes under way
	pauseLimit     = 2 * time.Second        // a longer gap makes the node refute before it is told
	deadMemory     = 10 * time.Minute       // exceeds the time that late gossip or a partition lasts
	deadInterval   = 2 * time.Second        // interval of probes to dead members and seeds
	syncInterval   = 10 * time.Second
	seedInterval   = time.Minute
	budgetBytes    = 8000  // optional bytes per second; leaves room for probes within 14 KB/s
	budgetBurst    = 12000 // optional bytes at once
	maxHealth      = 8
)

type (
	// Member is one entry. Addr serves callers, Probe receives datagrams, RPC
	// serves other entries; all are IP address and port.
	Member struct {
		ID          string `json:"id"`
		Addr        string `json:"addr,omitempty"`
		Probe       string `json:"probe"`
		RPC         string `json:"rpc,omitempty"`
		Place       string `json:"place,omitempty"`
		Region      string `json:"region,omitempty"`
		Incarnation uint64 `json:"incarnation,omitempty"`
		// Leaving members still serve but take no new callers.
		Leaving bool `json:"leaving,omitempty"`
	}

	// Status is what a node believes of a member.
	Status uint8

	// Stats counts what one node did.
	Stats struct {
		Datagrams  int64 // sent
		Bytes      int64 // sent, without IP and UDP headers
		Received   int64 // bytes received
		Malformed  int64 // datagrams dropped by the decoder
		Suspicions int64 // members that this node was first to suspect, as far as it knew
		Deaths     int64 // members that this node declared dead
		Refuted    int64 // times this node raised its incarnation to refute
	}

	// Node is one participant. Fields are set before the first Step, Receive or
	// Run. Callbacks run without locks held, but must not call Step or Receive.
	Node struct {
		// Self describes this entry. Incarnation must grow from one process to
		// the next at the same address; 0 means the start time in milliseconds.
		Self Member
		// Seeds lists members that may exist, such as the instance list. Run
		// calls it at the start and once a minute; nil means none.
		Seeds func(ctx context.Context) ([]Member, error)
		// Send carries one datagram to a Probe address; if nil, Run opens a UDP
		// socket at Self.Probe.
		Send func(addr string, data []byte) error
		// Now gives the time; time.Now if nil.
		Now func() time.Time
		// Seed seeds the random choices; with 0 they differ in each process.
		Seed uint64
		// Changed gets the live members after each change of them.
		Changed func([]Member)
		// Payload gives the bytes that ride on every datagram, at most MaxPayload.
		Payload func() []byte
		// OnPayload gets the payload of every datagram received.
		OnPayload func(from string, data []byte)

		snapshot atomic.Pointer[[]Member]
		calls    sync.Mutex // orders calls of Changed

		mu       sync.Mutex
		started  bool
		gone     bool // Leave was called, or another process took the ID
		dirty    bool
		last     time.Time
		payload  []byte
		random   *rand.Rand
		budget   *rate.Limiter
		stats    Stats
		out      []packet
		rows     map[string]*entry
		probes   map[uint64]*probe
		relays   map[uint64]relay
		suspects map[string]*entry
		addrs    map[string]string // Probe address to ID of the live member there
		live     []*entry          // without self
		dead     []*entry
		ring     []*entry
		buckets  [bucketCount]uint64
		queue    [][]*update
		queued   map[string]*update
		seeds    []Member
		unasked  []Member // seeds not yet asked
		transfer []transfer
		hot      int // ticks of extra gossip left
		health   int
		seq      uint64

		nextProbe, nextDead, nextSync, nextForget time.Time
	}

	entry struct {
		Member
		status   Status
		deadline time.Time // of a suspicion
		asked    int       // times that this node itself asked the suspect
		since    time.Time // of death
		spot     int       // index in live or dead
	}

	packet struct {
		addr string
		data []byte
	}
)

// Statuses, in the order in which they supersede each other at one incarnation.
const (
	Absent  Status = iota // never heard of, or forgotten
	Alive                 // answers probes
	Suspect               // did not answer and may still refute
	Dead                  // did not refute in time
	Left                  // announced its leave, or another instance has its address
)

// String names the status.
func (s Status) String() string {
	return [...]string{"absent", "alive", "suspect", "dead", "left"}[min(s, Left)]
}

// Members gives the live members, this one included, sorted by ID. Suspects
// count as live. The slice is shared and must not be changed.
func (n *Node) Members() []Member {
	if p := n.snapshot.Load(); p != nil {
		return *p
	}
	return nil
}

// Status tells what is known of a member.
func (n *Node) Status(id string) Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e := n.rows[id]; e != nil {
		return e.status
	}
	return Absent
}

// Stats gives the counts so far.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stats
}

// Nudge spreads a new payload faster than the probes do, through extra
// datagrams for a number of ticks that grows with the logarithm of the members.
func (n *Node) Nudge() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hot = hotTicks(len(n.live) + 1)
}

// Tell sends one member a datagram at once, so that it gets the payload.
func (n *Node) Tell(id string) {
	n.enter(func(time.Time) {
		if e := n.rows[id]; e != nil && e.status < Dead && id != n.Self.ID {
			n.post(e.Probe, &datagram{Kind: kindGossip})
		}
	})
}

// Ask makes one member send its payload at once.
func (n *Node) Ask(id string) {
	n.enter(func(time.Time) {
		if e := n.rows[id]; e != nil && e.status < Dead && id != n.Self.ID {
			n.ping(e, 0)
		}
	})
}

// Drain marks this member as leaving; it stays a member until Leave.
func (n *Node) Drain() {
	n.enter(func(time.Time) {
		if !n.gone && !n.Self.Leaving {
			n.Self.Leaving = true
			n.raise(n.Self.Incarnation)
		}
	})
}

// Leave announces that this member goes. The node goes on relaying gossip
// until Run ends, but is no longer a member.
func (n *Node) Leave() {
	n.enter(func(now time.Time) {
		if n.gone {
			return
		}
		n.gone = true
		n.merge(row{Status: Left, Inc: n.Self.Incarnation, ID: n.Self.ID}, now, false)
		for _, e := range n.pick(4*indirectProbes, nil) {
			n.post(e.Probe, &datagram{Kind: kindGossip})
		}
	})
}

// Step does what is due at the given time.
func (n *Node) Step(now time.Time) {
	n.enterAt(now, func(now time.Time) {
		n.expireProbes(now)
		n.expireSuspects(now)
		if !now.Before(n.nextProbe) {
			n.nextProbe = now.Add(Period)
			n.probeNext(now)
		}
		n.askSeeds()
		n.probeDead(now)
		n.spread(now)
		n.startSync(now)
		n.pump(now)
		n.forget(now)
	})
}

// Receive handles one datagram that came from the address.
func (n *Node) Receive(data []byte, from string) {
	d, err := decode(data)
	if err != nil {
		counts.Add("malformed", 1)
		n.mu.Lock()
		n.stats.Malformed++
		n.mu.Unlock()
		return
	}
	if n.OnPayload != nil && len(d.Payload) > 0 && d.From != n.Self.ID {
		n.OnPayload(d.From, d.Payload)
	}
	n.enter(func(now time.Time) {
		n.stats.Received += int64(len(data))
		n.handle(&d, from, now)
	})
}

func (n *Node) now() time.Time {
	if n.Now != nil {
		return n.Now()
	}
	return time.Now()
}

func (n *Node) enter(work func(now time.Time)) { n.enterAt(n.now(), work) }

// enterAt runs work under the lock and, after releasing it, sends the
// datagrams that the work produced and reports the change of members.
func (n *Node) enterAt(now time.Time, work func(now time.Time)) {
	var payload []byte
	if n.Payload != nil {
		payload = n.Payload()
	}
	n.mu.Lock()
	n.start(now)
	if n.payload = payload; len(payload) > MaxPayload {
		n.payload = nil
		counts.Add("payload_too_large", 1)
	}
	n.wake(now)
	work(now)
	out, dirty, send := n.out, n.dirty, n.Send
	n.out, n.dirty = nil, false
	if dirty {
		n.publish()
	}
	n.mu.Unlock()
	for _, p := range out {
		if send == nil { // before Run opened the socket
			break
		}
		if err := send(p.addr, p.data); err != nil {
			counts.Add("send_failed", 1)
		}
	}
	if dirty && n.Changed != nil {
		n.calls.Lock()
		n.Changed(n.Members())
		n.calls.Unlock()
	}
}

func (n *Node) start(now time.Time) {
	if n.started {
		return
	}
	n.started = true
	seed := n.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	n.random = rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
	n.budget = rate.NewLimiter(budgetBytes, budgetBurst)
	n.rows, n.queued = map[string]*entry{}, map[string]*update{}
	n.probes, n.relays = map[uint64]*probe{}, map[uint64]relay{}
	n.suspects, n.addrs = map[string]*entry{}, map[string]string{}
	if n.Self.Incarnation == 0 {
		n.Self.Incarnation = uint64(now.UnixMilli())
	}
	n.last = now
	n.nextProbe = now.Add(n.jitter(Period))
	n.nextDead = now.Add(n.jitter(deadInterval))
	n.nextSync = now.Add(n.jitter(syncInterval))
	n.merge(rowOf(n.Self, Alive), now, false)
}

func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(d)))
}

// wake handles a gap since the last step. Acknowledgements that came in the
// gap were not read, so the probes under way prove nothing, and suspects had
// no chance to refute here. After a long gap others probably suspect this
// node, so it raises its incarnation before it is told.
func (n *Node) wake(now time.Time) {
	// The monotonic clock stands still while a machine is suspended, the wall
	// clock does not.
	gap := max(now.Sub(n.last), now.Round(0).Sub(n.last.Round(0)))
	if now.Sub(n.last) <= 0 {
		return
	}
	n.last = now
	if gap <= stallLimit {
		return
	}
	counts.Add("stalls", 1)
	clear(n.probes)
	for _, e := range n.suspects {
		e.deadline, e.asked = now.Add(n.suspicion()), 0
	}
	if gap > pauseLimit && !n.gone {
		n.raise(n.Self.Incarnation)
	}
}
