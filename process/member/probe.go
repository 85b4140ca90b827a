package member

import (
	"slices"
	"time"
)

const (
	relayLimit  = 256 // indirect probes under way for others
	seedsAtOnce = 3   // seeds asked in one step
)

type (
	probe struct {
		target  *entry
		inc     uint64
		retry   time.Time
		fail    time.Time
		retried bool
	}

	relay struct {
		addr string
		seq  uint64
		till time.Time
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

func (n *Node) startProbe(e *entry, now time.Time) {
	n.seq++
	doubt := time.Duration(n.health) * retryTimeout / 4
	n.probes[n.seq] = &probe{target: e, inc: e.Incarnation, retry: now.Add(retryTimeout + doubt), fail: now.Add(failTimeout + doubt)}
	n.ping(e, n.seq)
}

// ping probes a member and tells it first what is held against it, so that it
// can refute with the acknowledgement.
func (n *Node) ping(e *entry, seq uint64) {
	d := &datagram{Kind: kindPing, Seq: seq, Target: e.ID}
	if e.status == Suspect || e.status == Dead {
		d.encoded = append(d.encoded, mustEncode(rowOf(e.Member, e.status)))
	}
	n.post(e.Probe, d)
}

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
			n.failed(p, now)
		case !p.retried && !now.Before(p.retry):
			p.retried = true
			n.ping(p.target, seq)
			for _, via := range n.pick(indirectProbes, p.target) {
				n.post(via.Probe, &datagram{Kind: kindAsk, Seq: seq, Target: p.target.ID, Addr: p.target.Probe})
			}
		}
	}
	for seq, r := range n.relays {
		if now.After(r.till) {
			delete(n.relays, seq)
		}
	}
}

func (n *Node) failed(p *probe, now time.Time) {
	n.health = min(n.health+1, maxHealth)
	if p.target.status != Alive || p.target.Incarnation != p.inc {
		return
	}
	n.stats.Suspicions++
	counts.Add("suspicions", 1)
	n.merge(row{Status: Suspect, Inc: p.inc, ID: p.target.ID}, now, false)
}

// probeDead asks one dead member or seed now and then whether it is back. It
// joins the halves of a partition again once the partition has healed.
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

// Seeded takes in a list of members that may exist, as Seeds gives it.
func (n *Node) Seeded(list []Member) {
	n.enter(func(time.Time) {
		n.seeds = n.seeds[:0]
		for _, m := range list {
			if m.ID != n.Self.ID && m.Probe != n.Self.Probe && validAddr(m.Probe) && validName(m.ID) {
				n.seeds = append(n.seeds, m)
			}
		}
		n.unasked = slices.Clone(n.seeds)
		n.random.Shuffle(len(n.unasked), func(i, j int) {
			n.unasked[i], n.unasked[j] = n.unasked[j], n.unasked[i]
		})
	})
}

// askSeeds probes a few unknown seeds per step, and asks the first for its
// table.
func (n *Node) askSeeds() {
	for asked := 0; asked < seedsAtOnce && len(n.unasked) > 0; {
		last := len(n.unasked) - 1
		s := n.unasked[last]
		n.unasked = n.unasked[:last]
		if n.rows[s.ID] != nil || n.addrs[s.Probe] != "" {
			continue
		}
		asked++
		n.post(s.Probe, &datagram{Kind: kindPing, Target: s.ID, Want: true})
		if len(n.live) == 0 {
			n.post(s.Probe, &datagram{Kind: kindDigest, Digest: encodeDigest(&n.buckets)})
		}
	}
}

// handle processes a decoded datagram.
func (n *Node) handle(d *datagram, from string, now time.Time) {
	if d.From == n.Self.ID {
		return // an echo, or another process with this ID, which rows settle
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
		n.acked(d)
	case kindAsk:
		n.relayProbe(d, from, now)
	case kindDigest:
		if mask := differing(&n.buckets, d.Digest); mask != 0 {
			n.post(from, &datagram{Kind: kindPull, Mask: mask})
			n.offer(from, mask)
		}
	case kindPull:
		n.offer(from, d.Mask)
	}
}

// checkSender asks a sender for its row if it is unknown or newer than what is
// known, and tells a prober if it is held for dead. Only datagrams that a timer
// causes get such an answer: two nodes that hold each other for dead would
// otherwise answer each other without end.
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
		// A process that restarted with a clock behind its predecessor's.
		n.post(from, &datagram{Kind: kindGossip, encoded: raws(rowOf(e.Member, e.status))})
	}
}

// checkTarget notices a probe that was meant for an earlier instance at this
// node's address.
func (n *Node) checkTarget(d *datagram, now time.Time) {
	if e := n.rows[d.Target]; d.Target != "" && d.Target != n.Self.ID && e != nil && alive(e.status) && e.Probe == n.Self.Probe {
		counts.Add("replaced", 1)
		n.merge(row{Status: Left, Inc: e.Incarnation, ID: e.ID}, now, false)
	}
}

// ackTo answers a probe, and refutes in the same datagram what the probe said.
func (n *Node) ackTo(d *datagram) *datagram {
	ack := &datagram{Kind: kindAck, Seq: d.Seq}
	if slices.ContainsFunc(d.rows, func(r row) bool { return r.ID == n.Self.ID }) {
		ack.encoded = raws(rowOf(n.Self, n.rows[n.Self.ID].status))
	}
	return ack
}

func (n *Node) acked(d *datagram) {
	if r, ok := n.relays[d.Seq]; ok {
		delete(n.relays, d.Seq)
		n.post(r.addr, &datagram{Kind: kindAck, Seq: r.seq, Target: d.From})
		return
	}
	p := n.probes[d.Seq]
	if p == nil || p.target.ID != d.From && p.target.ID != d.Target {
		return // another instance answered at the address: no proof of life
	}
	delete(n.probes, d.Seq)
	n.health = max(n.health-1, 0)
}

// relayProbe probes a member on behalf of another.
func (n *Node) relayProbe(d *datagram, from string, now time.Time) {
	if len(n.relays) >= relayLimit {
		return
	}
	n.seq++
	n.relays[n.seq] = relay{addr: from, seq: d.Seq, till: now.Add(failTimeout)}
	n.post(d.Addr, &datagram{Kind: kindPing, Seq: n.seq, Target: d.Target})
}
