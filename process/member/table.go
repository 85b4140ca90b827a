package member

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// merge applies one row and reports whether it changed the table. A row from a
// transfer may be old, so a death in it only makes a member suspect that is live
// here. Otherwise, the two halves of a healed partition would declare each other
// dead.
func (n *Node) merge(r row, now time.Time, transferred bool) bool {
	if r.ID == n.Self.ID && n.rows[r.ID] != nil && !n.left {
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

// supersedes reports whether a row is newer than an entry of the table.
func supersedes(r row, e *entry) bool {
	if e == nil {
		return true
	}
	if r.Inc != e.Incarnation {
		// A suspect row has no addresses, so a member that is dead here can only
		// return through an alive row.
		return r.Inc > e.Incarnation && (r.Status != Suspect || e.status < Dead)
	}
	return r.Status > e.status
}

// mergeSelf handles a row with the ID of this node. It refutes a row that says
// that this node is not alive, or that has a higher incarnation at this node's
// address. An alive row with a higher incarnation at another address is from a
// later process with this ID, which replaces this node.
func (n *Node) mergeSelf(r row) {
	switch {
	case r.Inc < n.Self.Incarnation:
	case r.Status == Alive && r.Probe != n.Self.Probe && r.Inc > n.Self.Incarnation:
		// Another process with this ID started later.
		counts.Add("superseded", 1)
		n.left = true
		n.merge(r, n.lastCall, false)
	case r.Status == Alive && r.Inc == n.Self.Incarnation:
	default:
		n.stats.Refuted++
		counts.Add("refuted", 1)
		n.health = min(n.health+1, maxHealth)
		n.raiseIncarnation(r.Inc)
	}
}

// raiseIncarnation sets the incarnation of this node to a value above inc and
// announces it.
func (n *Node) raiseIncarnation(inc uint64) {
	n.Self.Incarnation = max(inc, n.Self.Incarnation) + 1
	r := rowOf(n.Self, Alive)
	n.enqueue(r)
	n.update(n.rows[r.ID], r, n.lastCall)
}

// update sets an entry to the row's status and incarnation, and updates all
// indexes of the table.
func (n *Node) update(e *entry, r row, now time.Time) {
	before := e.status
	n.unhash(e)
	if r.Status == Alive {
		e.Member = r.member()
	}
	e.Incarnation, e.status = r.Inc, r.Status
	delete(n.suspects, e.ID)
	if r.Status == Suspect {
		e.deadline, e.pings = now.Add(n.suspicionTimeout()), 0
		n.suspects[e.ID] = e
	}
	n.relist(e, before, now)
	n.rehash(e)
	if r.Status == Alive {
		n.assignAddr(e, now)
	}
	if r.Status == Alive || alive(before) != alive(r.Status) {
		n.dirty = true
	}
}

// alive reports whether a member with the status counts as live.
func alive(s Status) bool { return s == Alive || s == Suspect }

// unhash removes an entry from the hash of its bucket.
func (n *Node) unhash(e *entry) {
	if alive(e.status) {
		n.buckets[bucket(e.ID)] ^= e.hash()
	}
}

// rehash adds an entry to the hash of its bucket. The hash is an exclusive or, so
// adding is the same operation as removing.
func (n *Node) rehash(e *entry) { n.unhash(e) }

// relist moves an entry to the list of live or of dead members if its status
// requires it. Self is in neither list.
func (n *Node) relist(e *entry, before Status, now time.Time) {
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
		e.index = len(n.live)
		n.live = append(n.live, e)
		// A random position in the current round bounds the time to the first
		// probe.
		i := n.random.IntN(len(n.ring) + 1)
		n.ring = slices.Insert(n.ring, i, e)
		return
	}
	e.since = now
	e.index = len(n.dead)
	n.dead = append(n.dead, e)
	if n.addrs[e.Probe] == e.ID {
		delete(n.addrs, e.Probe)
	}
}

// remove removes e from a list by replacing it with the last element.
func remove(list []*entry, e *entry) []*entry {
	last := len(list) - 1
	list[e.index] = list[last]
	list[e.index].index = e.index
	list[last] = nil
	return list[:last]
}

// assignAddr resolves two live members with the same Probe address: the one with
// the higher incarnation keeps it and the other is marked as left. This node
// always keeps its own address, because its socket is bound to it.
func (n *Node) assignAddr(e *entry, now time.Time) {
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
	if other.ID == n.Self.ID && loser.Incarnation >= n.Self.Incarnation && !n.left {
		// The clock of the earlier instance was ahead, so other nodes would
		// prefer that instance.
		n.raiseIncarnation(loser.Incarnation)
	}
}

// suspicionTimeout returns the time that a suspect has to refute. It is longer if
// this node's own probes fail often, because the fault may then be its own.
func (n *Node) suspicionTimeout() time.Duration {
	base := float64(suspectPeriods*Period) * logScale(len(n.live)+1)
	return time.Duration(base * (1 + float64(n.health)/4))
}

// expireSuspects declares suspects dead that did not refute in time. Before that,
// each node pings a suspect twice itself. Gossip is not certain to reach every
// node, and one that missed the refutation would declare a live member dead.
func (n *Node) expireSuspects(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(n.suspects)) {
		e := n.suspects[id]
		switch left := e.deadline.Sub(now); {
		case left <= 0:
			n.stats.Deaths++
			counts.Add("deaths", 1)
			n.merge(row{Status: Dead, Inc: e.Incarnation, ID: id}, now, false)
		case left < n.suspicionTimeout()/time.Duration(2+2*e.pings) && e.pings < 2:
			e.pings++
			n.ping(e, 0)
		}
	}
}

// evictDead removes members that have been dead or left for longer than
// deadRetention.
func (n *Node) evictDead(now time.Time) {
	if now.Before(n.nextEvict) {
		return
	}
	n.nextEvict = now.Add(deadRetention / 10)
	for _, e := range slices.Clone(n.dead) {
		if now.Sub(e.since) > deadRetention {
			n.dead = remove(n.dead, e)
			delete(n.rows, e.ID)
		}
	}
}

// publish rebuilds the list that Members returns.
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

// randomMembers returns up to k distinct random live members other than except.
func (n *Node) randomMembers(k int, except *entry) []*entry {
	picked := make([]*entry, 0, k)
	for range 3 * k {
		if len(picked) == k || len(n.live) == 0 {
			break
		}
		e := n.live[n.random.IntN(len(n.live))]
		if e != except && !slices.Contains(picked, e) {
			picked = append(picked, e)
		}
	}
	return picked
}
