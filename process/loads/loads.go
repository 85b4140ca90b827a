// Package loads lets the instances of a system tell each other how much work
// each of them has at each endpoint.
//
// An instance sends what has changed soon after it changed, and everything once
// a second, so that a lost datagram is made good. Entries that are not renewed
// lapse. Instances that place work with this knowledge do not choose the same
// endpoint at the same moment, and need no load reports of the endpoints.
package loads

import (
	"fmt"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// Refresh is the interval at which everything is sent.
	Refresh = time.Second
	// Lapse is the age at which an entry that was not renewed ends.
	Lapse = 3 * Refresh

	most = 32 // entries of one datagram, which then fits into one packet
)

type (
	// Load is the work of one instance, or of several, at one endpoint.
	Load struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

		Endpoint string
		Runs     int
		Tokens   int64 // memory
		Copied   int64 // the part of it that copies take
		Sent     int64 // prompt tokens, since the sender started
	}

	// News is what one instance found out about an endpoint.
	News struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

		Endpoint string
		Born     int64 // Unix milliseconds of the start that it is about, 0 if unknown
		Leaving  bool  // the endpoint said that it leaves
		Gone     bool  // no connection to it can be made
	}

	// Board holds what other instances told. Fields are set before use.
	Board struct {
		// Changed gets the sum over all other instances at an endpoint. Sent is
		// what was sent there since the last call.
		Changed func(Load)
		// Told gets the news of other instances.
		Told func(News)

		mu    sync.Mutex
		peers map[string]*peer
		sums  map[string]Load
	}

	peer struct {
		seq   uint64
		loads map[string]entry
		seen  time.Time
	}

	entry struct {
		Load
		until time.Time
	}

	message struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

		From  string
		Seq   uint64
		Loads []Load
		News  []News
	}

	// Sender makes the datagrams of one instance. It is not safe for concurrent
	// use.
	Sender struct {
		From string

		seq  uint64
		sent map[string]Load
	}
)

// Tell makes the datagram for news. It is not repeated: an instance that misses
// it finds out by itself.
func (s *Sender) Tell(news ...News) ([]byte, error) {
	s.seq++
	data, err := msgpack.Marshal(&message{From: s.From, Seq: s.seq, News: news})
	if err != nil {
		return nil, fmt.Errorf("encode news: %w", err)
	}
	return data, nil
}

// Changes gives datagrams with what differs from what was sent before, or with
// everything if all is set.
func (s *Sender) Changes(own []Load, all bool) ([][]byte, error) {
	now := make(map[string]Load, len(own))
	var list []Load
	for _, l := range own {
		now[l.Endpoint] = l
		if old := s.sent[l.Endpoint]; all && l.Runs > 0 || old.Runs != l.Runs || old.Sent != l.Sent {
			list = append(list, l)
		}
	}
	for id, old := range s.sent {
		if _, ok := now[id]; !ok && old.Runs > 0 {
			list = append(list, Load{Endpoint: id, Sent: old.Sent})
		}
	}
	s.sent = now
	var out [][]byte
	for len(list) > 0 {
		n := min(len(list), most)
		s.seq++
		data, err := msgpack.Marshal(&message{From: s.From, Seq: s.seq, Loads: list[:n]})
		if err != nil {
			return nil, fmt.Errorf("encode loads: %w", err)
		}
		out, list = append(out, data), list[n:]
	}
	return out, nil
}

// Take takes in a datagram. One that is older than another from the same
// instance is dropped.
func (b *Board) Take(data []byte, now time.Time) error {
	var m message
	if err := msgpack.Unmarshal(data, &m); err != nil {
		return fmt.Errorf("decode loads: %w", err)
	}
	b.mu.Lock()
	var changed []Load
	if b.peers == nil {
		b.peers, b.sums = map[string]*peer{}, map[string]Load{}
	}
	p := b.peers[m.From]
	fresh := p == nil
	if fresh {
		p = &peer{loads: map[string]entry{}}
		b.peers[m.From] = p
	}
	var news []News
	if m.Seq > p.seq {
		news = m.News
		p.seq, p.seen = m.Seq, now
		for _, l := range m.Loads {
			if l.Runs < 0 || l.Tokens < 0 || l.Copied < 0 || l.Sent < 0 {
				continue
			}
			old := p.loads[l.Endpoint]
			var sent int64
			if !fresh {
				sent = max(l.Sent-old.Sent, 0)
			}
			p.loads[l.Endpoint] = entry{Load: l, until: now.Add(Lapse)}
			changed = append(changed, b.add(l, old.Load, sent))
		}
	}
	b.mu.Unlock()
	b.tell(changed)
	for _, n := range news {
		b.Told(n)
	}
	return nil
}

// add replaces one instance's load in the sum; the lock is held.
func (b *Board) add(l, old Load, sent int64) Load {
	sum := b.sums[l.Endpoint]
	sum.Endpoint = l.Endpoint
	sum.Runs += l.Runs - old.Runs
	sum.Tokens += l.Tokens - old.Tokens
	sum.Copied += l.Copied - old.Copied
	b.sums[l.Endpoint] = sum
	if sum.Runs == 0 && sum.Tokens == 0 {
		delete(b.sums, l.Endpoint)
	}
	sum.Sent = sent
	return sum
}

func (b *Board) tell(changed []Load) {
	for _, l := range changed {
		b.Changed(l)
	}
}

// Expire ends the entries that were not renewed.
func (b *Board) Expire(now time.Time) {
	b.mu.Lock()
	var changed []Load
	for from, p := range b.peers {
		for id, e := range p.loads {
			if now.After(e.until) {
				delete(p.loads, id)
				changed = append(changed, b.add(Load{Endpoint: id}, e.Load, 0))
			}
		}
		if len(p.loads) == 0 && now.Sub(p.seen) > 10*Lapse {
			delete(b.peers, from)
		}
	}
	b.mu.Unlock()
	b.tell(changed)
}

// Sum gives the load of all other instances at an endpoint.
func (b *Board) Sum(endpoint string) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := b.sums[endpoint]
	sum.Endpoint = endpoint
	return sum
}
