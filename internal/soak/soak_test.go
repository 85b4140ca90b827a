package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/platform/fake"
	"github.com/eelgrassdock/eelgrassdock/process/gateway"
)

// build builds the program without the race detector, like a release.
func build(tb testing.TB) string {
	tb.Helper()
	binary := filepath.Join(tb.TempDir(), "eelgrassdock")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/eelgrassdock").CombinedOutput()
	require.NoError(tb, err, string(out))
	return binary
}

// The same seed must yield the same faults, otherwise a failure cannot be
// reproduced. Over 20 seeds, every kind of fault must occur.
func TestPlanDependsOnTheSeedAlone(t *testing.T) {
	require.Equal(t, Plan(7, time.Minute), Plan(7, time.Minute))
	require.NotEqual(t, Plan(7, time.Minute), Plan(8, time.Minute))
	kinds := map[string]bool{}
	for seed := range uint64(20) {
		for _, f := range Plan(seed, time.Minute) {
			kinds[f.Kind] = true
		}
	}
	for _, kind := range slices.Concat(allKinds, longFaults.kinds, soundFaults.kinds) {
		require.True(t, kinds[kind], kind)
	}
}

// Lying endpoints are chosen by index and not at random. When they were drawn,
// no replica lied in one of eight runs, and a fault of the same seed hit
// another endpoint.
func TestSitesDependOnTheSeedAlone(t *testing.T) {
	var first []string
	for range 20 {
		s := Soak{Seed: 4, Instances: 3, Sabotage: Once}
		s.prepare()
		var sites []string
		moods := map[string]map[bool]bool{}
		for _, p := range s.newSites() {
			lie := s.defaultFaults(p.n).FalseNotRun
			sites = append(sites, fmt.Sprintln(p.service, p.place, lie, p.random.Uint64()))
			if moods[p.service] == nil {
				moods[p.service] = map[bool]bool{}
			}
			moods[p.service][lie] = true
		}
		require.Equal(t, map[bool]bool{true: true, false: true}, moods[fake.PlainService])
		if first == nil {
			first = sites
		}
		require.Equal(t, first, sites)
	}
}

// A short run of the real program under faults keeps every promise. Seeds that
// once failed are run as well, with the number of instances that they failed
// with.
func TestSoak(t *testing.T) {
	binary := build(t)
	for _, tt := range []struct {
		seed      uint64
		instances int
	}{
		{1, 4},
		{102, 5}, // a fault of the soak: it checked a version after the next one was in force
	} {
		t.Run(fmt.Sprint("seed ", tt.seed), func(t *testing.T) {
			t.Parallel()
			s := Soak{Binary: binary, Dir: t.TempDir(), Seed: tt.seed, Duration: 36 * time.Second, Instances: tt.instances}
			sum, err := s.Run(context.Background())
			requireKept(t, &s, sum, err)
			require.True(t, sum.Kept)
			for _, promise := range []string{Order, Own, NotRun, Once, Leaving, Config, Limits} {
				require.Positive(t, sum.Checks[promise], promise)
			}
		})
	}
	// Guards against requests that reach an evacuated place or overload a cold endpoint while
	// instances are killed, suspended or cut off from the store.
	t.Run("places", func(t *testing.T) {
		t.Parallel()
		const seed, total = 5, 40 * time.Second
		s := Soak{Binary: binary, Dir: t.TempDir(), Seed: seed, Duration: total, Instances: 5, Faults: PlacePlan(seed, total), Cold: true}
		sum, err := s.Run(context.Background())
		requireKept(t, &s, sum, err)
		require.Positive(t, sum.Faults[Evacuate])
		require.Positive(t, sum.Checks[Cold])
	})
}

// Guards against a second run of a request whose answer was lost, at an engine
// that would have to refuse it but loses answers too.
func TestLostAnswersRunOnce(t *testing.T) {
	var plan []Fault
	for n := range 80 {
		plan = append(plan, Fault{Kind: Drop, After: quietStart + time.Duration(n)*minFault, Last: maxFault, Target: n})
		if n%4 == 3 {
			plan = append(plan, Fault{Kind: Crash, After: quietStart + time.Duration(n)*minFault, Last: minFault, Target: n / 4})
		}
	}
	s := Soak{Binary: build(t), Dir: t.TempDir(), Seed: 18, Duration: 20 * time.Second, Instances: 6, Faults: plan}
	sum, err := s.Run(context.Background())
	requireKept(t, &s, sum, err)
	require.Positive(t, sum.Checks[Once])
	require.Positive(t, sum.Continued)
}

// Guards against a soak that cannot fail: each promise is violated on purpose,
// in the program's settings, in the simulated platform or at the callers, and
// must be reported.
func TestSoakReportsEachBrokenPromise(t *testing.T) {
	binary := build(t)
	var plan []Fault
	for n, kind := range []string{Change, Withdraw, Stop, Reclaim, Reclaim, Reclaim, Reclaim, Stop, Reclaim, Reclaim, Stop} {
		plan = append(plan, Fault{Kind: kind, After: quietStart + time.Duration(n)*minFault, Last: minFault, Target: n})
	}
	for _, promise := range Promises {
		t.Run(promise, func(t *testing.T) {
			t.Parallel()
			s := Soak{
				Binary: binary, Dir: t.TempDir(), Seed: 4, Duration: 20 * time.Second, Instances: 3, Callers: 20, Faults: plan, Sabotage: promise,
				// Breaches of these are counted once the run has ended.
				Enough: func(sum Summary) bool {
					return sum.Breaches[promise] > 0 || promise == Budget || promise == NotRun || promise == Whole
				},
			}
			if promise == Evacuated || promise == Cold {
				s.Faults = []Fault{{Kind: Evacuate, After: minFault, Last: longestEvacuate, Target: 1}}
				for n := range 6 {
					s.Faults = append(s.Faults, Fault{Kind: TurnCold, After: quietStart, Last: longestCold, Target: n})
				}
				s.Pause = time.Millisecond
			}
			if promise == Deadly || promise == Served {
				s.Faults = []Fault{{Kind: Deadly, After: minFault, Last: s.Duration - time.Second, Target: 1}}
			}
			sum, err := s.Run(context.Background())
			require.NoError(t, err)
			require.False(t, sum.Kept)
			require.Positive(t, sum.Breaches[promise])
		})
	}
}

// BenchmarkFleet measures the startup time, processor time and store calls of
// instances without requests, while they start and for 10 s afterwards.
func BenchmarkFleet(b *testing.B) {
	binary := build(b)
	for _, n := range []int{6, 25, 50, 100} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			for range b.N {
				s := Soak{Binary: binary, Dir: b.TempDir(), Seed: 1, Instances: n}
				ctx, cancel := context.WithCancel(context.Background())
				s.ctx = ctx
				s.prepare()
				begun := time.Now()
				require.NoError(b, s.setUp(ctx))
				b.ReportMetric(time.Since(begun).Seconds(), "s/ready")
				starting := s.processorTime(b)
				calls := s.store.Calls()
				time.Sleep(10 * time.Second)
				b.ReportMetric(starting.Seconds()*1000/float64(n), "ms/start")
				b.ReportMetric((s.processorTime(b)-starting).Seconds()*1000/float64(n)/10, "ms/s")
				b.ReportMetric(float64(s.store.Calls()-calls)/10, "storecalls/s")
				cancel()
				s.tearDown()
			}
		})
	}
}

// BenchmarkLogs measures the processor time per request of instances that log
// decisions and of instances that log only errors, side by side under one load.
// The two halves swap roles for a second run, because the first instance of
// each region does more work than the others.
func BenchmarkLogs(b *testing.B) {
	binary := build(b)
	const instances = 6
	for _, callers := range []int{callersEach, 10 * callersEach} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			for range b.N {
				var used [2]time.Duration // of instances that log decisions, and of those that do not
				var served [2]int64
				var lines int
				var took time.Duration
				for turn := range 2 {
					s := Soak{Binary: binary, Dir: b.TempDir(), Seed: 1, Instances: instances, Duration: 30 * time.Second, Faults: []Fault{}, Callers: callers}
					s.Adapt = func(n int, settings *gateway.Settings) {
						if (n+turn)%2 == 1 {
							settings.Level = "error"
						}
					}
					time.AfterFunc(s.Duration-time.Second, func() {
						for n, i := range s.instances {
							used[(n+turn)%2] += i.processorTime(b)
							served[(n+turn)%2] += s.ledger.requestsOf(i.name)
						}
					})
					sum, err := s.Run(context.Background())
					require.NoError(b, err)
					require.Empty(b, sum.Details)
					for _, i := range s.instances {
						data, err := os.ReadFile(filepath.Join(s.Dir, i.name+".1.log"))
						require.NoError(b, err)
						lines += strings.Count(string(data), "\n")
					}
					took += s.Duration
				}
				b.ReportMetric(used[0].Seconds()*1e6/float64(served[0]), "µs/request-on")
				b.ReportMetric(used[1].Seconds()*1e6/float64(served[1]), "µs/request-off")
				each := instances / 2 * took.Seconds()
				b.ReportMetric(float64(lines)/each, "lines/s")
				b.ReportMetric(float64(served[0])/each, "requests/s")
			}
		})
	}
}

// requestsOf returns the number of requests that were sent to an instance.
func (l *Ledger) requestsOf(instance string) (n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		if r.instance == instance {
			n++
		}
	}
	return n
}

// processorTime returns the total processor time of the running processes.
func (s *Soak) processorTime(tb testing.TB) (sum time.Duration) {
	tb.Helper()
	for _, i := range s.instances {
		sum += i.processorTime(tb)
	}
	return sum
}

// processorTime returns the user and system time that the running process has
// used.
func (i *instance) processorTime(tb testing.TB) (sum time.Duration) {
	tb.Helper()
	const tick = 10 * time.Millisecond // unit of the times in /proc/PID/stat
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", i.cmd.Process.Pid))
	require.NoError(tb, err)
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	for _, field := range fields[11:13] {
		n, err := strconv.Atoi(field)
		require.NoError(tb, err)
		sum += time.Duration(n) * tick
	}
	return sum
}

// Guards against a configuration that is not in force, or reverts, after the store has
// come back from an older copy and gives its versions out again.
func TestChangesAfterTheStoreIsRestored(t *testing.T) {
	var plan []Fault
	at := quietStart
	for range 3 {
		plan = append(plan, Fault{Kind: Change, After: at, Last: minFault})
		at += 2 * minFault
	}
	const copyAge = 4 // seconds, so that the copy has none of these changes
	plan = append(plan, Fault{Kind: Restore, After: at, Last: longFaults.shortest, Target: copyAge}, Fault{Kind: Withdraw, After: at + 4*time.Second, Last: minFault})
	s := Soak{Binary: build(t), Dir: t.TempDir(), Seed: 21, Duration: at + 12*time.Second, Instances: 5, Faults: plan}
	sum, err := s.Run(context.Background())
	requireKept(t, &s, sum, err)
	require.Positive(t, sum.Checks[Config])
	require.Positive(t, sum.Checks[Revoked])
}
