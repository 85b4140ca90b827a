package member

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// merge takes in one row and tells whether it was news. A row from a transfer
// may be old: a death in it only raises a suspicion of a member that is alive
// here, so that two halves of a healed partition do not bury each other.
func (n *Node) merge(r row, now time.Time, transferred bool) bool {
	if r.ID == n.Self.ID && n.rows[r.ID] != nil && !n.gone {
		n.mergeSelf(r)
		return false
	}
	e := n.rows[r.ID]
	if transferred && r.Status == Dead && e != nil && (e.status == Alive || e.status == Suspect) && r.Inc <= e.Incarnation {
		r.Status = Suspect
	}
	if !supersedes(r, e) {
		return false
	}
	if e == nil {
		if r.Status == Suspect {
			return false // without an address there is nothing to probe
		}
		e = &entry{Member: Member{ID: r.ID}}
		n.rows[r.ID] = e
	}
	n.enqueue(r)
	n.update(e, r, now)
	return true
}

func supersedes(r row, e *entry) bool {
	if e == nil {
		return true
	}
	if r.Inc != e.Incarnation {
		// A suspect or dead row has no addresses, so a member that was dead
		// here comes back through an alive row only.
		return r.Inc > e.Incarnation && (r.Status != Suspect || e.status < Dead)
	}
	return r.Status > e.status
}

// mergeSelf refutes what others say of this node.
func (n *Node) mergeSelf(r row) {
	switch {
	case r.Inc < n.Self.Incarnation:
	case r.Status == Alive && r.Probe != n.Self.Probe && r.Inc > n.Self.Incarnation:
		// Another process runs under this ID and started later.
		counts.Add("superseded", 1)
		n.gone = true
		n.merge(r, n.last, false)
	case r.Status == Alive && r.Inc == n.Self.Incarnation:
	default:
		n.stats.Refuted++
		counts.Add("refuted", 1)
		n.health = min(n.health+1, maxHealth)
		n.raise(r.Inc)
	}
}

// raise gives this node an incarnation above inc and announces it.
func (n *Node) raise(inc uint64) {
	n.Self.Incarnation = max(inc, n.Self.Incarnation) + 1
	r := rowOf(n.Self, Alive)
	n.enqueue(r)
	n.update(n.rows[r.ID], r, n.last)
}

// update moves an entry to the row's status and incarnation.
func (n *Node) update(e *entry, r row, now time.Time) {
	before := e.status
	n.unhash(e)
	if r.Status == Alive {
		e.Member = r.member()
	}
	e.Incarnation, e.status = r.Inc, r.Status
	delete(n.suspects, e.ID)
	if r.Status == Suspect {
		e.deadline, e.asked = now.Add(n.suspicion()), 0
		n.suspects[e.ID] = e
	}
	n.move(e, before, now)
	n.rehash(e)
	if r.Status == Alive {
		n.claimAddr(e, now)
	}
	if r.Status == Alive || alive(before) != alive(r.Status) {
		n.dirty = true
	}
}

func alive(s Status) bool { return s == Alive || s == Suspect }

func (n *Node) unhash(e *entry) {
	if alive(e.status) {
		n.buckets[bucket(e.ID)] ^= e.hash()
	}
}

func (n *Node) rehash(e *entry) { n.unhash(e) } // the same operation: exclusive or

// move keeps the entry in the list of live or of dead members. Self is in
// neither.
func (n *Node) move(e *entry, before Status, now time.Time) {
	if e.ID == n.Self.ID || alive(before) == alive(e.status) && before != Absent {
		return
	}
	switch {
	case alive(before):
		n.live = remove(n.live, e)
	case before != Absent:
		n.dead = remove(n.dead, e)
	}
	if alive(e.status) {
		e.spot = len(n.live)
		n.live = append(n.live, e)
		// A random spot in the round bounds the wait for the first probe.
		i := n.random.IntN(len(n.ring) + 1)
		n.ring = slices.Insert(n.ring, i, e)
		return
	}
	e.since = now
	e.spot = len(n.dead)
	n.dead = append(n.dead, e)
	if n.addrs[e.Probe] == e.ID {
		delete(n.addrs, e.Probe)
	}
}

func remove(list []*entry, e *entry) []*entry {
	last := len(list) - 1
	list[e.spot] = list[last]
	list[e.spot].spot = e.spot
	list[last] = nil
	return list[:last]
}

// claimAddr lets the member with the higher incarnation have a Probe address.
// This node itself always has its own: its socket is bound to it.
func (n *Node) claimAddr(e *entry, now time.Time) {
	other := n.rows[n.addrs[e.Probe]]
	if other == nil || other == e || !alive(other.status) {
		n.addrs[e.Probe] = e.ID
		return
	}
	loser := other
	if other.ID == n.Self.ID || e.ID != n.Self.ID &&
		cmp.Or(cmp.Compare(e.Incarnation, other.Incarnation), cmp.Compare(e.ID, other.ID)) < 0 {
		loser = e
	} else {
		n.addrs[e.Probe] = e.ID
	}
	counts.Add("replaced", 1)
	n.merge(row{Status: Left, Inc: loser.Incarnation, ID: loser.ID}, now, false)
	if other.ID == n.Self.ID && loser.Incarnation >= n.Self.Incarnation && !n.gone {
		// The clock of the earlier instance was ahead: others would prefer it.
		n.raise(loser.Incarnation)
	}
}

// suspicion is the time that a suspect has to refute. A node whose own probes
// fail often doubts itself first and waits longer.
func (n *Node) suspicion() time.Duration {
	base := float64(suspectPeriods*Period) * scale(len(n.live)+1)
	return time.Duration(base * (1 + float64(n.health)/4))
}

// expireSuspects declares suspects dead whose time is over. Before, each node
// asks a suspect itself, twice: gossip does not reach every node for certain,
// and one that missed the refutation would declare a live member dead.
func (n *Node) expireSuspects(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(n.suspects)) {
		e := n.suspects[id]
		switch left := e.deadline.Sub(now); {
		case left <= 0:
			n.stats.Deaths++
			counts.Add("deaths", 1)
			n.merge(row{Status: Dead, Inc: e.Incarnation, ID: id}, now, false)
		case left < n.suspicion()/time.Duration(2+2*e.asked) && e.asked < 2:
			e.asked++
			n.ping(e, 0)
		}
	}
}

// forget drops dead members that were remembered long enough.
func (n *Node) forget(now time.Time) {
	if now.Before(n.nextForget) {
		return
	}
	n.nextForget = now.Add(deadMemory / 10)
	for _, e := range slices.Clone(n.dead) {
		if now.Sub(e.since) > deadMemory {
			n.dead = remove(n.dead, e)
			delete(n.rows, e.ID)
		}
	}
}

// publish makes the snapshot that Members gives.
func (n *Node) publish() {
	list := make([]Member, 0, len(n.live)+1)
	if e := n.rows[n.Self.ID]; alive(e.status) {
		list = append(list, e.Member)
	}
	for _, e := range n.live {
		list = append(list, e.Member)
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	n.snapshot.Store(&list)
}

// pick chooses up to k live members at random, none of which is but.
func (n *Node) pick(k int, but *entry) []*entry {
	picked := make([]*entry, 0, k)
	for range 3 * k {
		if len(picked) == k || len(n.live) == 0 {
			break
		}
		e := n.live[n.random.IntN(len(n.live))]
		if e != but && !slices.Contains(picked, e) {
			picked = append(picked, e)
		}
	}
	return picked
}
