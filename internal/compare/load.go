package compare

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/eelgrassdock/eelgrassdock/standin/model"
)

const (
	numAccounts = 40
	maxTokens   = 32_768
	prefixLen   = 256 // prompt tokens that one prefix hash covers
)

type (
	// Load describes an arrival trace and the conditions under which it is
	// served.
	Load struct {
		Name    string
		Share   float64       // memory that the trace needs, as a share of the engines' memory
		Entries int           // number of entries; default: 7
		Lag     time.Duration // age of a report when it arrives, without the network delay
		Burst   bool          // three times the rate for 3 s of every 20 s
		Tail    bool          // lengths from a few to tens of thousands of tokens
		Shared  bool          // most prompts begin with one of 30 common prefixes
		Large   bool          // one account sends 60 % of the requests
		Lost    bool          // one engine fails in the middle of the window
		Warm    time.Duration // replaces Options.Warm if not zero
	}

	// rateKey holds everything that the arrival rate depends on.
	rateKey struct {
		load   Load
		engine model.Config
		seed   uint64
	}

	// arrival is one request of a trace.
	arrival struct {
		at      time.Duration
		account int
		work    model.Work
	}

	// account describes the requests of one account. Their output lengths are
	// log-normally distributed.
	account struct {
		weight float64 // relative share of the requests
		// median is in tokens; spread is the standard deviation of the logarithm.
		median, spread float64
	}
)

// share90 is the Load.Share at which 90 % of the memory is in use in the
// window. It is more than 0.9 because the longest generations take so long that
// fewer of them run in the window than would in the steady state.
const share90 = 0.955

// rates caches the measured arrival rates: for each rateKey a func() float64
// that measures the rate on its first call.
var rates sync.Map

// Loads are the default loads.
var Loads = []Load{
	{Name: "steady 70%", Share: 0.72},
	{Name: "steady 90%", Share: share90},
	{Name: "steady 110%", Share: 1.1},
	{Name: "90%, 2 entries", Share: share90, Entries: 2},
	{Name: "90%, 20 entries", Share: share90, Entries: 20},
	{Name: "90%, reports 5 s late", Share: share90, Lag: 5 * time.Second},
	{Name: "burst", Share: 0.7, Burst: true},
	{Name: "long tail", Share: share90, Tail: true, Warm: 5 * time.Minute},
	{Name: "shared prefixes", Share: share90, Shared: true},
	{Name: "large account", Share: 0.9, Large: true},
	{Name: "engine lost", Share: 0.85, Lost: true},
}

// newAccounts draws the accounts of a load.
func newAccounts(l Load, r *rand.Rand) []account {
	list := make([]account, numAccounts)
	for i := range list {
		list[i] = account{
			weight: 1 / float64(i+3),
			median: 120 * math.Exp2(2.5*r.Float64()), spread: 0.5 + 0.4*r.Float64(),
		}
		if l.Tail {
			list[i].median, list[i].spread = 60*math.Exp2(3.5*r.Float64()), 1.3
		}
	}
	if l.Large {
		rest := 0.0
		for _, a := range list[1:] {
			rest += a.weight
		}
		list[0].weight = rest * 1.5
	}
	return list
}

// drawLength draws the output length of one request, in tokens.
func (a *account) drawLength(r *rand.Rand) int {
	return min(max(int(a.median*math.Exp(a.spread*r.NormFloat64())), 4), maxTokens)
}

// warm returns the simulated time before the window.
func (l *Load) warm(o *Options) time.Duration {
	if l.Warm > 0 {
		return l.Warm
	}
	return o.Warm
}

// source draws requests without arrival times.
type source struct {
	load     Load
	rand     *rand.Rand
	accounts []account
	sums     []float64 // running sums of the accounts' weights
}

func newSource(l Load, seed uint64) *source {
	r := rand.New(rand.NewPCG(seed, 0x74726163))
	s := &source{load: l, rand: r, accounts: newAccounts(l, r)}
	sum := 0.0
	for _, a := range s.accounts {
		sum += a.weight
		s.sums = append(s.sums, sum)
	}
	return s
}

func (s *source) draw() arrival {
	r := s.rand
	x := r.Float64() * s.sums[len(s.sums)-1]
	i, _ := slices.BinarySearch(s.sums, x)
	prompt := min(max(int64(350*math.Exp(0.8*r.NormFloat64())), 16), 6000)
	w := model.Work{Prompt: prompt, Max: maxTokens, Length: s.accounts[i].drawLength(r)}
	if s.load.Shared && r.Float64() < 0.7 {
		common := r.IntN(30)
		blocks := 2 + common%7
		w.Prompt += int64(blocks * prefixLen)
		for b := range blocks {
			w.Prefix = append(w.Prefix, uint64(common*100+b+1))
		}
	}
	return arrival{account: i, work: w}
}

// trace draws the arrivals of one run.
func trace(l Load, o *Options, seed uint64) []arrival {
	s := newSource(l, seed)
	rate := arrivalRate(l, o.Engine, seed) * float64(o.Engines)
	span := l.warm(o) + o.Window
	var list []arrival
	for at := 0.0; ; {
		current := rate
		if l.Burst && math.Mod(at, 20) > 17 {
			current *= 3
		}
		at += s.rand.ExpFloat64() / current
		if at >= span.Seconds() {
			return list
		}
		a := s.draw()
		a.at = time.Duration(at * float64(time.Second))
		list = append(list, a)
	}
}

// arrivalRate returns the requests per second and engine at which the memory in
// use is the load's share of the memory. The rate is measured: work is submitted
// to one engine whenever its memory in use is below that share, and the accepted
// submissions are counted. Shares above 90 % are measured at 90 % and the rate
// is scaled up.
func arrivalRate(l Load, cfg model.Config, seed uint64) float64 {
	// These fields do not affect the rate. Clearing them lets loads that differ
	// only here share one measurement.
	l.Name, l.Entries, l.Lag, l.Lost, l.Burst, l.Warm = "", 0, 0, false, false, 0
	rate, _ := rates.LoadOrStore(rateKey{l, cfg, seed}, sync.OnceValue(func() float64 {
		return measureRate(l, cfg, seed)
	}))
	return rate.(func() float64)()
}

// measureRate measures the rate that arrivalRate returns.
func measureRate(l Load, cfg model.Config, seed uint64) float64 {
	const (
		warm   = 200 * time.Second
		window = 2000 * time.Second
	)
	share := min(l.Share, 0.9)
	s := newSource(l, seed)
	e := model.New(cfg)
	drawn, counted := 0, 0
	for now := time.Duration(0); now < warm+window; {
		if r := e.Report(); float64(r.Used) < share*float64(r.Total) {
			w := s.draw().work
			w.Gen = strconv.Itoa(drawn)
			if drawn++; e.Submit(w) && now >= warm {
				counted++
			}
		}
		_, took := e.Step()
		now += took
	}
	return float64(counted) / window.Seconds() * l.Share / share
}
