// Package order brings endpoints to their desired state.
//
// The holder of a lease is responsible for a set of endpoints. For each of them
// its Reconciler repeats: observe the endpoint, compare the report with the
// desired state, send one order if they differ, observe again. An order always
// contains the whole state, so it can be repeated, and a lost answer is
// harmless. At most one order is in flight to an endpoint. A different order is
// sent only after a report that must show the effect of the last one. Such a
// report was requested at least MaxReportAge after the last order was sent. If
// that order was not answered, it can still take effect until OrderTimeout after
// it was sent, so the report must be requested at least MaxReportAge after that.
//
// Work in flight is not interrupted. A model is unloaded after new work for it
// has stopped and its streams have ended; a role changes after the endpoint has
// been drained. Until then the order keeps the models and the role in use, and
// the status says what the endpoint waits for. Loads are limited, because all
// endpoints share the weight store.
//
// The holder compares the absolute deadline of the lease with its clock just
// before each order, and the request ends before the deadline. A holder that
// was paused therefore sends nothing when it resumes. An order that it sent
// just before the pause may still arrive. Fenced endpoints refuse such an order
// by its fencing token, which a successor raises with its first order; for the
// other endpoints a successor waits OrderTimeout longer before its first order.
package order

import (
	"context"
	"expvar"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
)

type (
	// Desired is the state that an endpoint should have.
	Desired struct {
		Endpoint string `json:"endpoint"`
		Addr     string `json:"addr"`
		Service  string `json:"service"`
		// Models should be loaded; none means that the loaded models stay.
		Models []string `json:"models,omitempty"`
		// Role is the desired role; "" means that the present role stays.
		Role  string `json:"role,omitempty"`
		Drain bool   `json:"drain,omitempty"`
		// Fenced means that the endpoint refuses an order with an old fencing token.
		Fenced bool `json:"fenced,omitempty"`
	}

	// Reconciler brings endpoints to their desired state while it holds the
	// lease. Its exported fields must be set before Run.
	Reconciler struct {
		// Lease returns the fencing token and the absolute deadline of the lease,
		// or false if it is not held. The token increases when the holder changes
		// and stays the same when the lease is renewed.
		Lease func(now time.Time) (fence int64, until time.Time, ok bool)
		// Desired returns the newest desired state of the endpoints of this lease.
		Desired func() []Desired
		// Observe reads an endpoint's report. It must return when ctx ends.
		Observe func(ctx context.Context, d Desired) (engine.Report, error)
		// Send sends an order. After an error, the order may have taken effect.
		Send func(ctx context.Context, d Desired, o engine.Order) error
		// Streams returns the number of known streams of a model on an endpoint. It
		// may be nil, since the endpoint reports its running work too.
		Streams func(endpoint, model string) int
		// Closed reports whether all entries have stopped sending new work for a
		// model to an endpoint. If nil, the endpoint is drained to unload a model,
		// and the model is unloaded once the endpoint is idle.
		Closed func(endpoint, model string) bool
		// Violation is called with the text of a violated invariant. It may be nil;
		// violations are also counted in the expvar map "order".
		Violation func(string)
		Now       func() time.Time
		Log       *logrus.Logger

		Margin          time.Duration // time before the lease's deadline at which orders end; 0 means 1 s
		OrderTimeout    time.Duration // after which an order can no longer take effect; 0 means 2 s
		ObserveTimeout  time.Duration // timeout of Observe; 0 means 1 s
		MaxReportAge    time.Duration // maximum age of a report; 0 means 1 s
		SettledInterval time.Duration // between visits to a settled endpoint; 0 means 10 s
		WaitingInterval time.Duration // between visits to an endpoint that waits; 0 means 1 s
		Resend          time.Duration // before an accepted order without effect is repeated; 0 means 15 s
		LoadTimeout     time.Duration // as Resend, for an order that loads models; 0 means 10 min
		Poll            time.Duration // between reads of Desired; 0 means 250 ms
		MaxLoads        int           // models loading at the same time; 0 means 8
		LoadsPerMinute  int           // model loads started per minute; 0 means 60

		fence      atomic.Int64 // highest token seen
		fenceSince atomic.Int64 // Unix time in ns at which it was first seen

		mu             sync.RWMutex // guards byID and list
		byID           map[string]*endpoint
		list           []*endpoint
		lastDesired    []Desired    // at the last sync; used by the loop only
		healthyVisits  atomic.Int64 // visits in progress to other endpoints than failing ones
		failingVisits  atomic.Int64 // visits in progress to failing endpoints
		visitsDeferred atomic.Bool  // an endpoint was due, but too many visits were in progress

		once       sync.Once
		wake       chan struct{}
		loads      loadLimiter
		newBackoff func() backoff.BackOff            // replaced in tests
		jitter     func(time.Duration) time.Duration // replaced in tests
	}

	// endpoint is the state of one endpoint. At most one visit at a time is in
	// progress; mu guards the fields, which the loop and Status use too.
	endpoint struct {
		mu        sync.Mutex
		desired   Desired
		visiting  bool
		gone      bool // no longer in Desired
		nextVisit time.Time
		interval  time.Duration // before nextVisit, without jitter
		failures  int
		backoff   backoff.BackOff
		sent      sentOrder
		status    Status
		lastFence atomic.Int64 // fencing token of the last order
	}

	// sentOrder is the last order to an endpoint under the current token. Until
	// effectUntil, an unanswered order can still take effect: this one or an
	// earlier one of the same content, since a different order is sent only after
	// that time.
	sentOrder struct {
		order       engine.Order
		at          time.Time
		effectUntil time.Time
		boot        string
		answered    bool
	}

	// Status is the state of the reconciliation of one endpoint.
	Status struct {
		Desired  Desired       `json:"desired"`
		Observed engine.Report `json:"observed"`
		Seen     time.Time     `json:"seen"` // time of the last report
		Sent     time.Time     `json:"sent"` // time of the last order
		// Settled means that the observed state equals the desired state.
		Settled  bool   `json:"settled"`
		Waits    string `json:"waits,omitempty"`
		Error    string `json:"error,omitempty"`
		Orders   int    `json:"orders"`
		Failures int    `json:"failures"` // consecutive
	}
)

const (
	defaultMargin          = time.Second // equal to the safety margin of the lease
	defaultOrderTimeout    = 2 * time.Second
	defaultObserveTimeout  = time.Second
	defaultMaxReportAge    = time.Second
	defaultSettledInterval = 10 * time.Second
	defaultWaitingInterval = time.Second
	defaultResend          = 15 * time.Second
	defaultLoadTimeout     = 10 * time.Minute
	defaultPoll            = 250 * time.Millisecond
	defaultLoads           = 8
	defaultLoadsPerMinute  = 60

	// Visits to failing endpoints have a separate limit. They last until their
	// timeout, and would otherwise delay the visits to healthy endpoints when a
	// whole place fails.
	maxHealthyVisits = 256
	maxFailingVisits = 64

	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 30 * time.Second
)

var counters = expvar.NewMap("order") // violations, orders, reports, errors

// Wake makes Run read Desired at once, for instance after a new configuration.
func (r *Reconciler) Wake() {
	r.init()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Status returns the status of the endpoints in the order of Desired. It is
// empty while the lease is not held, since the recorded state may then be out
// of date.
func (r *Reconciler) Status() []Status {
	if _, _, held := r.Lease(r.now()); !held {
		return nil
	}
	return r.statuses()
}

func (r *Reconciler) statuses() []Status {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]Status, len(r.list))
	for i, e := range r.list {
		e.mu.Lock()
		out[i] = e.status
		out[i].Desired = e.desired
		e.mu.Unlock()
	}
	return out
}

// Unsettled returns those of the given endpoints that are in Desired and are
// not settled in their newest desired state. While the lease is not held, the
// state is unknown and all of them count as unsettled. The comparison is with
// Desired and not with the state last ordered, so that a configuration that has
// just been installed counts at once.
func (r *Reconciler) Unsettled(endpoints []string) []string {
	settled := map[string]Desired{}
	for _, s := range r.Status() {
		if s.Settled {
			settled[s.Desired.Endpoint] = s.Desired
		}
	}
	var names []string
	for _, d := range r.Desired() {
		if slices.Contains(endpoints, d.Endpoint) && !d.equal(settled[d.Endpoint]) {
			names = append(names, d.Endpoint)
		}
	}
	return names
}

func (r *Reconciler) init() {
	r.once.Do(func() {
		r.wake = make(chan struct{}, 1)
		r.byID = map[string]*endpoint{}
		r.loads.init(orDefault(r.MaxLoads, defaultLoads), orDefault(r.LoadsPerMinute, defaultLoadsPerMinute))
		if r.newBackoff == nil {
			r.newBackoff = exponentialBackoff
		}
		if r.jitter == nil {
			r.jitter = jitter
		}
	})
}

func exponentialBackoff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.Multiplier = minRetryDelay, maxRetryDelay, 2
	return b
}

func (r *Reconciler) now() time.Time {
	if r.Now == nil {
		return time.Now()
	}
	return r.Now()
}

func (r *Reconciler) reportViolation(text string) {
	counters.Add("violations", 1)
	if r.Log != nil {
		r.Log.WithField("invariant", text).Error("order invariant violated")
	}
	if r.Violation != nil {
		r.Violation(text)
	}
}

// orDefault returns v, or def if v is zero.
func orDefault[N int | time.Duration](v, def N) N {
	if v == 0 {
		return def
	}
	return v
}

// equal reports whether two desired states are equal.
func (d Desired) equal(other Desired) bool {
	return d.Endpoint == other.Endpoint && d.Addr == other.Addr && d.Service == other.Service &&
		d.Role == other.Role && d.Drain == other.Drain && d.Fenced == other.Fenced &&
		slices.Equal(d.Models, other.Models)
}
