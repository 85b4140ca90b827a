package placement

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	fleetTick    = 10 * time.Millisecond
	fleetStep    = 7 * time.Millisecond    // of an engine without work
	fleetPerRun  = 120 * time.Microsecond  // that each generation adds to a step
	fleetChunk   = 112.0                   // prompt tokens that one step computes
	fleetPrefill = 14.0                    // prompt tokens a ms
	fleetTurn    = 3300 * time.Millisecond // after which a sixth of the engines leaves
	fleetAim     = 1100 * time.Millisecond // to the first token, for 95 of 100 generations (docs/design.md)
	fleetMemory  = 33_606                  // tokens
)

type (
	// fleetLoad is the load of a rig: many placers that learn late of each other's work,
	// before engines of which a part leaves again and again, with empty ones in their place.
	fleetLoad struct {
		placers, engines    int
		longRate, shortRate float64 // generations a second
		leaving             int     // engines that are replaced each fleetTurn
		age                 time.Duration
		duration            time.Duration
	}

	// fleetResult is what callers saw.
	fleetResult struct {
		first   time.Duration // mean time to the first token
		p99     time.Duration
		late    float64 // share of first tokens after fleetAim
		crowded int     // most generations that one engine got within 200 ms
	}

	fleetEngine struct {
		id     string
		slow   float64
		fill   float64
		runs   []*fleetRun
		placed []time.Time
	}

	fleetRun struct {
		placer  int
		ticket  Ticket
		engine  string
		arrived time.Time
		fill    float64 // prompt tokens that are computed before its first token
		tokens  int
		done    float64
	}

	ageRig struct {
		fleetLoad
		t          testing.TB
		now        time.Time
		random     *rand.Rand
		schedulers []*Scheduler
		list       []*fleetEngine
		next       int
		delayed    []fleetWork // snapshots of the work of all, the oldest first
		told       []map[string]Work
		owed       []map[string]Work // times for tokens that a placer was not told yet
		firsts     []time.Duration
		crowded    int
	}

	// fleetWork is the work of all placers at one time.
	fleetWork struct {
		at   time.Time
		list []map[string]Work
	}
)

func newAgeRig(t testing.TB, l fleetLoad) *ageRig {
	f := &ageRig{fleetLoad: l, t: t, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2))}
	for range l.engines {
		f.addEngine()
	}
	for i := range l.placers {
		s := &Scheduler{
			Service: "s", Region: "r", EntryPlace: "p", Seed: uint64(i + 1), Chunked: true, MemoryCost: 0.5, FarCost: 0.15, LoadAge: l.age,
		}
		f.schedulers = append(f.schedulers, s)
		f.told, f.owed = append(f.told, map[string]Work{}), append(f.owed, map[string]Work{})
	}
	f.listEngines()
	return f
}

func (f *ageRig) addEngine() {
	f.list = append(f.list, &fleetEngine{id: fmt.Sprint("e", f.next), slow: []float64{1, 1, 1.3}[f.next%3]})
	f.next++
}

func (f *ageRig) listEngines() {
	var list []Endpoint
	for _, e := range f.list {
		list = append(list, Endpoint{ID: e.id, Place: "p", Region: "r", Tokens: fleetMemory})
	}
	for _, s := range f.schedulers {
		s.SetEndpoints(list)
	}
}

// play runs the load and returns what callers saw.
func (f *ageRig) play() fleetResult {
	end, turn := f.now.Add(f.duration), f.now.Add(fleetTurn)
	for f.now.Before(end) {
		f.now = f.now.Add(fleetTick)
		if f.leaving > 0 && !f.now.Before(turn) {
			turn = turn.Add(fleetTurn)
			f.replace()
		}
		f.arrive(f.longRate, 3000, 468)
		f.arrive(f.shortRate, 2200, 8)
		for _, e := range f.list {
			f.work(e)
		}
		f.exchange()
	}
	slices.Sort(f.firsts)
	r := fleetResult{crowded: f.crowded}
	late := 0
	for _, d := range f.firsts {
		r.first += d
		if d > fleetAim {
			late++
		}
	}
	n := len(f.firsts)
	require.NotZero(f.t, n)
	r.first /= time.Duration(n)
	r.p99, r.late = f.firsts[n*99/100], float64(late)/float64(n)
	return r
}

// replace takes random engines away, moves their generations to others and adds empty ones.
func (f *ageRig) replace() {
	f.random.Shuffle(len(f.list), func(i, k int) { f.list[i], f.list[k] = f.list[k], f.list[i] })
	gone := f.list[:f.leaving]
	f.list = slices.Clone(f.list[f.leaving:])
	for range f.leaving {
		f.addEngine()
	}
	f.listEngines()
	for _, e := range gone {
		for _, r := range e.runs {
			f.schedulers[r.placer].Done(r.ticket, int(r.done), false, f.now)
		}
	}
}

func (f *ageRig) arrive(rate float64, prompt, tokens int) {
	for expected := rate * fleetTick.Seconds(); expected > 0; expected-- {
		if f.random.Float64() >= expected {
			continue
		}
		i := f.random.IntN(len(f.schedulers))
		d := f.schedulers[i].Place(Request{Account: fmt.Sprint(tokens), Prompt: prompt, Max: 2 * tokens, Arrived: f.now}, f.now)
		require.NotEmpty(f.t, d.Endpoint)
		k := slices.IndexFunc(f.list, func(e *fleetEngine) bool { return e.id == d.Endpoint })
		e := f.list[k]
		e.fill += float64(prompt)
		e.runs = append(e.runs, &fleetRun{
			placer: i, ticket: d.Ticket, engine: e.id, arrived: f.now, fill: e.fill, tokens: tokens/2 + f.random.IntN(tokens),
		})
		e.placed = append(e.placed, f.now)
		recent := 0
		for _, at := range e.placed {
			if f.now.Sub(at) < 200*time.Millisecond {
				recent++
			}
		}
		f.crowded = max(f.crowded, recent)
	}
}

// work lets an engine compute prompts in chunks between the tokens of its generations.
func (f *ageRig) work(e *fleetEngine) {
	step := (fleetStep + time.Duration(len(e.runs))*fleetPerRun).Seconds() * 1000 * e.slow
	chunk := min(fleetChunk, max(e.fill, 0))
	steps := float64(fleetTick) / float64(time.Millisecond) / (step + chunk/fleetPrefill*e.slow)
	e.fill = max(e.fill-steps*chunk, 0)
	e.runs = slices.DeleteFunc(e.runs, func(r *fleetRun) bool {
		s := f.schedulers[r.placer]
		if r.fill > 0 {
			if r.fill -= steps * chunk; r.fill > 0 {
				return false
			}
			f.firsts = append(f.firsts, f.now.Sub(r.arrived))
			s.Started(r.ticket, f.now)
		}
		r.done += steps
		if r.done < float64(r.tokens) {
			s.Progress(r.ticket, int(r.done), f.now)
			return false
		}
		s.Done(r.ticket, r.tokens, true, f.now)
		return true
	})
}

// exchange tells each placer the work that the others had some time ago.
func (f *ageRig) exchange() {
	w := fleetWork{at: f.now}
	for _, s := range f.schedulers {
		own := map[string]Work{}
		for _, l := range s.Own() {
			own[l.Endpoint] = l
		}
		w.list = append(w.list, own)
	}
	f.delayed = append(f.delayed, w)
	if f.now.Sub(f.delayed[0].at) < f.age {
		return
	}
	w, f.delayed = f.delayed[0], f.delayed[1:]
	sums := map[string]Work{}
	changed := map[string]bool{}
	for i, own := range w.list {
		for id, l := range own {
			since := l.since(f.told[i][id])
			sums[id] = sums[id].plus(since, 1)
			changed[id] = changed[id] || since.Sent > 0
		}
	}
	for i, s := range f.schedulers {
		for _, id := range slices.Sorted(maps.Keys(sums)) {
			sum := sums[id]
			if own, had := w.list[i][id]; had {
				sum = sum.plus(own.since(f.told[i][id]), -1)
			}
			owed := f.owed[i][id]
			sum.Took, sum.Predicted = sum.Took+owed.Took, sum.Predicted+owed.Predicted
			if !changed[id] && f.random.IntN(10) > 0 {
				f.owed[i][id] = Work{Took: sum.Took, Predicted: sum.Predicted}
				continue // the rest is told in rounds
			}
			delete(f.owed[i], id)
			sum.Endpoint = id
			s.SetOthers(sum, f.now)
			s.AddPace(id, sum.Took, sum.Predicted, f.now)
		}
	}
	for i, own := range w.list {
		maps.Copy(f.told[i], own)
	}
}

// since returns the work with what was added to its totals since it was told.
func (w Work) since(told Work) Work {
	w.Sent, w.Took, w.Predicted = max(w.Sent-told.Sent, 0), max(w.Took-told.Took, 0), max(w.Predicted-told.Predicted, 0)
	return w
}

// plus returns the sum of the work and other work times a sign.
func (w Work) plus(x Work, sign float64) Work {
	w.Runs, w.Tokens, w.Sent = w.Runs+int(sign)*x.Runs, w.Tokens+sign*x.Tokens, w.Sent+sign*x.Sent
	w.Took, w.Predicted = w.Took+sign*x.Took, w.Predicted+sign*x.Predicted
	return w
}

// BenchmarkLoadAge shows what callers see if each of 295 placers learns of the others' work
// only after some time, before 130 engines of which 22 are replaced by empty ones each 3.3 s.
func BenchmarkLoadAge(b *testing.B) {
	for _, age := range []time.Duration{0, 20, 50, 100, 200, 400} {
		age *= time.Millisecond
		b.Run(age.String(), func(b *testing.B) {
			var r fleetResult
			for b.Loop() {
				r = newAgeRig(b, fleetLoad{placers: 295, engines: 130, longRate: 99.8, shortRate: 70, leaving: 22, age: age, duration: 10 * time.Second}).play()
			}
			b.ReportMetric(float64(r.first.Milliseconds()), "first-ms")
			b.ReportMetric(float64(r.p99.Milliseconds()), "p99-ms")
			b.ReportMetric(100*r.late, "late-%")
			b.ReportMetric(float64(r.crowded), "crowded")
		})
	}
}
