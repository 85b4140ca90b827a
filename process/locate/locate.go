// Package locate chooses entries for callers, owners for keys, and endpoints
// for entries, by rendezvous hashing (Thaler, Ravishankar 1998).
//
// Every entry computes the same choice from the same membership list, without
// exchanging messages: the score of a key and a candidate is a hash of both, and
// the candidates with the highest scores are chosen. When a candidate joins or
// leaves, only the keys for which it scores highest move.
//
// All callers of one account and service get the same two entries first, so that
// limits, prefix caches and connections concentrate there. Hashing alone would
// overload the entries of a large account. An entry whose load exceeds 1.1 times
// the mean of its region is therefore excluded from the first choices of some
// answers, but remains a fallback in them. The fraction of these answers grows
// with its load, up to all answers at 1.4 times the mean. Callers renew their
// answers at different times and thus spread over more entries.
package locate

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits.
const (
	AnswerTTL    = 30 * time.Second // how long a caller may keep an answer
	First        = 2                // first choices in an answer
	OwnRegion    = 6                // most entries of the caller's region in an answer, first choices included
	OtherRegion  = 6                // most entries of other regions in an answer
	MaxEndpoints = 24               // most endpoints per service that an entry connects to

	// SoftLoad and HardLoad are loads relative to the mean of the region. Above
	// SoftLoad, an entry is excluded from the first choices of some answers; from
	// HardLoad on, of all answers, unless too few entries of the region are left.
	// Higher values would keep accounts on fewer entries; these keep the highest
	// load below 1.7 times the mean (TestLoadStaysEven).
	SoftLoad = 1.1
	HardLoad = 1.4

	// slotLength is the time during which equal queries get equal answers. It is
	// a small part of AnswerTTL, so that callers of one account get different
	// answers when its entries are overloaded. With a slot of one second, a
	// thirtieth of the callers of a large account would move together.
	slotLength = 100 * time.Millisecond
)

type (
	// Entry is an entry instance from the membership list, with its load.
	Entry struct {
		ID      string  `json:"id"`
		Addr    string  `json:"addr"`
		Place   string  `json:"place"`
		Region  string  `json:"region,omitempty"`
		Leaving bool    `json:"leaving,omitempty"`
		Load    float64 `json:"load,omitempty"` // in any unit that all entries share; 0 if unknown
	}

	// scored is a candidate and its score for a key.
	scored struct {
		entry *Entry
		score uint64
	}

	// ranking holds the candidates with the highest scores, best first.
	ranking struct {
		size int // most candidates to hold
		n    int // candidates held
		list [First + max(OwnRegion, OtherRegion)]scored
	}
)

// mix combines two hashes into one score with the finalizer of splitmix64.
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

// hash hashes strings, each followed by a byte that no identifier contains.
func hash(parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range parts {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// compareScore orders candidates by descending score, then by ID.
func compareScore(a, b scored) int {
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

// Answer returns the entries that callers of the account in the place and region
// should use for the service, best first, and the time until which they may
// keep the answer. It omits entries that are leaving.
//
// With load reports that are a second old, the load of an entry settles below
// HardLoad + 0.3 = 1.7 times the mean of its region. This holds even if an
// account has an eighth of all callers, in a region of up to 170 entries and as
// long as single callers are small (TestLoadStaysEven). Entries that report no
// load are never excluded from the first choices.
func Answer(
	entries []Entry, account, service, place, region string, now time.Time,
) ([]Entry, time.Time) {
	key := hash(account, service)
	slotSeed := mix(key, uint64(now.UnixNano()/int64(slotLength)))
	mean := meanLoad(entries, region)
	// The candidates for the first choices are at most First, plus one for each of
	// the OwnRegion best entries that is excluded. If the region has no entries,
	// others provides the first choices as well as the fallbacks.
	first, own, others := ranking{size: First + OwnRegion}, ranking{size: OwnRegion}, ranking{size: OtherRegion + First}
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
		if !excluded(s, mean, slotSeed) {
			first.add(s)
		}
	}
	// Without excluded entries, the First best remain. Each excluded entry adds
	// the next best as a candidate, so that its callers spread over more entries.
	first.n = min(first.n, First+countExcluded(own, mean, slotSeed))
	first.shuffleFirst(slotSeed)
	chosen := chooseFirst(first, own, others)
	orderFirst(chosen, place, slotSeed)
	return assemble(chosen, own, others), now.Add(AnswerTTL)
}

// add inserts a candidate if it is among the best so far.
func (t *ranking) add(s scored) {
	i := t.n
	for i > 0 && compareScore(s, t.list[i-1]) < 0 {
		i--
	}
	if i >= t.size {
		return
	}
	t.n = min(t.n+1, t.size)
	copy(t.list[i+1:t.n], t.list[i:t.n-1])
	t.list[i] = s
}

// countExcluded returns how many of the best entries are excluded in this slot.
func countExcluded(own ranking, mean float64, slotSeed uint64) int {
	n := 0
	for _, s := range own.all() {
		if excluded(s, mean, slotSeed) {
			n++
		}
	}
	return n
}

// shuffleFirst moves First random candidates to the front if there are more.
// Callers that move away from overloaded entries thus spread over several other
// entries. Otherwise all would go to the next one until it reports its load.
func (t *ranking) shuffleFirst(slotSeed uint64) {
	for i := 0; i < First && t.n > First; i++ {
		slotSeed = mix(slotSeed, uint64(i))
		j := i + int(slotSeed%uint64(t.n-i))
		t.list[i], t.list[j] = t.list[j], t.list[i]
	}
}

func (t *ranking) all() []scored { return t.list[:t.n] }

func contains(list []scored, s scored) bool {
	return slices.ContainsFunc(list, func(x scored) bool { return x.entry == s.entry })
}

// chooseFirst returns the first choices: the best entries of the region that are
// not excluded for their load; if those are too few, also the best excluded
// ones; if the region has no entries, the best of other regions.
func chooseFirst(first, own, others ranking) []scored {
	chosen := make([]scored, 0, First)
	from := []ranking{first, own}
	if own.n == 0 {
		from = []ranking{others}
	}
	for i := range from {
		for _, s := range from[i].all() {
			if len(chosen) < First && !contains(chosen, s) {
				chosen = append(chosen, s)
			}
		}
	}
	return chosen
}

// assemble returns the first choices, followed by the fallbacks of the own region
// and then those of other regions.
func assemble(chosen []scored, own, others ranking) []Entry {
	answer := make([]Entry, 0, OwnRegion+OtherRegion)
	for _, s := range chosen {
		answer = append(answer, *s.entry)
	}
	for _, s := range own.all() {
		if len(answer) < OwnRegion && !contains(chosen, s) {
			answer = append(answer, *s.entry)
		}
	}
	limit := len(answer) + OtherRegion
	for _, s := range others.all() {
		if len(answer) < limit && !contains(chosen, s) {
			answer = append(answer, *s.entry)
		}
	}
	return answer
}

// meanLoad returns the mean load of the region's entries that are not leaving and
// report a load, or 0 if there are none.
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

// excluded reports whether the entry's load excludes it from the first choices of
// the answers of this slot. The fraction of such slots grows linearly between
// SoftLoad and HardLoad, which leads to a stable balance. A single threshold
// would move all callers back and forth.
func excluded(s scored, mean float64, slotSeed uint64) bool {
	if mean == 0 {
		return false
	}
	part := (s.entry.Load/mean - SoftLoad) / (HardLoad - SoftLoad)
	if part <= 0 {
		return false
	}
	return float64(mix(slotSeed, s.score)>>11)/(1<<53) < part
}

// orderFirst puts an entry in the caller's place first. If both or neither of the
// first choices are there, their order varies with the slot, so that both get
// callers.
func orderFirst(first []scored, place string, slotSeed uint64) {
	if len(first) < First {
		return
	}
	a, b := first[0].entry.Place == place, first[1].entry.Place == place
	if a == b && slotSeed&1 == 1 || b && !a {
		first[0], first[1] = first[1], first[0]
	}
}

// Owner returns the owner of a key, such as an account or a duty: the entry with
// the highest score among those that are not leaving. It returns the zero Entry
// if there is none.
func Owner(entries []Entry, key string) Entry {
	h := hash(key)
	var best scored
	for i := range entries {
		if entries[i].Leaving {
			continue
		}
		s := scored{entry: &entries[i], score: mix(h, hashID(entries[i].ID))}
		if best.entry == nil || compareScore(s, best) < 0 {
			best = s
		}
	}
	if best.entry == nil {
		return Entry{}
	}
	return *best.entry
}
