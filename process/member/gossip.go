package member

import (
	"math"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	retransmits   = 4 // how often a node sends an update, times log10 of the members
	spreadFanout  = 3 // members that get a datagram in a tick with extra gossip
	maxTransfers  = 16
	piggybackRows = 16 // most rows on one datagram; probes are frequent
)

type (
	// update is a row that is being spread.
	update struct {
		id    string
		raw   msgpack.RawMessage
		sent  int  // datagrams that carried it
		stale bool // a later row of the same member replaced it
	}

	// transfer is a list of rows to be sent to one node in full.
	transfer struct {
		addr string
		ids  []string
	}
)

// raws encodes rows.
func raws(rows ...row) []msgpack.RawMessage {
	list := make([]msgpack.RawMessage, len(rows))
	for i, r := range rows {
		list[i] = mustEncode(r)
	}
	return list
}

// enqueue starts spreading a row and stops spreading older rows of the member.
func (n *Node) enqueue(r row) {
	if old := n.queued[r.ID]; old != nil {
		old.stale = true
	}
	u := &update{id: r.ID, raw: mustEncode(r)}
	n.queued[r.ID] = u
	n.requeue(u)
}

// requeue queues an update by the number of times it was sent, or removes it once
// it was sent often enough.
func (n *Node) requeue(u *update) {
	if u.sent >= int(math.Ceil(retransmits*logScale(len(n.live)+1))) {
		if n.queued[u.id] == u {
			delete(n.queued, u.id)
		}
		return
	}
	for len(n.queue) <= u.sent {
		n.queue = append(n.queue, nil)
	}
	n.queue[u.sent] = append(n.queue[u.sent], u)
}

// post completes a datagram and queues it for sending. Probes, acknowledgements
// and gossip carry queued updates as far as size and budget allow.
func (n *Node) post(addr string, d *datagram) {
	d.From, d.Inc, d.Payload = n.Self.ID, n.Self.Incarnation, n.payload
	if d.Kind == kindPing || d.Kind == kindAck || d.Kind == kindGossip {
		n.fill(d)
	}
	d.Body = slices.Concat(d.encoded...)
	data := mustEncode(d)
	n.stats.Datagrams++
	n.stats.Bytes += int64(len(data))
	n.out = append(n.out, packet{addr: addr, data: data})
}

// size estimates the encoded size in bytes, rounded up.
func (d *datagram) size() int {
	size := headerBytes + len(d.From) + len(d.Target) + len(d.Addr) + len(d.Payload) + len(d.Digest)
	for _, raw := range d.encoded {
		size += len(raw)
	}
	return size
}

// fill adds queued updates to a datagram, those that were sent least often first.
func (n *Node) fill(d *datagram) {
	size := d.size()
	var taken []*update
	for level := range n.queue {
		list := n.queue[level]
		for len(list) > 0 && len(taken) < piggybackRows {
			u := list[len(list)-1]
			if !u.stale {
				if size+len(u.raw) > maxDatagram || !n.budget.AllowN(n.lastCall, len(u.raw)) {
					break
				}
				size += len(u.raw)
				d.encoded = append(d.encoded, u.raw)
				taken = append(taken, u)
			}
			list = list[:len(list)-1]
		}
		n.queue[level] = list
	}
	for _, u := range taken {
		u.sent++
		n.requeue(u)
	}
}

// sendGossip sends extra datagrams while a payload is new or updates are queued.
func (n *Node) sendGossip(now time.Time) {
	fanout := 0
	switch {
	case n.extraTicks > 0:
		n.extraTicks--
		fanout = spreadFanout
	case len(n.queued) > 0 && n.budget.TokensAt(now) > maxDatagram:
		fanout = 1
	}
	for _, e := range n.randomMembers(fanout, nil) {
		n.post(e.Probe, &datagram{Kind: kindGossip})
	}
}

// startSync sends a digest of the table to one random member, every syncInterval
// on average. A member whose table differs responds with the rows of the buckets
// that differ and requests those of this node.
func (n *Node) startSync(now time.Time) {
	if now.Before(n.nextSync) {
		return
	}
	n.nextSync = now.Add(syncInterval/2 + n.jitter(syncInterval))
	for _, e := range n.randomMembers(1, nil) {
		n.post(e.Probe, &datagram{Kind: kindDigest, Digest: encodeDigest(&n.buckets)})
	}
}

// queueTransfer queues a transfer of the rows of the buckets in mask.
func (n *Node) queueTransfer(addr string, mask uint32) {
	if len(n.transfer) >= maxTransfers || slices.ContainsFunc(n.transfer, func(t transfer) bool { return t.addr == addr }) {
		return // the next comparison finds what is still missing
	}
	var ids []string
	for id := range n.rows {
		if mask&(1<<bucket(id)) != 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	n.transfer = append(n.transfer, transfer{addr: addr, ids: ids})
}

// sendTransfers sends datagrams of the queued transfers in turn, as far as the
// budget allows.
func (n *Node) sendTransfers(now time.Time) {
	for len(n.transfer) > 0 && n.budget.TokensAt(now) >= maxDatagram {
		t := n.transfer[0]
		n.transfer = n.transfer[1:]
		d := &datagram{Kind: kindRows}
		d.From, d.Payload = n.Self.ID, n.payload
		size := d.size()
		for len(t.ids) > 0 {
			raw := n.transferRow(t.ids[0])
			if size+len(raw) > maxDatagram {
				break
			}
			if raw != nil {
				d.encoded = append(d.encoded, raw)
			}
			size += len(raw)
			t.ids = t.ids[1:]
		}
		n.budget.AllowN(now, size)
		if len(d.encoded) > 0 {
			n.post(t.addr, d)
		}
		if len(t.ids) > 0 {
			n.transfer = append(n.transfer, t)
		}
	}
}

// transferRow encodes a row for a transfer. A suspect is sent as alive, because
// the suspicion spreads through gossip and only an alive row carries addresses,
// which the receiver may lack.
func (n *Node) transferRow(id string) msgpack.RawMessage {
	e := n.rows[id]
	if e == nil {
		return nil
	}
	status := e.status
	if status == Suspect {
		status = Alive
	}
	return mustEncode(rowOf(e.Member, status))
}
