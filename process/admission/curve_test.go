package admission

import (
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"github.com/stretchr/testify/require"
)

var (
	table = flag.Bool("table", false, "print the table of loads")
	loads = flag.String("loads", "0.5,0.75,1,1.25,1.5,2,3", "with -table: load as a multiple of the capacity")
	wave  = flag.Int("wave", curveWave, "with -table: engines that leave each turn")
	surge = flag.Bool("surge", false, "with -table: 2.6 times the load for 4 s of every 12 s")
	fifo  = flag.Bool("fifo", false, "with -table: engines take requests in order of arrival")
	room  = flag.Int("room", rigHeld, "with -table: requests that wait at an engine from which it rejects others")
	size  = flag.Int("size", 1, "with -table: multiple of the engines, the engines that leave and the instances")
	seeds = flag.Int("seeds", 6, "with -table: number of seeds")
)

const (
	curveEngines   = 12
	curveInstances = 8
	curveWave      = 2
	curveWarm      = 10 * time.Second
	curveLarge     = 1.8 // size of a tenth of the requests, relative to the mean of their kind
)

// curve is what callers saw at one load.
type curve struct {
	window                     time.Duration // of all seeds
	list                       []*rigRequest
	preempted, rejected, bound int
}

// play runs a load, as a multiple of the capacity, once for each seed.
func play(load float64, isCurrent bool, seeds, leaving int, window time.Duration) (c curve) {
	leaving *= *size
	engines := curveEngines * *size
	full := newRig(1, 1, 1, false).capacity() * float64(engines)
	full *= 1 - float64(leaving)/float64(engines)*(rigStart+rigLeave).Seconds()/rigTurn.Seconds()
	rigs, lists := make([]*rig, seeds), make([][]*rigRequest, seeds)
	p := pool.New().WithMaxGoroutines(3)
	for i := range seeds {
		p.Go(func() {
			r := newRig(uint64(i+1), engines, curveInstances**size, isCurrent)
			r.leaving, r.fifo, r.room = leaving, *fifo, *room
			rigs[i] = r
			lists[i] = r.play(func(now time.Duration) float64 {
				if *surge && now%(12*time.Second) < 4*time.Second {
					return 2.6 * load * full
				}
				return load * full
			}, curveWarm, window)
		})
	}
	p.Wait()
	c.window, c.list = time.Duration(seeds)*window, slices.Concat(lists...)
	for _, r := range rigs {
		c.bound += r.bound
		for _, e := range r.engines {
			c.preempted += e.preempted
			c.rejected += e.rejected
		}
	}
	return c
}

// timely returns the requests per second that were served in time.
func (c *curve) timely() float64 {
	return float64(c.of("", 0).inTime) / c.window.Seconds()
}

func (c *curve) of(kind string, size float64) rigCount {
	return count(c.list, func(q *rigRequest) bool { return (kind == "" || q.kind.name == kind) && q.size >= size })
}

// served returns the share of the requests that were served, in time or late.
func (c rigCount) served() float64 { return float64(c.inTime+c.late) / float64(max(c.n, 1)) }

// TestTable prints the table of docs/design/admission.md. Usage:
//
//	go test ./process/admission -run Table -table -v
func TestTable(t *testing.T) {
	if !*table {
		t.Skip("needs -table")
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "decisions\tload\tin time/s\tworth/s\tlong: n\tin time\tlate\trefused\tfailed\tlargest served/all\tshort: n\tin time\tlate\trefused\tfailed\tlargest served/all\tpreempted\trejected\tbound")
	for _, isCurrent := range []bool{false, true} {
		for _, text := range strings.Split(*loads, ",") {
			load, err := strconv.ParseFloat(text, 64)
			require.NoError(t, err)
			c := play(load, isCurrent, *seeds, *wave, 36*time.Second)
			c.print(w, map[bool]string{false: "earlier", true: "new"}[isCurrent], text)
		}
	}
	require.NoError(t, w.Flush())
}

func (c *curve) print(w io.Writer, decisions, load string) {
	late := rigLateWorth * float64(c.of("", 0).late) / c.window.Seconds()
	fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f", decisions, load, c.timely(), c.timely()+late)
	for _, k := range []string{"long", "short"} {
		all := c.of(k, 0)
		p := func(n int) float64 { return 100 * float64(n) / float64(max(all.n, 1)) }
		fmt.Fprintf(w, "\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f", all.n, p(all.inTime), p(all.late), p(all.refused), p(all.failed),
			c.of(k, curveLarge).served()/all.served())
	}
	fmt.Fprintf(w, "\t%d\t%d\t%d\n", c.preempted, c.rejected, c.bound)
}

// Guards against an overload in which requests wait until they are worthless: past the
// capacity, fewer callers were served in time the more came, 9 a second at the capacity and
// 4 at three times it. Also against what was tried on the way: large requests that starve behind
// small ones, and short ones behind long ones.
func TestOverloadServesAsManyInTime(t *testing.T) {
	const (
		window = 20 * time.Second
		seeds  = 3
	)
	var capacity, before, c curve // -table shows the other loads
	var wg conc.WaitGroup
	wg.Go(func() { capacity = play(1, true, 1, curveWave, window) })
	wg.Go(func() { before = play(3, false, 1, curveWave, window) })
	wg.Go(func() { c = play(3, true, seeds, curveWave, window) })
	wg.Wait()
	t.Logf("%.1f a second in time, %.1f at the capacity, %.1f with the earlier decisions", c.timely(), capacity.timely(), before.timely())
	require.GreaterOrEqual(t, c.timely(), capacity.timely())
	require.Greater(t, c.timely(), before.timely())
	long, short := c.of("long", 0), c.of("short", 0)
	require.GreaterOrEqual(t, short.served(), long.served()-0.05, "the more urgent ones")
	for _, k := range []string{"long", "short"} {
		require.GreaterOrEqual(t, c.of(k, curveLarge).served(), c.of(k, 0).served()/2, "the largest tenth of the "+k)
	}
	for _, account := range rigAccountNames() {
		mine := count(c.list, func(q *rigRequest) bool { return q.account == account })
		require.GreaterOrEqual(t, mine.served(), c.of("", 0).served()/2, "account "+account)
	}
	require.Zero(t, c.of("", 0).failed*100/len(c.list), "in 100 that end at their deadline")
}

// Guards against decisions that differ from the earlier ones without an overload.
func TestNoDifferenceBelowTheCapacity(t *testing.T) {
	c := play(0.5, true, 1, 0, 10*time.Second)
	before := play(0.5, false, 1, 0, 10*time.Second)
	require.Equal(t, len(before.list), len(c.list))
	for i, q := range c.list {
		require.Equal(t, before.list[i].outcome, q.outcome)
		require.Equal(t, before.list[i].first, q.first)
	}
}
