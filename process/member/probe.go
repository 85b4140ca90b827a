package member

import (
	"slices"
	"time"
)

const (
	relayLimit  = 256 // most pending indirect probes for others
	seedsAtOnce = 3   // seeds probed in one step
)

type (
	// probe is a pending probe of a member at one incarnation.
	probe struct {
		target  *entry
		inc     uint64
		retry   time.Time // when the probe is repeated
		fail    time.Time // when the probe fails
		retried bool
	}

	// relay is a pending indirect probe on behalf of the node at addr, whose
	// sequence number for it is seq.
	relay struct {
		addr    string
		seq     uint64
		expires time.Time
	}
)

// probeNext starts the probe of the next member in the round.
func (n *Node) probeNext(now time.Time) {
	for {
		if len(n.ring) == 0 {
			if len(n.live) == 0 {
				return
			}
			n.ring = slices.Clone(n.live)
			n.random.Shuffle(len(n.ring), func(i, j int) { n.ring[i], n.ring[j] = n.ring[j], n.ring[i] })
		}
		last := len(n.ring) - 1
		e := n.ring[last]
		n.ring = n.ring[:last]
		if alive(e.status) {
			n.startProbe(e, now)
			return
		}
	}
}

// startProbe pings a member. Its timeouts are longer if own probes fail often.
func (n *Node) startProbe(e *entry, now time.Time) {
	n.seq++
	extra := time.Duration(n.health) * retryTimeout / 4
	n.probes[n.seq] = &probe{target: e, inc: e.Incarnation, retry: now.Add(retryTimeout + extra), fail: now.Add(failTimeout + extra)}
	n.ping(e, n.seq)
}

// ping sends a probe to a member. If the member is suspect or dead here, the
// probe carries that row, so that the acknowledgement can refute it.
func (n *Node) ping(e *entry, seq uint64) {
	d := &datagram{Kind: kindPing, Seq: seq, Target: e.ID}
	if e.status == Suspect || e.status == Dead {
		d.encoded = append(d.encoded, mustEncode(rowOf(e.Member, e.status)))
	}
	n.post(e.Probe, d)
}

// expireProbes repeats or fails pending probes that were not acknowledged in
// time, and drops expired relays.
func (n *Node) expireProbes(now time.Time) {
	seqs := make([]uint64, 0, len(n.probes))
	for seq := range n.probes {
		seqs = append(seqs, seq)
	}
	slices.Sort(seqs)
	for _, seq := range seqs {
		p := n.probes[seq]
		switch {
		case !now.Before(p.fail):
			delete(n.probes, seq)
			n.probeFailed(p, now)
		case !p.retried && !now.Before(p.retry):
			p.retried = true
			n.ping(p.target, seq)
			for _, via := range n.randomMembers(indirectProbes, p.target) {
				n.post(via.Probe, &datagram{Kind: kindPingReq, Seq: seq, Target: p.target.ID, Addr: p.target.Probe})
			}
		}
	}
	for seq, r := range n.relays {
		if now.After(r.expires) {
			delete(n.relays, seq)
		}
	}
}

// probeFailed makes the target suspect if it was alive and has not raised its
// incarnation since.
func (n *Node) probeFailed(p *probe, now time.Time) {
	n.health = min(n.health+1, maxHealth)
	if p.target.status != Alive || p.target.Incarnation != p.inc {
		return
	}
	n.stats.Suspicions++
	counts.Add("suspicions", 1)
	n.merge(row{Status: Suspect, Inc: p.inc, ID: p.target.ID}, now, false)
}

// probeDead probes one random dead member and, if it is unknown, one random seed,
// every deadInterval on average. This rejoins the halves of a partition after it
// has healed.
func (n *Node) probeDead(now time.Time) {
	if now.Before(n.nextDead) {
		return
	}
	n.nextDead = now.Add(deadInterval/2 + n.jitter(deadInterval))
	if len(n.dead) > 0 {
		e := n.dead[n.random.IntN(len(n.dead))]
		if e.status == Dead && e.Probe != "" {
			n.ping(e, 0)
		}
	}
	if len(n.seeds) > 0 {
		s := n.seeds[n.random.IntN(len(n.seeds))]
		if e := n.rows[s.ID]; e == nil && n.addrs[s.Probe] == "" {
			n.post(s.Probe, &datagram{Kind: kindPing, Target: s.ID, Want: true})
		}
	}
}

// SetSeeds sets the list of members that may exist, as Seeds returns it. The
// unknown ones are probed in the next steps.
func (n *Node) SetSeeds(list []Member) {
	n.withLock(func(time.Time) {
		n.seeds = n.seeds[:0]
		for _, m := range list {
			if m.ID != n.Self.ID && m.Probe != n.Self.Probe && validAddr(m.Probe) && validName(m.ID) {
				n.seeds = append(n.seeds, m)
			}
		}
		n.untriedSeeds = slices.Clone(n.seeds)
		n.random.Shuffle(len(n.untriedSeeds), func(i, j int) {
			n.untriedSeeds[i], n.untriedSeeds[j] = n.untriedSeeds[j], n.untriedSeeds[i]
		})
	})
}

// probeSeeds probes a few unknown seeds per step. While this node has no live
// members, it also sends them its digest to get their tables.
func (n *Node) probeSeeds() {
	for probed := 0; probed < seedsAtOnce && len(n.untriedSeeds) > 0; {
		last := len(n.untriedSeeds) - 1
		s := n.untriedSeeds[last]
		n.untriedSeeds = n.untriedSeeds[:last]
		if n.rows[s.ID] != nil || n.addrs[s.Probe] != "" {
			continue
		}
		probed++
		n.post(s.Probe, &datagram{Kind: kindPing, Target: s.ID, Want: true})
		if len(n.live) == 0 {
			n.post(s.Probe, &datagram{Kind: kindDigest, Digest: encodeDigest(&n.buckets)})
		}
	}
}

// handle applies the rows of a decoded datagram and responds to it.
func (n *Node) handle(d *datagram, from string, now time.Time) {
	if d.From == n.Self.ID {
		// An echo, or a datagram of another process with this ID, which is dropped
		// with its rows. mergeSelf resolves that conflict when a member with
		// another ID sends the row of the other process.
		return
	}
	for _, r := range d.rows {
		n.merge(r, now, d.Kind == kindRows)
	}
	n.checkSender(d, from)
	if d.Want {
		n.post(from, &datagram{Kind: kindGossip, encoded: raws(rowOf(n.Self, n.rows[n.Self.ID].status))})
	}
	switch d.Kind {
	case kindPing:
		n.checkTarget(d, now)
		n.post(from, n.ackTo(d))
	case kindAck:
		n.handleAck(d)
	case kindPingReq:
		n.relayProbe(d, from, now)
	case kindDigest:
		if mask := differing(&n.buckets, d.Digest); mask != 0 {
			n.post(from, &datagram{Kind: kindPull, Mask: mask})
			n.queueTransfer(from, mask)
		}
	case kindPull:
		n.queueTransfer(from, d.Mask)
	}
}

// checkSender requests the sender's row if the sender is unknown or has a higher
// incarnation than the row in the table. If the sender of a probe is dead here, or
// has a lower incarnation, it gets that row in response. Only probes, which a
// timer triggers, get this response: two nodes that regard each other as dead
// would otherwise respond to each other endlessly.
func (n *Node) checkSender(d *datagram, from string) {
	e := n.rows[d.From]
	switch {
	case e == nil || d.Inc > e.Incarnation:
		if d.Kind != kindGossip {
			n.post(from, &datagram{Kind: kindGossip, Want: true})
		}
	case d.Kind != kindPing:
	case e.status == Dead:
		n.post(from, &datagram{Kind: kindGossip, encoded: raws(rowOf(e.Member, Dead))})
		n.post(from, &datagram{Kind: kindDigest, Digest: encodeDigest(&n.buckets)})
	case d.Inc < e.Incarnation:
		// The process restarted with a clock that is behind its predecessor's.
		n.post(from, &datagram{Kind: kindGossip, encoded: raws(rowOf(e.Member, e.status))})
	}
}

// checkTarget detects a probe that was meant for an earlier instance at this
// node's address, and marks that instance as left.
func (n *Node) checkTarget(d *datagram, now time.Time) {
	if e := n.rows[d.Target]; d.Target != "" && d.Target != n.Self.ID && e != nil && alive(e.status) && e.Probe == n.Self.Probe {
		counts.Add("replaced", 1)
		n.merge(row{Status: Left, Inc: e.Incarnation, ID: e.ID}, now, false)
	}
}

// ackTo returns the acknowledgement of a probe. If the probe carried a row of this
// node, the acknowledgement carries the current one to refute it.
func (n *Node) ackTo(d *datagram) *datagram {
	ack := &datagram{Kind: kindAck, Seq: d.Seq}
	if slices.ContainsFunc(d.rows, func(r row) bool { return r.ID == n.Self.ID }) {
		ack.encoded = raws(rowOf(n.Self, n.rows[n.Self.ID].status))
	}
	return ack
}

// handleAck completes a pending probe, or forwards the acknowledgement of an
// indirect one.
func (n *Node) handleAck(d *datagram) {
	if r, ok := n.relays[d.Seq]; ok {
		delete(n.relays, d.Seq)
		n.post(r.addr, &datagram{Kind: kindAck, Seq: r.seq, Target: d.From})
		return
	}
	p := n.probes[d.Seq]
	if p == nil || p.target.ID != d.From && p.target.ID != d.Target {
		// The probe is no longer pending, or another instance responded at the
		// address, which does not prove that the target is alive.
		return
	}
	delete(n.probes, d.Seq)
	n.health = max(n.health-1, 0)
}

// relayProbe probes a member on behalf of another, unless too many such probes
// are pending.
func (n *Node) relayProbe(d *datagram, from string, now time.Time) {
	if len(n.relays) >= relayLimit {
		return
	}
	n.seq++
	n.relays[n.seq] = relay{addr: from, seq: d.Seq, expires: now.Add(failTimeout)}
	n.post(d.Addr, &datagram{Kind: kindPing, Seq: n.seq, Target: d.Target})
}
