package order

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
)

type (
	// view is all that a plan depends on.
	view struct {
		desired Desired
		report  engine.Report
		fence   int64
		now     time.Time
		asked   time.Time // when the report was asked for
		tenure  time.Time // when the token was first seen
		sent    sent
		r       *Reconciler
	}

	// plan is the next order to an endpoint, and what it waits for.
	plan struct {
		order   engine.Order
		send    bool
		settled bool
		waits   []string
	}
)

// plan compares the desired state with the observed one.
func (v *view) plan() plan {
	if v.report.Fence > v.fence {
		return plan{waits: []string{"a newer holder has sent orders"}}
	}
	p := plan{order: engine.Order{Fence: v.fence, Role: v.report.Role, Drain: v.desired.Drain}}
	want := v.wanted()
	idle := v.idle()
	v.role(&p, idle)
	v.models(&p, want, idle)
	differs := v.differs(p.order)
	p.settled = !differs && len(p.waits) == 0
	p.send = differs && v.due(&p)
	return p
}

// wanted gives the desired models in order, or those observed if none are
// desired.
func (v *view) wanted() []string {
	if len(v.desired.Models) == 0 {
		return sorted(v.report.Models)
	}
	return sorted(v.desired.Models)
}

// idle tells whether the endpoint gets no new work and has none.
func (v *view) idle() bool {
	return v.fresh() && v.report.Leaving && v.report.Running+v.report.Waiting == 0 && v.streams(v.report.Models) == 0
}

// fresh tells whether the report shows the effect of all earlier orders. A
// report may be Lag old, and an order takes effect up to OrderTimeout after it
// was sent unless it was answered, so a report soon after an order may show
// the state before it: an endpoint that was idle in its last drain, or a role
// that it no longer has.
func (v *view) fresh() bool {
	since := v.tenure
	if !v.desired.Fenced {
		since = since.Add(or(v.r.OrderTimeout, defaultOrderTimeout))
	}
	for _, t := range []time.Time{v.sent.at, v.sent.open} {
		if since.Before(t) {
			since = t
		}
	}
	return !v.asked.Before(since.Add(or(v.r.Lag, defaultLag)))
}

func (v *view) streams(models []string) int {
	if v.r.Streams == nil {
		return 0
	}
	n := 0
	for _, model := range models {
		n += v.r.Streams(v.desired.Endpoint, model)
	}
	return n
}

// role changes the role of an idle endpoint, and drains one that is not.
func (v *view) role(p *plan, idle bool) {
	if v.desired.Role == "" || v.desired.Role == v.report.Role {
		return
	}
	if idle {
		p.order.Role = v.desired.Role
		return
	}
	p.order.Drain = true
	p.waits = append(p.waits, "drain before role "+v.desired.Role)
}

// models unloads what may be unloaded. New models are loaded after that: an
// endpoint may lack the memory for the old and the new ones together.
func (v *view) models(p *plan, want []string, idle bool) {
	keep := sorted(v.report.Models)
	loading := v.loading()
	blocked := false
	for _, model := range without(append(slices.Clone(keep), loading...), want) {
		if why := v.blocked(model, idle, p); why != "" {
			p.waits = append(p.waits, why)
			blocked = true
		}
	}
	if !blocked {
		keep = intersect(keep, want)
	}
	keep = append(keep, intersect(loading, want)...)
	if !blocked {
		keep = v.load(p, keep, without(want, keep))
	}
	p.order.Models = sorted(keep)
}

// blocked says why a model cannot be unloaded now. Without Closed the whole
// endpoint is drained, since nothing else proves that no stream will start
// between the look and the unload.
func (v *view) blocked(model string, idle bool, p *plan) string {
	streams := v.streams([]string{model})
	closed := idle || !slices.Contains(v.report.Models, model) ||
		(v.r.Closed != nil && v.r.Closed(v.desired.Endpoint, model))
	switch {
	case streams == 0 && closed:
		return ""
	case v.r.Closed == nil:
		p.order.Drain = true
		return "drain before unloading model " + model
	case streams > 0:
		return fmt.Sprintf("%d streams of model %s", streams, model)
	default:
		return "entries still use model " + model
	}
}

// loading lists models that were ordered and are not reported yet.
func (v *view) loading() []string {
	if v.sent.boot != v.report.Boot {
		return nil
	}
	return without(v.sent.order.Models, v.report.Models)
}

// load adds those missing models for which the weight store has room.
func (v *view) load(p *plan, keep, missing []string) []string {
	for _, model := range missing {
		if !v.r.loads.take(v.desired.Endpoint, model, v.now, or(v.r.LoadTimeout, defaultLoadTimeout)) {
			p.waits = append(p.waits, "turn to load model "+model)
			continue
		}
		keep = append(keep, model)
	}
	return keep
}

// differs tells whether the observed state is another than the order. A
// successor's first order to a fenced endpoint raises its token even if
// nothing else differs, so that late orders of its predecessor are refused.
func (v *view) differs(o engine.Order) bool {
	return !slices.Equal(sorted(v.report.Models), o.Models) || v.report.Role != o.Role ||
		v.report.Leaving != o.Drain || (v.desired.Fenced && v.report.Fence < o.Fence)
}

// due tells whether the order may be sent now, and else what it waits for.
// Only a repetition can do without a fresh report.
func (v *view) due(p *plan) bool {
	first := v.sent.at.IsZero()
	same := !first && sameOrder(v.sent.order, p.order)
	switch {
	case same:
		if v.sent.answered && v.sent.boot == v.report.Boot && v.now.Before(v.sent.at.Add(v.patience(p.order))) {
			p.waits = append(p.waits, v.lacking(p.order)...)
			return false
		}
		return true
	case v.fresh():
		return true
	case first:
		p.waits = append(p.waits, "last order of the previous holder")
	default:
		p.waits = append(p.waits, "effect of the last order")
	}
	return false
}

// patience is the time that an accepted order has to take effect.
func (v *view) patience(o engine.Order) time.Duration {
	if len(without(o.Models, v.report.Models)) > 0 {
		return or(v.r.LoadTimeout, defaultLoadTimeout)
	}
	return or(v.r.Resend, defaultResend)
}

// lacking says which part of an accepted order has had no effect yet.
func (v *view) lacking(o engine.Order) []string {
	var parts []string
	if missing := without(o.Models, v.report.Models); len(missing) > 0 {
		parts = append(parts, "loading of model "+strings.Join(missing, ", "))
	}
	if left := without(v.report.Models, o.Models); len(left) > 0 {
		parts = append(parts, "unloading of model "+strings.Join(left, ", "))
	}
	switch {
	case o.Drain && !v.report.Leaving:
		parts = append(parts, "report of drain")
	case !o.Drain && v.report.Leaving:
		parts = append(parts, "endpoint that leaves by itself")
	}
	if len(parts) == 0 {
		parts = append(parts, "report of the order")
	}
	return parts
}

func sameOrder(a, b engine.Order) bool {
	return a.Fence == b.Fence && a.Role == b.Role && a.Drain == b.Drain && slices.Equal(a.Models, b.Models)
}

// sorted gives a sorted copy without duplicates.
func sorted(names []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(names)))
}

func without(names, out []string) []string {
	var rest []string
	for _, name := range names {
		if !slices.Contains(out, name) {
			rest = append(rest, name)
		}
	}
	return rest
}

func intersect(names, with []string) []string {
	var both []string
	for _, name := range names {
		if slices.Contains(with, name) {
			both = append(both, name)
		}
	}
	return both
}
