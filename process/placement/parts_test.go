package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	rigEntries  = 20
	rigEngines  = 24
	rigMemory   = 27_000 // tokens
	rigPerMilli = 14.0   // prompt tokens that an engine computes in a millisecond
	rigDecode   = 12.0   // milliseconds for an output token
	rigAge      = 35     // milliseconds until entries know each other's work
)

type (
	// rigEngine is an engine that computes prompts one after another and evicts the least
	// recently used cached parts when running requests need the memory.
	rigEngine struct {
		cache  []Part // the least recently used first
		cached int
		used   int
		freeAt float64 // when the prompts before have been computed, in milliseconds
	}

	// rigRun is a running request.
	rigRun struct {
		entry, engine int
		ticket        Ticket
		first, end    float64
		started       bool
		tokens        int
	}

	// rigLoad is the load of a rig: prompts of 2,500 tokens that begin with one of some parts.
	rigLoad struct {
		perSecond         float64
		parts, partTokens int
		output            int // tokens of an answer
	}

	// rigResult is what the callers of a rig saw.
	rigResult struct {
		saved, shared int // tokens of shared parts: not computed, and all
		first         []float64
	}
)

// has reports how many of the leading parts are cached, in tokens.
func (e *rigEngine) has(parts []Part) (tokens int) {
	for _, p := range parts {
		if !slices.Contains(e.cache, p) {
			return tokens
		}
		tokens += p.Tokens
	}
	return tokens
}

func (e *rigEngine) use(parts []Part) {
	for _, p := range parts {
		if i := slices.Index(e.cache, p); i >= 0 {
			e.cache = slices.Delete(e.cache, i, i+1)
		} else {
			e.cached += p.Tokens
		}
		e.cache = append(e.cache, p)
	}
	e.evict()
}

func (e *rigEngine) evict() {
	for len(e.cache) > 0 && e.cached+e.used > rigMemory {
		e.cached -= e.cache[0].Tokens
		e.cache = e.cache[1:]
	}
}

// playParts places requests of several entries for some seconds.
func playParts(t *testing.T, on bool, x rigLoad, seed uint64) (r rigResult) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 3))
	f := newCluster(rigEntries, rigEngines)
	for i, s := range f.entries {
		s.Parts, s.LoadAge, s.Seed = on, rigAge*time.Millisecond, seed*100+uint64(i)
	}
	engines := make([]rigEngine, rigEngines)
	byID := map[string]int{}
	for i, e := range f.engines {
		byID[e.ID] = i
	}
	var running []rigRun
	begun, exchanged := f.now, 0.0
	for ms := 0.0; ms < 30_000; ms += random.ExpFloat64() * 1000 / x.perSecond {
		f.now = begun.Add(time.Duration(ms * float64(time.Millisecond)))
		for i := range running {
			if r := &running[i]; !r.started && r.first <= ms {
				r.started = true
				f.entries[r.entry].Started(r.ticket, begun.Add(time.Duration(r.first*float64(time.Millisecond))))
			}
		}
		running = slices.DeleteFunc(running, func(r rigRun) bool {
			if r.end > ms {
				return false
			}
			engines[r.engine].used -= r.tokens
			f.entries[r.entry].Done(r.ticket, x.output, true, f.now)
			return true
		})
		if ms-exchanged >= rigAge {
			f.exchange()
			exchanged = ms
		}
		entry := random.IntN(rigEntries)
		parts := []Part{{ID: uint64(1 + random.IntN(x.parts)), Tokens: x.partTokens}, {ID: random.Uint64(), Tokens: 2500 - x.partTokens}}
		d := f.entries[entry].Place(Request{Account: "a", Prompt: 2500, Max: x.output, Arrived: f.now, Parts: parts}, f.now)
		if d.Endpoint == "" {
			continue // no engine has room
		}
		n := byID[d.Endpoint]
		e := &engines[n]
		saved := e.has(parts)
		e.freeAt = max(e.freeAt, ms) + float64(2500-saved)/rigPerMilli
		e.used += 2500 + x.output
		e.use(parts)
		running = append(running, rigRun{entry: entry, engine: n, ticket: d.Ticket, first: e.freeAt, end: e.freeAt + float64(x.output)*rigDecode, tokens: 2500 + x.output})
		if ms > 15_000 { // after the rates are known
			r.saved, r.shared = r.saved+saved, r.shared+x.partTokens
			r.first = append(r.first, e.freeAt-ms)
		}
	}
	slices.Sort(r.first)
	return r
}

func (r rigResult) share() float64 { return float64(r.saved) / float64(r.shared) }

func (r rigResult) quantile(q float64) float64 { return r.first[int(q*float64(len(r.first)-1))] }

// The pattern: many prompts begin with one of a few long parts, and engines evict what is not
// used. Guards against placements that save computing time at the price of a longer wait, and
// against a prediction that keeps engines apart from what they have cached.
func TestSavedPartsOutweighTheWait(t *testing.T) {
	for _, tt := range []struct {
		rigLoad
		gain float64 // least gain in the share of shared tokens that is not computed
	}{
		{rigLoad{60, 8, 1500, 50}, 0}, {rigLoad{100, 8, 350, 50}, 0}, // cached everywhere in any case
		{rigLoad{60, 100, 1500, 50}, 0.1}, {rigLoad{100, 100, 1500, 50}, 0.1}, // too many for each engine, not for all
		{rigLoad{60, 2000, 350, 50}, 0},                                    // evicted before their next use wherever they are
		{rigLoad{20, 100, 1500, 800}, 0}, {rigLoad{30, 100, 1500, 800}, 0}, // long answers fill the memory
	} {
		t.Run(fmt.Sprintf("%+v", tt.rigLoad), func(t *testing.T) {
			var off, on rigResult
			for seed := range uint64(2) {
				a, b := playParts(t, false, tt.rigLoad, seed+1), playParts(t, true, tt.rigLoad, seed+1)
				off = rigResult{off.saved + a.saved, off.shared + a.shared, append(off.first, a.first...)}
				on = rigResult{on.saved + b.saved, on.shared + b.shared, append(on.first, b.first...)}
			}
			slices.Sort(off.first)
			slices.Sort(on.first)
			t.Logf("saved %.2f -> %.2f; first token, ms: median %.0f -> %.0f, 0.9 quantile %.0f -> %.0f; placed %d -> %d",
				off.share(), on.share(), off.quantile(0.5), on.quantile(0.5), off.quantile(0.9), on.quantile(0.9), len(off.first), len(on.first))
			require.GreaterOrEqual(t, on.share(), off.share()+tt.gain-0.03)
			require.LessOrEqual(t, on.quantile(0.9), off.quantile(0.9)*1.05)
		})
	}
}

// Guards against a model of the caches that depends on what callers send: whatever the
// parts, the expected saving is within the prompt, and a full engine saves nothing.
func TestExpectedSavingIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newCluster(2, 4)
		s := f.entries[0]
		s.Parts = true
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			req := Request{Prompt: rapid.IntRange(0, 9000).Draw(t, "prompt"), Max: 10, Arrived: f.now}
			for range rapid.IntRange(0, 20).Draw(t, "parts") {
				req.Parts = append(req.Parts, Part{ID: rapid.Uint64Range(0, 5).Draw(t, "part"), Tokens: rapid.IntRange(0, 4000).Draw(t, "tokens")})
			}
			s.SetOthers(Work{Endpoint: "e0", Runs: 9, Tokens: 30_000, Sent: 100}, f.now)
			d := s.Place(req, f.now)
			for _, e := range s.list {
				if e.matchSeq != s.matchSeq {
					continue
				}
				total := 0
				for _, p := range req.Parts {
					total += p.Tokens
				}
				require.GreaterOrEqual(t, e.cached, 0.0)
				require.LessOrEqual(t, e.cached, float64(total)+1e-6)
			}
			if d.Endpoint != "" {
				s.Done(d.Ticket, 0, true, f.now)
			}
		}
	})
}
