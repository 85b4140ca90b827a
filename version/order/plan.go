package order

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
)

type (
	// view is the input of a plan.
	view struct {
		desired     Desired
		report      engine.Report
		fence       int64
		now         time.Time
		requestedAt time.Time // when the report was requested
		fenceSince  time.Time // when the fencing token was first seen
		sent        sentOrder
		r           *Reconciler
	}

	// plan is the next order to an endpoint, and the conditions that the endpoint
	// waits for.
	plan struct {
		order   engine.Order
		send    bool
		settled bool
		waits   []string
	}
)

// plan returns the order that brings the endpoint as close to the desired state
// as is possible now.
func (v *view) plan() plan {
	if v.report.Fence > v.fence {
		return plan{waits: []string{"a newer holder has sent orders"}}
	}
	p := plan{order: engine.Order{Fence: v.fence, Role: v.report.Role, Drain: v.desired.Drain}}
	want := v.desiredModels()
	idle := v.idle()
	v.planRole(&p, idle)
	v.planModels(&p, want, idle)
	differs := v.differs(p.order)
	p.settled = !differs && len(p.waits) == 0
	p.send = differs && v.maySend(&p)
	return p
}

// desiredModels returns the desired models, sorted, or the observed ones if
// none are desired.
func (v *view) desiredModels() []string {
	if len(v.desired.Models) == 0 {
		return sorted(v.report.Models)
	}
	return sorted(v.desired.Models)
}

// idle reports whether the endpoint gets no new work and has no work left.
func (v *view) idle() bool {
	return v.fresh() && v.report.Leaving && v.report.Running+v.report.Waiting == 0 && v.streams(v.report.Models) == 0
}

// fresh reports whether the report must show the effect of all earlier orders,
// for an endpoint that is not fenced including those of the previous holder. A
// report may be up to MaxReportAge old, and an unanswered order takes effect up
// to OrderTimeout after it was sent. A report that is requested sooner may
// therefore show the state before the order. For example, an endpoint is drained
// and idle, the next order ends the drain, and a report from before that order
// still shows the endpoint as idle although it may have work again. After a
// change of role, such a report still shows the previous role.
func (v *view) fresh() bool {
	since := v.fenceSince
	if !v.desired.Fenced {
		since = since.Add(orDefault(v.r.OrderTimeout, defaultOrderTimeout))
	}
	for _, t := range []time.Time{v.sent.at, v.sent.effectUntil} {
		if since.Before(t) {
			since = t
		}
	}
	return !v.requestedAt.Before(since.Add(orDefault(v.r.MaxReportAge, defaultMaxReportAge)))
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

// planRole orders the desired role for an idle endpoint, and a drain for one
// that is not idle.
func (v *view) planRole(p *plan, idle bool) {
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

// planModels unloads models that are not desired. Missing models are loaded
// only after that, because an endpoint may lack the memory for both.
func (v *view) planModels(p *plan, want []string, idle bool) {
	keep := sorted(v.report.Models)
	loading := v.loadingModels()
	blocked := false
	for _, model := range without(append(slices.Clone(keep), loading...), want) {
		if reason := v.unloadBlocker(model, idle, p); reason != "" {
			p.waits = append(p.waits, reason)
			blocked = true
		}
	}
	if !blocked {
		keep = intersect(keep, want)
	}
	keep = append(keep, intersect(loading, want)...)
	if !blocked {
		keep = v.admitLoads(p, keep, without(want, keep))
	}
	p.order.Models = sorted(keep)
}

// unloadBlocker returns the reason why a model cannot be unloaded now, or "" if
// it can. Without Closed it orders a drain of the whole endpoint, since nothing
// else guarantees that no stream starts between the observation and the unload.
func (v *view) unloadBlocker(model string, idle bool, p *plan) string {
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

// loadingModels returns the models that were ordered and are not reported as
// loaded yet.
func (v *view) loadingModels() []string {
	if v.sent.boot != v.report.Boot {
		return nil
	}
	return without(v.sent.order.Models, v.report.Models)
}

// admitLoads returns keep and those of the missing models that the load limiter
// admits. For the others it adds a wait to the plan.
func (v *view) admitLoads(p *plan, keep, missing []string) []string {
	for _, model := range missing {
		if !v.r.loads.acquire(v.desired.Endpoint, model, v.now, orDefault(v.r.LoadTimeout, defaultLoadTimeout)) {
			p.waits = append(p.waits, "turn to load model "+model)
			continue
		}
		keep = append(keep, model)
	}
	return keep
}

// differs reports whether the observed state differs from the order. For a
// fenced endpoint an old token counts as a difference: a successor's first
// order raises the token even if nothing else changes, so that late orders of
// its predecessor are refused.
func (v *view) differs(o engine.Order) bool {
	return !slices.Equal(sorted(v.report.Models), o.Models) || v.report.Role != o.Role ||
		v.report.Leaving != o.Drain || (v.desired.Fenced && v.report.Fence < o.Fence)
}

// maySend reports whether the order may be sent now; if not, it adds to p.waits
// what the order waits for. A repetition of the last order needs no fresh
// report.
func (v *view) maySend(p *plan) bool {
	first := v.sent.at.IsZero()
	same := !first && sameOrder(v.sent.order, p.order)
	switch {
	case same:
		if v.sent.answered && v.sent.boot == v.report.Boot && v.now.Before(v.sent.at.Add(v.effectTimeout(p.order))) {
			p.waits = append(p.waits, v.missingEffects(p.order)...)
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

// effectTimeout returns the time after which an accepted order is sent again.
func (v *view) effectTimeout(o engine.Order) time.Duration {
	if len(without(o.Models, v.report.Models)) > 0 {
		return orDefault(v.r.LoadTimeout, defaultLoadTimeout)
	}
	return orDefault(v.r.Resend, defaultResend)
}

// missingEffects describes the parts of an accepted order that have had no
// effect yet.
func (v *view) missingEffects(o engine.Order) []string {
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

// sorted returns a sorted copy without duplicates.
func sorted(names []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(names)))
}

func without(names, excluded []string) []string {
	var rest []string
	for _, name := range names {
		if !slices.Contains(excluded, name) {
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
