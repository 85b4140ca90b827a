package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/eelgrassdock/eelgrassdock/version/routing"
)

func request(prompt int, arrived time.Time) Request {
	return Request{Account: "a", Prompt: prompt, Max: 4000, Arrived: arrived}
}

// Guards against own work counted twice, once by the entry and once in a report
// that includes it, for reports made before and after some of the placements.
func TestOwnWorkIsCountedOnce(t *testing.T) {
	s := fleet(1, Current)
	now := start
	for range 10 {
		now = now.Add(time.Second)
		d := s.Place(request(1000, now), now)
		s.Progress(d.Ticket, 100, now)
	}
	e := s.list[0]
	for _, test := range []struct {
		name  string
		at    time.Time
		used  int64
		count int
	}{
		{"before the last five", start.Add(5500 * time.Millisecond), 50_000 + 5*1100, 65},
		{"after all", now.Add(500 * time.Millisecond), 50_000 + 10*1100, 70},
	} {
		s.Report("e000", Report{At: test.at, Running: test.count, Used: test.used, Total: 100_000}, now.Add(time.Second))
		if e.others != 50_000 || e.othersRuns != 60 || e.used != 11_000 {
			t.Errorf("%s: others %.0f in %.0f generations, own %.0f", test.name, e.others, e.othersRuns, e.used)
		}
	}
}

// Guards against reservations that are released twice, never, or by a stale
// ticket whose slot was reused.
func TestReleaseExactlyOnce(t *testing.T) {
	s := fleet(2, Current)
	var violations []string
	s.Violation = func(what string) { violations = append(violations, what) }
	first := s.Place(request(100, start), start)
	s.Done(first.Ticket, 5, true, start)
	second := s.Place(request(100, start), start)
	s.Done(first.Ticket, 5, true, start)
	s.Progress(first.Ticket, 9, start)
	if len(violations) != 2 {
		t.Errorf("violations: %v", violations)
	}
	s.Done(second.Ticket, 5, true, start)
	for _, e := range s.list {
		if e.count != 0 || e.used != 0 || e.ahead != (load{}) {
			t.Errorf("%s keeps %d generations with %.0f tokens", e.ID, e.count, e.used)
		}
	}
}

// Guards against several entries with the same reports choosing the same engine.
func TestNoHerding(t *testing.T) {
	chosen := map[string]int{}
	for entry := range 20 {
		s := seededFleet(20, Current, uint64(entry))
		s.SetPeers(20)
		for _, e := range s.list {
			s.Report(e.ID, Report{At: start, Running: 60, Used: 60_000, Total: 100_000}, start)
		}
		for range 10 {
			chosen[s.Place(request(500, start), start).Endpoint]++
		}
	}
	for id, n := range chosen {
		if n > 25 {
			t.Errorf("%s got %d of 200 requests", id, n)
		}
	}
}

// Guards against starvation: a request that is larger than the free memory of any
// engine must be sent after maxWaitSeconds.
func TestNoStarvation(t *testing.T) {
	s := fleet(3, Current)
	req := request(90_000, start)
	if d := s.Place(req, start); !d.Wait {
		t.Fatalf("decision %+v", d)
	}
	if d := s.Place(req, start.Add(maxWaitSeconds*time.Second)); d.Endpoint == "" {
		t.Fatalf("decision %+v after the maximum wait", d)
	}
	// In an overload, large requests must have the same chance as small ones that
	// have waited as long.
	large, small := request(6000, start), request(100, start)
	now := start.Add(sizeSeconds * time.Second)
	s.Report("e000", Report{At: now, Running: 80, Used: 90_500, Total: 100_000}, now)
	s.Suspect("e001", now.Add(time.Hour))
	s.Suspect("e002", now.Add(time.Hour))
	s.sending.tokens = 100
	if a, b := s.Place(large, now), s.Place(small, now); a.Wait && !b.Wait {
		t.Error("small request overtakes a large one that has waited as long")
	}
}

// Guards against holding small prompts while engines are half empty. This happened
// when the growth of other entries' memory was inferred as a ratio of the expected
// memory to the current one, as inferGrowth does for Previous: small prompts were
// expected to grow thirteenfold. evaluate adds the tokens of each horizon instead.
func TestSmallPrompts(t *testing.T) {
	s := fleet(5, Current)
	for range 20 {
		if d := s.Place(request(10, start), start); d.Endpoint == "" {
			t.Fatalf("decision %+v", d)
		}
	}
}

// Guards against new work for endpoints that are leaving, drained, suspected or
// excluded, under every policy.
func TestUnusableEndpoints(t *testing.T) {
	for _, p := range []Policy{Current, Previous, RoundRobin, LeastConn, TwoChoice} {
		s := fleet(5, p)
		list := endpoints(5)
		list[0].Drain = true
		s.SetEndpoints(list)
		s.Report("e001", Report{At: start, Total: 100_000, Leaving: true}, start)
		s.Suspect("e002", start.Add(time.Minute))
		for range 10 { // more requests would be held, since peers are assumed to use memory too
			req := request(500, start)
			req.Exclude = []string{"e003"}
			if d := s.Place(req, start); d.Endpoint != "e004" {
				t.Errorf("%s: decision %+v", p, d)
			}
		}
		s.Suspect("e004", start.Add(time.Minute))
		req := request(10, start)
		req.Exclude = []string{"e003"}
		if d := s.Place(req, start); !d.None || d.Wait {
			t.Errorf("%s: decision %+v without a usable endpoint", p, d)
		}
	}
}

// Guards against new work for silent endpoints while another is usable, and against the
// refusal of a request that a silent endpoint may still take, under every policy.
func TestSilentEndpoints(t *testing.T) {
	for _, p := range []Policy{Current, Previous, RoundRobin, LeastConn, TwoChoice} {
		s := fleet(3, p)
		for _, e := range endpoints(3) {
			s.SetSilent(e.ID, e.ID != "e002")
		}
		if d := s.Place(request(10, start), start); d.Endpoint != "e002" {
			t.Errorf("%s: decision %+v", p, d)
		}
		s = fleet(3, p)
		s.SetSilent("e000", true)
		s.SetSilent("e001", true)
		s.Suspect("e002", start.Add(time.Minute))
		req := request(10, start)
		if d := s.Place(req, start); !d.Wait || d.None {
			t.Errorf("%s: decision %+v while endpoints are silent", p, d)
		}
		req.Exclude = []string{"e000", "e001"}
		if d := s.Place(req, start); !d.None || d.Wait {
			t.Errorf("%s: decision %+v while excluded endpoints are silent", p, d)
		}
		s.SetSilent("e001", false)
		if d := s.Place(request(10, start), start); d.Endpoint != "e001" {
			t.Errorf("%s: decision %+v after the silence", p, d)
		}
	}
}

// Guards against requests and copies at endpoints outside of their regions, under every policy,
// and against a wait for a silent one there.
func TestRegions(t *testing.T) {
	for _, p := range []Policy{Current, Previous, RoundRobin, LeastConn, TwoChoice} {
		s := fleet(4, p)
		list := endpoints(4)
		for i := range list {
			list[i].Region = []string{"a", "b"}[i/2]
		}
		s.SetEndpoints(list)
		s.SetSilent("e000", true)
		req, c := request(10, start), Copy{From: "e002", Prompt: 10, Urgent: true}
		req.Regions = routing.Regions{"b", "c"}
		c.Regions = req.Regions
		for n := range 5 { // more may be held, since peers are assumed to use memory too
			if d := s.Place(req, start); d.Endpoint != "e002" && d.Endpoint != "e003" && (n == 0 || !d.Wait) {
				t.Errorf("%s: decision %+v", p, d)
			}
			if d := s.PlaceCopy(c, start); d.Endpoint != "e003" {
				t.Errorf("%s: decision %+v on a copy", p, d)
			}
		}
		req.Regions, c.Regions = routing.Regions{"c"}, routing.Regions{}
		if d, copied := s.Place(req, start), s.PlaceCopy(c, start); !d.None || !copied.None {
			t.Errorf("%s: decisions %+v, %+v without a region", p, d, copied)
		}
	}
}

// Guards against a late report replacing a newer one that says that the endpoint
// is leaving. After staleAfter, an earlier time must be accepted, because the
// endpoint may have restarted with an earlier clock.
func TestLateReport(t *testing.T) {
	s := fleet(1, Current)
	later := start.Add(2 * time.Second)
	s.Report("e000", Report{At: later, Total: 100_000, Leaving: true}, later)
	s.Report("e000", Report{At: start.Add(time.Second), Total: 100_000}, later.Add(time.Second))
	if d := s.Place(request(10, later), later); !d.None {
		t.Errorf("decision %+v after a late report", d)
	}
	restarted := later.Add(staleAfter)
	s.Report("e000", Report{At: start, Total: 100_000}, restarted)
	if d := s.Place(request(10, later), restarted); d.Endpoint == "" {
		t.Errorf("decision %+v after a restart with an earlier clock", d)
	}
}

// Guards against wrong records of a prefix cache that are never corrected.
func TestPrefixBeliefs(t *testing.T) {
	s := fleet(2, Current)
	req := Request{Prompt: 2000, Prefix: []uint64{1, 2, 3}}
	expected := func(i int) float64 {
		s.matchPrefix(&req)
		return s.cachedTokens(s.list[i])
	}
	s.Cache("e000", []CacheEvent{{Seq: 1, Prefix: 1}, {Seq: 2, Prefix: 2}})
	if got := expected(0); got != 512 {
		t.Errorf("%.0f tokens expected in the cache", got)
	}
	s.Cache("e000", []CacheEvent{{Seq: 9, Prefix: 7}}) // a gap
	if got := expected(0); got != 256 {
		t.Errorf("%.0f tokens expected in the cache after a gap", got)
	}
	s.Cache("e000", []CacheEvent{{Seq: 10, Prefix: 1}, {Seq: 11, Prefix: 1, Gone: true}})
	if got := expected(0); got != 0 {
		t.Errorf("%.0f tokens expected in the cache after an eviction", got)
	}
	s.Cache("e001", []CacheEvent{{Seq: 5, Prefix: 1}, {Seq: 1, Prefix: 9}}) // a restart
	if got := expected(1); got != 0 {
		t.Errorf("%.0f tokens expected in the cache after a restart", got)
	}
}

// Guards against sending work at or after its deadline.
func TestDeadline(t *testing.T) {
	s := fleet(2, RoundRobin)
	req := request(10, start)
	req.Deadline = start.Add(time.Second)
	if d := s.Place(req, req.Deadline); !d.Wait {
		t.Errorf("decision %+v at the deadline", d)
	}
}

// Guards against bytes between regions that are not counted, and bytes within the
// region that are.
func TestBytes(t *testing.T) {
	s := fleet(3, RoundRobin) // e000 is in the entry's region
	for range 3 {
		d := s.Place(request(100, start), start)
		s.Done(d.Ticket, 10, true, start)
	}
	if got, want := s.Bytes(), int64(2*(100*bytesPerPrompt+10*bytesPerToken)); got != want {
		t.Errorf("%d bytes, want %d", got, want)
	}
}

// Guards, in any order of calls, against sums that become negative, reservations
// that leak, and decisions for unusable endpoints.
func TestRandomCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := fleet(4, rapid.SampledFrom([]Policy{Current, Previous, LeastConn, TwoChoice}).Draw(t, "policy"))
		s.Violation = func(what string) { t.Fatal(what) }
		now := start
		var open []Ticket
		leaving := map[string]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprintf("e%03d", rapid.IntRange(0, 3).Draw(t, "endpoint"))
			switch rapid.IntRange(0, 5).Draw(t, "call") {
			case 0, 1:
				d := s.Place(request(rapid.IntRange(1, 5000).Draw(t, "prompt"), start), now)
				if leaving[d.Endpoint] || (d.Endpoint == "") == (d.Wait == d.None) {
					t.Fatalf("decision %+v", d)
				}
				if d.Endpoint != "" {
					open = append(open, d.Ticket)
				}
			case 2, 3:
				if len(open) == 0 {
					continue
				}
				i, n := rapid.IntRange(0, len(open)-1).Draw(t, "ticket"), rapid.IntRange(0, 9000).Draw(t, "n")
				s.Progress(open[i], n, now)
				if n%3 == 0 {
					s.Done(open[i], n, n%2 == 0, now)
					open = slices.Delete(open, i, i+1)
				}
			case 4:
				at := now.Add(-time.Duration(rapid.IntRange(-1000, 9000).Draw(t, "age")) * time.Millisecond)
				s.Report(id, Report{
					At: at, Running: rapid.IntRange(0, 100).Draw(t, "running"),
					Used: rapid.Int64Range(0, 100_000).Draw(t, "used"), Total: 100_000, StepTime: 30 * time.Millisecond,
				}, now)
			case 5:
				gone := rapid.IntRange(0, 3).Draw(t, "gone")
				list := endpoints(4)
				list[gone].Drain = true
				leaving = map[string]bool{list[gone].ID: true}
				s.SetEndpoints(list)
			}
		}
		for _, ticket := range open {
			s.Done(ticket, 1, true, now)
		}
		for _, e := range s.list {
			if e.count != 0 || e.used != 0 || e.others < 0 {
				t.Fatalf("%s ends with %d generations, %f tokens", e.ID, e.count, e.used)
			}
		}
	})
}

// Guards against memory allocation in the steady state.
func TestPlaceDoesNotAllocate(t *testing.T) {
	s := fleet(20, Current)
	req := request(100, start)
	if n := testing.AllocsPerRun(1000, func() {
		d := s.Place(req, start)
		s.Progress(d.Ticket, 50, start)
		s.Done(d.Ticket, 60, true, start)
	}); n > 0 {
		t.Errorf("%.1f allocations", n)
	}
}

// Guards against entries that prefer different endpoints for long prompts, and
// against preferences among prompts of equal length.
func TestLongPrompts(t *testing.T) {
	s, other := fleet(20, Current), seededFleet(20, Current, 9)
	list := endpoints(20)
	slices.Reverse(list)
	other.SetEndpoints(list)
	n := 0
	for _, e := range s.list {
		if e.long {
			n++
		}
		if e.long != other.byID[e.ID].long {
			t.Errorf("%s is preferred by one entry only", e.ID)
		}
	}
	if n != 6 { // 2 of 7, 2 of 7 and 2 of 6
		t.Errorf("%d endpoints preferred", n)
	}
	for i := range 1000 {
		if got := s.sending.typicalFill(0.3); got < 0.299 || got > 0.301 {
			t.Fatalf("typical fill %f after %d prompts of 0.3", got, i)
		}
		s.sending.recordFill(0.3)
	}
}

// Guards against a policy that takes effect only before the first decision, and
// against sums that mix the forecasts of two policies after a change.
func TestSetRule(t *testing.T) {
	s := fleet(2, Current)
	s.Violation = func(what string) { t.Error(what) }
	req := request(99_000, start) // fits nowhere
	if d := s.Place(req, start); !d.Wait {
		t.Fatalf("decision %+v", d)
	}
	var open []Ticket
	for range 3 {
		open = append(open, s.Place(request(500, start), start).Ticket)
	}
	before := s.own.ahead
	s.SetPolicy(Previous, Weights{})
	if s.own.ahead == before {
		t.Error("forecasts are still those of the previous policy")
	}
	s.SetPolicy(Current, Weights{Stall: 1, Gap: 1, Preempt: 1})
	for h, mean := range before.mean {
		if diff := s.own.ahead.mean[h] - mean; diff > 0.01 || diff < -0.01 {
			t.Errorf("expected memory differs by %f after a change back", diff)
		}
	}
	s.SetPolicy(LeastConn, Weights{})
	d := s.Place(req, start)
	if d.Endpoint == "" {
		t.Fatalf("decision %+v after a change to %s", d, LeastConn)
	}
	var wg conc.WaitGroup
	wg.Go(func() {
		for i := range 100 {
			s.SetPolicy([]Policy{Current, Previous, TwoChoice}[i%3], Weights{Stall: float64(i)})
		}
	})
	for _, ticket := range append(open, d.Ticket) {
		wg.Go(func() { s.Done(ticket, 10, true, start) })
	}
	wg.Wait()
	if s.own.count != 0 || s.list[0].ahead != (load{}) || s.list[1].ahead != (load{}) {
		t.Errorf("%d generations remain", s.own.count)
	}
}

// Guards against learning reports without a step time as steps of zero length,
// which would remove the gap from the decision.
func TestUnknownStepTime(t *testing.T) {
	s := fleet(1, Current)
	before := s.step.predict(100, 90_000)
	if before < 0.03 || before > 0.06 {
		t.Errorf("%f s expected for a step of 100 generations", before)
	}
	for i := range 1000 {
		at := start.Add(time.Duration(i) * time.Second)
		s.Report("e000", Report{At: at, Running: 100, Used: 90_000, Total: 100_000}, at)
	}
	if got := s.step.predict(100, 90_000); got != before {
		t.Errorf("%f s after reports without step time, %f before", got, before)
	}
}

// Guards against work that is held without end because the engines miss the gap
// target even when idle.
func TestSlowEngines(t *testing.T) {
	s := fleet(1, Current)
	at := start
	for i := range 1000 {
		at = at.Add(time.Second)
		n := i % 20
		s.Report("e000", Report{At: at, Running: n, Used: int64(500 * n), Total: 100_000, StepTime: time.Duration(90+n/4) * time.Millisecond}, at)
	}
	s.Report("e000", Report{At: at, Total: 100_000}, at)
	for range 10 {
		if d := s.Place(request(100, at), at); d.Endpoint == "" {
			t.Fatalf("decision %+v", d)
		}
	}
}
