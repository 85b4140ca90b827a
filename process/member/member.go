// Package member maintains the list of live entries by gossip. The cost per
// entry does not grow with the number of entries.
//
// The protocol is SWIM (Das, Gupta, Motivala 2002) with digests added. Each node
// probes one member per period, in an order that is shuffled for each round. A
// member that does not acknowledge is probed again, directly and through two
// other members. If that fails too, it becomes suspect. A suspect that does not
// refute this within a timeout, which grows with the logarithm of the number of
// members, is declared dead. All changes are piggybacked on the probes as rows; a
// row is the status of one member at one incarnation. A higher incarnation
// supersedes a lower one, and at the same incarnation the order is alive,
// suspect, dead, left. Only a member itself raises its incarnation, so it can
// always refute rows of others about itself.
//
// Rows that gossip missed are found by comparing digests: the table is divided
// into buckets, each with a hash of its live rows, and two nodes exchange the
// rows of the buckets that differ. All optional traffic (piggybacked rows, extra
// gossip, transfers) is limited by one byte budget.
//
// The list may be wrong at any time, and correctness must not depend on it. A
// wrong list costs a failed attempt or a delay.
//
// The core has no goroutines or sockets: Step and Receive drive it, and Send
// sends its datagrams. Run adds a ticker and reads the seeds.
package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/panics"
	"golang.org/x/time/rate"
)

const (
	// Tick is the interval at which Run calls Step.
	Tick = 100 * time.Millisecond
	// Period is the interval between two probes by one node.
	Period = 500 * time.Millisecond
	// MaxPayload is the largest payload in bytes.
	MaxPayload = 200

	retryTimeout   = 200 * time.Millisecond // before an unanswered probe is repeated, directly and through others
	failTimeout    = time.Second            // before a probe fails; covers two round trips of 300 ms
	indirectProbes = 2
	suspectPeriods = 5                      // suspicion timeout in periods, times log10 of the members
	stallLimit     = 500 * time.Millisecond // a longer gap between calls voids pending probes
	pauseLimit     = 2 * time.Second        // after a longer gap, the node refutes in advance that it is suspect or dead
	deadRetention  = 10 * time.Minute       // exceeds the time that late gossip or a partition lasts
	deadInterval   = 2 * time.Second        // interval of probes to dead members and seeds
	syncInterval   = 10 * time.Second
	seedInterval   = time.Minute
	budgetBytes    = 8000  // optional bytes per second; leaves room for probes in an entry's 14 KB/s of control traffic
	budgetBurst    = 12000 // optional bytes at once
	maxHealth      = 8
)

type (
	// Member is one entry. Addr is its address for callers, Probe for datagrams
	// and RPC for other entries, each an IP address and port.
	Member struct {
		ID          string `json:"id"`
		Addr        string `json:"addr,omitempty"`
		Probe       string `json:"probe"`
		RPC         string `json:"rpc,omitempty"`
		Place       string `json:"place,omitempty"`
		Region      string `json:"region,omitempty"`
		Incarnation uint64 `json:"incarnation,omitempty"`
		// Leaving members still serve their callers but accept no new ones.
		Leaving bool `json:"leaving,omitempty"`
	}

	// Status is the state of a member as seen by one node.
	Status uint8

	// Stats counts the traffic and the decisions of one node.
	Stats struct {
		Datagrams  int64 // sent
		Bytes      int64 // sent, without IP and UDP headers
		Received   int64 // bytes received
		Malformed  int64 // datagrams dropped by the decoder
		Suspicions int64 // members that were alive in this node's table when its probe failed
		Deaths     int64 // members that this node declared dead
		Refuted    int64 // times this node raised its incarnation to refute
	}

	// Node is one participant of the protocol. Its exported fields must be set
	// before the first Step, Receive or Run. Callbacks are called without locks
	// held, but must not call Step or Receive.
	Node struct {
		// Self describes this entry. Incarnation must be higher than that of an
		// earlier process at the same address; 0 means the start time in Unix
		// milliseconds.
		Self Member
		// Seeds returns members that may exist, such as the instance list. Run
		// calls it at the start and about once a minute, more often while it fails
		// or no other member is known. If nil, Run reads no seeds.
		Seeds func(ctx context.Context) ([]Member, error)
		// Send sends one datagram to a Probe address. If nil, Run opens a UDP
		// socket at Self.Probe.
		Send func(addr string, data []byte) error
		// Panicked is called with a panic in the handling of a datagram at the socket that
		// Run opens; may be nil.
		Panicked func(*panics.Recovered)
		// Now is the clock; time.Now if nil.
		Now func() time.Time
		// Seed seeds the random choices; with 0 they differ in each process.
		Seed uint64
		// Changed is called with the live members after each change of them.
		Changed func([]Member)
		// Payload returns the bytes that every datagram carries, at most
		// MaxPayload.
		Payload func() []byte
		// OnPayload is called with the payload of every received datagram and the
		// ID of its sender.
		OnPayload func(from string, data []byte)

		snapshot  atomic.Pointer[[]Member] // list that Members returns
		changedMu sync.Mutex               // serializes calls of Changed

		mu           sync.Mutex
		started      bool
		left         bool // Leave was called, or another process has the ID
		dirty        bool // the members have changed since the last publish
		lastCall     time.Time
		payload      []byte
		random       *rand.Rand
		budget       *rate.Limiter
		stats        Stats
		out          []packet
		rows         map[string]*entry
		probes       map[uint64]*probe
		relays       map[uint64]relay
		suspects     map[string]*entry
		addrs        map[string]string // Probe address to ID of the live member there
		live         []*entry          // without self
		dead         []*entry
		ring         []*entry // members still to be probed in this round
		buckets      [bucketCount]uint64
		queue        [][]*update        // by the number of times sent
		queued       map[string]*update // latest update by ID of the member
		seeds        []Member
		untriedSeeds []Member // seeds not yet probed
		transfer     []transfer
		extraTicks   int // remaining ticks with extra gossip
		health       int // from 0 to maxHealth; higher if own probes fail often
		seq          uint64

		nextProbe, nextDead, nextSync, nextEvict time.Time
	}

	entry struct {
		Member
		status   Status
		deadline time.Time // of a suspect, to refute
		pings    int       // extra pings from this node to the suspect
		since    time.Time // of death
		index    int       // index in live or dead
	}

	packet struct {
		addr string
		data []byte
	}
)

// Statuses, in the order in which they supersede each other at one incarnation.
const (
	Absent  Status = iota // unknown, or evicted after it died or left
	Alive                 // acknowledges probes
	Suspect               // did not acknowledge a probe and may still refute
	Dead                  // did not refute in time
	Left                  // announced its leave, or another instance has its address
)

// String returns the name of the status.
func (s Status) String() string {
	return [...]string{"absent", "alive", "suspect", "dead", "left"}[min(s, Left)]
}

// Members returns the live members, including this one, sorted by ID. Suspects
// count as live. The slice is shared and must not be modified.
func (n *Node) Members() []Member {
	if p := n.snapshot.Load(); p != nil {
		return *p
	}
	return nil
}

// Status returns the status of the member with the ID.
func (n *Node) Status(id string) Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e := n.rows[id]; e != nil {
		return e.status
	}
	return Absent
}

// Stats returns the counts so far.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stats
}

// Nudge spreads a new payload faster than the probes do. It makes the node send
// extra datagrams for a number of ticks that grows with the logarithm of the
// number of members.
func (n *Node) Nudge() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.extraTicks = gossipTicks(len(n.live) + 1)
}

// SendPayload immediately sends a datagram with the payload to another member. It
// does nothing if the member is not live.
func (n *Node) SendPayload(id string) {
	n.withLock(func(time.Time) {
		if e := n.rows[id]; e != nil && e.status < Dead && id != n.Self.ID {
			n.post(e.Probe, &datagram{Kind: kindGossip})
		}
	})
}

// RequestPayload immediately probes another member, so that it responds with its
// payload. It does nothing if the member is not live.
func (n *Node) RequestPayload(id string) {
	n.withLock(func(time.Time) {
		if e := n.rows[id]; e != nil && e.status < Dead && id != n.Self.ID {
			n.ping(e, 0)
		}
	})
}

// Drain marks this member as leaving; it stays a member until Leave.
func (n *Node) Drain() {
	n.withLock(func(time.Time) {
		if !n.left && !n.Self.Leaving {
			n.Self.Leaving = true
			n.raiseIncarnation(n.Self.Incarnation)
		}
	})
}

// Leave announces that this member leaves. The node is no longer a member then,
// but relays gossip until Run ends.
func (n *Node) Leave() {
	n.withLock(func(now time.Time) {
		if n.left {
			return
		}
		n.left = true
		n.merge(row{Status: Left, Inc: n.Self.Incarnation, ID: n.Self.ID}, now, false)
		for _, e := range n.randomMembers(4*indirectProbes, nil) {
			n.post(e.Probe, &datagram{Kind: kindGossip})
		}
	})
}

// Step does all work that is due at the given time, such as probes, timeouts and
// gossip.
func (n *Node) Step(now time.Time) {
	n.withLockAt(now, func(now time.Time) {
		n.expireProbes(now)
		n.expireSuspects(now)
		if !now.Before(n.nextProbe) {
			n.nextProbe = now.Add(Period)
			n.probeNext(now)
		}
		n.probeSeeds()
		n.probeDead(now)
		n.sendGossip(now)
		n.startSync(now)
		n.sendTransfers(now)
		n.evictDead(now)
	})
}

// Receive handles one datagram from a sender's address. Malformed datagrams are
// counted and dropped.
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
	n.withLock(func(now time.Time) {
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

func (n *Node) withLock(work func(now time.Time)) { n.withLockAt(n.now(), work) }

// withLockAt runs work with the lock held, after it has initialized the node and
// handled a pause if there was one. It then releases the lock, sends the datagrams
// that work produced and calls Changed if the members have changed.
func (n *Node) withLockAt(now time.Time, work func(now time.Time)) {
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
	n.detectPause(now)
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
		n.changedMu.Lock()
		n.Changed(n.Members())
		n.changedMu.Unlock()
	}
}

// start initializes the node at the first call.
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
	n.lastCall = now
	n.nextProbe = now.Add(n.jitter(Period))
	n.nextDead = now.Add(n.jitter(deadInterval))
	n.nextSync = now.Add(n.jitter(syncInterval))
	n.merge(rowOf(n.Self, Alive), now, false)
}

// jitter returns a random duration below d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(d)))
}

// detectPause handles a gap since the last call. Acknowledgements that arrived in
// the gap were not read, so pending probes prove nothing, and refutations of
// suspects may be unread. Pending probes are therefore dropped and suspects get a
// new deadline. After a long gap, other nodes probably suspect this one, so it
// raises its incarnation without waiting for their rows.
func (n *Node) detectPause(now time.Time) {
	// The monotonic clock stops while a machine is suspended, the wall clock does
	// not.
	gap := max(now.Sub(n.lastCall), now.Round(0).Sub(n.lastCall.Round(0)))
	if now.Sub(n.lastCall) <= 0 {
		return
	}
	n.lastCall = now
	if gap <= stallLimit {
		return
	}
	counts.Add("stalls", 1)
	clear(n.probes)
	for _, e := range n.suspects {
		e.deadline, e.pings = now.Add(n.suspicionTimeout()), 0
	}
	if gap > pauseLimit && !n.left {
		n.raiseIncarnation(n.Self.Incarnation)
	}
}
