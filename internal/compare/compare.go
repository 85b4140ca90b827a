// Package compare simulates placement policies on model engines and compares
// their latency and throughput.
//
// For each load and seed, every policy gets the same arrival trace. Several
// entries independently choose engines from delayed load reports, and the
// engines run the work under a manual clock in one event loop. Requests that a
// policy does not place yet wait at their entry, ordered by rank and arrival. A
// request without a first token after 30 s is cancelled and refused, whether it
// waits at its entry or at an engine. Entries start with 2,000 observed output
// lengths, like entries that have been running for a while.
//
// The baseline policies place every request at once and leave queueing to the
// engines.
package compare

import (
	"fmt"
	"io"
	"maps"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc/pool"

	"github.com/eelgrassdock/eelgrassdock/process/placement"
	"github.com/eelgrassdock/eelgrassdock/standin/model"
)

type (
	// Options selects what is compared. Zero fields get the defaults given with
	// each field.
	Options struct {
		Loads    []Load              // default: the variable Loads
		Policies []placement.Policy  // default: all policies
		Weights  []placement.Weights // default: the zero Weights only
		Seeds    []uint64            // default: 1, 2, 3
		Engines  int                 // number of engines, at most 26; default: 20
		Engine   model.Config        // default: that of model.New, 100,000 tokens of memory
		Warm     time.Duration       // simulated time before the window; default: 150 s
		Window   time.Duration       // simulated time in which requests and tokens are counted; default: 60 s
		Workers  int                 // simulations that run concurrently; default: GOMAXPROCS
	}

	// Row is one line of the table. It combines the results of all seeds.
	Row struct {
		Load    string
		Policy  placement.Policy
		Weights placement.Weights
		// Stall is the time from arrival to first token and Gap the time between
		// two tokens, both in microseconds.
		Stall, Gap *hdrhistogram.Histogram
		Requests   int
		// Preempted is the number of preemptions per 1,000 requests.
		Preempted float64
		Refused   map[string]int // number of refused requests by reason
		Megabytes float64        // data moved between regions
		Goodput   float64        // tokens per second
		Memory    float64        // mean share of memory in use, in percent
	}
)

func (o *Options) setDefaults() {
	if len(o.Loads) == 0 {
		o.Loads = Loads
	}
	if len(o.Policies) == 0 {
		o.Policies = []placement.Policy{
			placement.Current, placement.Previous, placement.RoundRobin, placement.LeastConn, placement.TwoChoice,
		}
	}
	if len(o.Weights) == 0 {
		o.Weights = []placement.Weights{{}}
	}
	if len(o.Seeds) == 0 {
		o.Seeds = []uint64{1, 2, 3}
	}
	setDefault(&o.Engines, 20)
	setDefault(&o.Warm, 150*time.Second)
	setDefault(&o.Window, 60*time.Second)
	setDefault(&o.Workers, runtime.GOMAXPROCS(0))
	// The arrival rate is derived from the engine's configuration, so the
	// model's defaults must be filled in.
	o.Engine = model.New(o.Engine).Config
	o.Engine.Prefix = prefixLen
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Run compares the policies and writes the table of results to w.
func Run(w io.Writer, o Options) error {
	return Print(w, Measure(o))
}

// Measure runs all simulations and returns one row for each combination of
// load, policy and weights, in that order.
func Measure(o Options) []Row {
	o.setDefaults()
	var rows []Row
	var results [][]*result
	p := pool.New().WithMaxGoroutines(o.Workers)
	for _, l := range o.Loads {
		setDefault(&l.Entries, 7)
		traces := make([]func() []arrival, len(o.Seeds))
		for i, seed := range o.Seeds {
			traces[i] = sync.OnceValue(func() []arrival { return trace(l, &o, seed) })
		}
		for _, policy := range o.Policies {
			for _, weights := range o.Weights {
				list := make([]*result, len(o.Seeds))
				rows = append(rows, Row{Load: l.Name, Policy: policy, Weights: weights})
				results = append(results, list)
				for i, seed := range o.Seeds {
					p.Go(func() { list[i] = simulate(l, &o, policy, weights, seed, traces[i]()) })
				}
			}
		}
	}
	p.Wait()
	for i := range rows {
		rows[i].merge(results[i])
	}
	return rows
}

// merge sets the measured fields of r to the combined results of all seeds.
func (r *Row) merge(results []*result) {
	total := newResult()
	for _, one := range results {
		total.stall.Merge(one.stall)
		total.gap.Merge(one.gap)
		total.requests += one.requests
		total.preempted += one.preempted
		total.bytes += one.bytes
		total.tokens += one.tokens
		total.seconds += one.seconds
		total.used += one.used
		total.samples += one.samples
		for reason, n := range one.refused {
			total.refused[reason] += n
		}
	}
	r.Stall, r.Gap, r.Refused, r.Requests = total.stall, total.gap, total.refused, total.requests
	r.Preempted = 1000 * float64(total.preempted) / float64(max(total.requests, 1))
	r.Megabytes = float64(total.bytes) / 1e6
	r.Memory = 100 * total.used / float64(max(total.samples, 1))
	r.Goodput = float64(total.tokens) / total.seconds
}

// Print writes rows as a table. Times are in milliseconds.
func Print(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "load\tpolicy\tstall p50\tp95\tp99\tgap p50\tp95\tp99\tpreempt/1000\trefused\tMB far\ttokens/s\tmem %")
	for i, r := range rows {
		if i > 0 && r.Load != rows[i-1].Load {
			fmt.Fprintln(w)
		}
		policy := string(r.Policy)
		if r.Weights != (placement.Weights{}) {
			policy += fmt.Sprintf(" %g/%g/%g", r.Weights.Stall, r.Weights.Gap, r.Weights.Preempt)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.1f\t%s\t%.0f\t%.0f\t%.0f\n", r.Load, policy,
			quantiles(r.Stall), quantiles(r.Gap), r.Preempted, reasons(r.Refused), r.Megabytes, r.Goodput, r.Memory)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}

// ms returns quantile q, in percent, of a histogram in microseconds. The
// result is in milliseconds.
func ms(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }

func quantiles(h *hdrhistogram.Histogram) string {
	return fmt.Sprintf("%.0f\t%.0f\t%.0f", ms(h, 50), ms(h, 95), ms(h, 99))
}

// reasons formats the number of refused requests by reason.
func reasons(refused map[string]int) string {
	if len(refused) == 0 {
		return "-"
	}
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(refused)) {
		parts = append(parts, fmt.Sprintf("%s %d", reason, refused[reason]))
	}
	return strings.Join(parts, ", ")
}
