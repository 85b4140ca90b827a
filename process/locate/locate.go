// Package locate chooses entries for callers, owners for keys, and endpoints
// for entries, by rendezvous hashing.
//
// Every entry computes the same choice from the same membership, without
// messages: the score of a key and a candidate is a hash of both, and the
// candidates with the highest scores are chosen. When a candidate comes or
// goes, only the keys for which it scored highest move.
//
// Callers of one account and service get the same two entries first, so that
// limits, prefix caches and connections concentrate there. Hashing alone would
// overload the entries of a large account; an entry whose load exceeds the
// mean of its region is therefore left out of a part of the answers, more the
// higher its load, and out of all at 1.5 times the mean. Callers renew their
// answers at different times and so spread over further entries.
package locate

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits.
const (
	Keep        = 30 * time.Second // how long a caller may keep an answer
	First       = 2                // first choices in an answer
	OwnRegion   = 6                // entries of the caller's region in an answer, first choices included
	OtherRegion = 6                // entries of other regions in an answer
	Endpoints   = 24               // endpoints that an entry connects to, per service

	// SoftLoad is the load, relative to the mean of the region, from which an
	// entry is left out of some answers, and HardLoad that from which it is
	// left out of all. The chance variation of hashing 60 accounts per entry
	// (a standard deviation of 0.13) stays mostly below SoftLoad.
	SoftLoad = 1.15
	HardLoad = 1.5

	// slot is the time for which equal questions get equal answers. It is a
	// small part of Keep, so that callers of one account get different answers
	// when its entries are overloaded.
	slot = time.Second
)

type (
	// Entry is an entry instance as the membership knows it.
	Entry struct {
		ID      string  `json:"id"`
		Addr    string  `json:"addr"`
		Place   string  `json:"place"`
		Region  string  `json:"region,omitempty"`
		Leaving bool    `json:"leaving,omitempty"`
		Load    float64 `json:"load,omitempty"` // in any unit that all entries share; 0 if unknown
	}

	scored struct {
		entry *Entry
		score uint64
	}
)

// mix is the finalizer of splitmix64. It makes two hashes one score.
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// hash joins strings with a byte that no identifier contains.
func hash(parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range parts {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

func byScore(a, b scored) int {
	switch {
	case a.score > b.score:
		return -1
	case a.score < b.score:
		return 1
	case a.entry.ID < b.entry.ID:
		return -1
	}
	return 1
}

// Answer gives the entries that callers of the account in the place and region
// should use for the service, best first, and the time until which they may
// keep the answer. No entry that is leaving is among them.
//
// With load reports that follow the load, no entry of a region gets more than
// HardLoad times the mean for long, as long as no single caller exceeds that
// by itself. An entry without load reports is treated as having the mean.
func Answer(
	entries []Entry, account, service, place, region string, now time.Time,
) ([]Entry, time.Time) {
	key := hash(account, service)
	own, others := rank(entries, key, region)
	first := choose(own, key, now)
	if len(own) == 0 {
		first = others[:min(First, len(others))]
		others = others[len(first):]
	}
	order(first, place, key, now)
	answer := make([]Entry, 0, OwnRegion+OtherRegion)
	for _, s := range first {
		answer = append(answer, *s.entry)
	}
	for _, s := range own {
		if len(answer) < OwnRegion && !slices.ContainsFunc(first, func(f scored) bool { return f.entry == s.entry }) {
			answer = append(answer, *s.entry)
		}
	}
	for _, s := range others[:min(OtherRegion, len(others))] {
		answer = append(answer, *s.entry)
	}
	return answer, now.Add(Keep)
}

// rank orders the usable entries of the region and those of other regions by
// score.
func rank(entries []Entry, key uint64, region string) (own, others []scored) {
	own = make([]scored, 0, len(entries))
	for i := range entries {
		e := &entries[i]
		if e.Leaving {
			continue
		}
		s := scored{entry: e, score: mix(key, xxhash.Sum64String(e.ID))}
		if e.Region == region {
			own = append(own, s)
		} else {
			others = append(others, s)
		}
	}
	slices.SortFunc(own, byScore)
	slices.SortFunc(others, byScore)
	return own, others
}

// choose gives the first entries by score that are not left out for their
// load, and then, if there are too few, those that are.
func choose(own []scored, key uint64, now time.Time) []scored {
	mean := meanLoad(own)
	turn := mix(key, uint64(now.UnixNano()/int64(slot)))
	first := make([]scored, 0, First)
	for _, s := range own {
		if len(first) < First && !leftOut(s, mean, turn) {
			first = append(first, s)
		}
	}
	for _, s := range own {
		if len(first) < First && !slices.ContainsFunc(first, func(f scored) bool { return f.entry == s.entry }) {
			first = append(first, s)
		}
	}
	return first
}

func meanLoad(own []scored) float64 {
	var sum, n float64
	for _, s := range own {
		if s.entry.Load > 0 {
			sum += s.entry.Load
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n
}

// leftOut tells whether the entry is left out of the answers of this slot. The
// part of the answers it is left out of grows linearly between SoftLoad and
// HardLoad, which gives a stable balance; a threshold would move all callers
// back and forth.
func leftOut(s scored, mean float64, turn uint64) bool {
	if mean == 0 {
		return false
	}
	part := (s.entry.Load/mean - SoftLoad) / (HardLoad - SoftLoad)
	if part <= 0 {
		return false
	}
	return float64(mix(turn, s.score)>>11)/(1<<53) < part
}

// order puts an entry in the caller's place first. Otherwise the first choices
// change places with the time, so that both get callers.
func order(first []scored, place string, key uint64, now time.Time) {
	if len(first) < First {
		return
	}
	a, b := first[0].entry.Place == place, first[1].entry.Place == place
	swap := b
	if a == b {
		swap = mix(key, uint64(now.UnixNano()/int64(slot)))&1 == 1
	}
	if swap {
		first[0], first[1] = first[1], first[0]
	}
}

// Home gives the owner of a key, such as an account or a duty: the entry with
// the highest score that is not leaving. It is the zero Entry if there is none.
func Home(entries []Entry, key string) Entry {
	h := hash(key)
	var best scored
	for i := range entries {
		if entries[i].Leaving {
			continue
		}
		s := scored{entry: &entries[i], score: mix(h, xxhash.Sum64String(entries[i].ID))}
		if best.entry == nil || byScore(s, best) < 0 {
			best = s
		}
	}
	if best.entry == nil {
		return Entry{}
	}
	return *best.entry
}
