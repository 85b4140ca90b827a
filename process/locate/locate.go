// Package locate chooses entries for callers, owners for keys, and endpoints
// for entries, by rendezvous hashing (Thaler, Ravishankar 1998).
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
// higher its load, and out of all at 1.4 times the mean. Callers renew their
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
	// left out of all. Higher values would keep accounts on fewer entries; these
	// keep the highest load below 1.7 (TestLoadStaysEven).
	SoftLoad = 1.1
	HardLoad = 1.4

	// slot is the time for which equal questions get equal answers. It is a
	// small part of Keep, so that callers of one account get different answers
	// when its entries are overloaded: with a second, a thirtieth of the callers
	// of a large account would move together.
	slot = 100 * time.Millisecond
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

	// top keeps the candidates with the highest scores, best first.
	top struct {
		size int
		n    int
		list [First + max(OwnRegion, OtherRegion)]scored
	}
)

// mix is the finalizer of splitmix64. It makes two hashes one score.
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

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
// With load reports that are a second old, the load of an entry settles below
// HardLoad plus 0.3 times the mean of its region, also if an account has an
// eighth of all callers, in a region of up to 170 entries and as long as single
// callers are small (TestLoadStaysEven). Entries that report no load are never
// left out.
func Answer(
	entries []Entry, account, service, place, region string, now time.Time,
) ([]Entry, time.Time) {
	key := hash(account, service)
	turn := mix(key, uint64(now.UnixNano()/int64(slot)))
	mean := meanLoad(entries, region)
	first, own, others := top{size: First + OwnRegion}, top{size: OwnRegion}, top{size: OtherRegion + First}
	for i := range entries {
		e := &entries[i]
		if e.Leaving {
			continue
		}
		s := scored{entry: e, score: mix(key, hashID(e.ID))}
		if e.Region != region {
			others.add(s)
			continue
		}
		own.add(s)
		if !leftOut(s, mean, turn) {
			first.add(s)
		}
	}
	first.n = min(first.n, First+countLeftOut(own, mean, turn))
	first.draw(turn)
	chosen := choose(first, own, others)
	order(chosen, place, turn)
	return assemble(chosen, own, others), now.Add(Keep)
}

// add puts a candidate into its place if it is among the best so far.
func (t *top) add(s scored) {
	i := t.n
	for i > 0 && byScore(s, t.list[i-1]) < 0 {
		i--
	}
	if i >= t.size {
		return
	}
	t.n = min(t.n+1, t.size)
	copy(t.list[i+1:t.n], t.list[i:t.n-1])
	t.list[i] = s
}

// countLeftOut gives the number of the best entries that are left out now.
func countLeftOut(own top, mean float64, turn uint64) int {
	n := 0
	for _, s := range own.all() {
		if leftOut(s, mean, turn) {
			n++
		}
	}
	return n
}

// draw moves First candidates to the front by chance, if there are more. The
// callers that overloaded entries lose thus go to several others at once, and
// not all to the next one until it reports its load.
func (t *top) draw(turn uint64) {
	for i := 0; i < First && t.n > First; i++ {
		turn = mix(turn, uint64(i))
		j := i + int(turn%uint64(t.n-i))
		t.list[i], t.list[j] = t.list[j], t.list[i]
	}
}

func (t *top) all() []scored { return t.list[:t.n] }

func has(list []scored, s scored) bool {
	return slices.ContainsFunc(list, func(x scored) bool { return x.entry == s.entry })
}

// choose gives the first choices: the best that are not left out for their
// load; if those are too few, the best of the region; if the region has none,
// the best of all.
func choose(first, own, others top) []scored {
	chosen := make([]scored, 0, First)
	from := []top{first, own}
	if own.n == 0 {
		from = []top{others}
	}
	for i := range from {
		for _, s := range from[i].all() {
			if len(chosen) < First && !has(chosen, s) {
				chosen = append(chosen, s)
			}
		}
	}
	return chosen
}

// assemble puts the fallbacks behind the first choices.
func assemble(chosen []scored, own, others top) []Entry {
	answer := make([]Entry, 0, OwnRegion+OtherRegion)
	for _, s := range chosen {
		answer = append(answer, *s.entry)
	}
	for _, s := range own.all() {
		if len(answer) < OwnRegion && !has(chosen, s) {
			answer = append(answer, *s.entry)
		}
	}
	limit := len(answer) + OtherRegion
	for _, s := range others.all() {
		if len(answer) < limit && !has(chosen, s) {
			answer = append(answer, *s.entry)
		}
	}
	return answer
}

// meanLoad gives the mean over the usable entries of the region that report one.
func meanLoad(entries []Entry, region string) float64 {
	var sum, n float64
	for i := range entries {
		if e := &entries[i]; e.Region == region && !e.Leaving && e.Load > 0 {
			sum += e.Load
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
func order(first []scored, place string, turn uint64) {
	if len(first) < First {
		return
	}
	a, b := first[0].entry.Place == place, first[1].entry.Place == place
	if a == b && turn&1 == 1 || b && !a {
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
		s := scored{entry: &entries[i], score: mix(h, hashID(entries[i].ID))}
		if best.entry == nil || byScore(s, best) < 0 {
			best = s
		}
	}
	if best.entry == nil {
		return Entry{}
	}
	return *best.entry
}
