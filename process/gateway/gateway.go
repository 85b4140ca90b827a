// Package gateway serves requests of callers: it finds the route in the
// operators' routing table, identifies the account, chooses an endpoint, and
// passes the answer on.
//
// The functions in Backend define what is sent to an endpoint and how its
// answers are parsed; this package decides where and when to send. A plain
// answer is buffered, up to 1 MiB, before any of it is passed on, so that a
// broken answer can be replaced by that of another attempt if the request is
// repeatable. The events of a stream are passed on one by one, each only when
// it is complete. A stream that ends early continues at another endpoint if the
// memory of its generation was moved or copied there, or if its route allows
// the request to run again from the last event.
//
// Errors carry the outcome of the request (package refusal). The outcome is
// NotRun only if no endpoint received any part of the request, or if each
// endpoint that received some has reported that it did not run the request.
package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/connection/intake"
	"github.com/eelgrassdock/eelgrassdock/connection/peer"
	"github.com/eelgrassdock/eelgrassdock/process/delta"
	"github.com/eelgrassdock/eelgrassdock/process/length"
	"github.com/eelgrassdock/eelgrassdock/process/loads"
	"github.com/eelgrassdock/eelgrassdock/process/logging"
	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/mirror"
	"github.com/eelgrassdock/eelgrassdock/process/quarantine"
	"github.com/eelgrassdock/eelgrassdock/process/ratelimit"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/process/stall"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/version/routing"
)

type (
	// Request is one request of a caller.
	Request struct {
		ID       string
		Method   string
		Host     string
		Path     string // without the query
		Target   string // path and query as received
		Header   http.Header
		Body     []byte
		Key      string // API key of the client account
		Arrived  time.Time
		Deadline time.Time // zero if the caller set none
		Prompt   int       // length in tokens, 0 if not stated
		Max      int       // maximum number of tokens to produce, 0 if not stated
		After    string    // ID of the last event that the caller has received
		Parts    []string  // IDs of the last quarantine.MaxLookup parts of the prompt; the last belongs to the request or its session
		First    []Part    // the first placement.MaxParts parts of the prompt
	}

	// Part is a part of a prompt.
	Part struct {
		ID     string
		Tokens int
	}

	// Call is one attempt to send a request to one endpoint.
	Call struct {
		*Request
		Endpoint roster.Endpoint
		Account  string
		Deadline time.Time
		Since    time.Time // a kept connection must have been used after this time
		Rank     int
		Stream   bool
		After    string // ID of the event after which the stream continues
		Memory   string // memory to continue from, as returned by Backend.Handle
		Sent     func() // called when the request has been written; may be nil
		// Closed reports whether the endpoint is closed by now, and is called right before
		// the request is written. Send then fails with ErrClosed. It may be nil.
		Closed func() bool
	}

	// Signals is what an endpoint says about itself in any of its answers.
	Signals struct {
		Leaving bool // it will leave
		// RetryAt is the time before which an endpoint that turned a request away
		// accepts none from this instance, zero if it names none. InvalidRetry is
		// what it names instead if that is not a time.
		RetryAt      time.Time
		InvalidRetry string
		// ColdUntil is until when the endpoint is cold, zero if it does not say so.
		ColdUntil time.Time
	}

	// Answer is an endpoint's answer. Its Close function must be called.
	Answer struct {
		Signals
		Status        int
		Header        http.Header // without the headers of the connection
		Body          io.Reader
		Length        int64         // length of the body, -1 if not stated
		NotRun        bool          // the endpoint reports that it did not run the request
		AddressReused bool          // another endpoint now has the address
		Connect       time.Duration // time to open a new connection, 0 for a kept one
		// Limit is the rate in requests per second that the endpoint accepts from
		// all instances together, nil if the answer names none. InvalidLimit is
		// what it names instead if that is not a rate.
		Limit        *float64
		InvalidLimit string
		// Follow makes the end of ctx break off the body, in place of the end of
		// the context that Send was given.
		Follow func(ctx context.Context)
		// Close releases the connection. The argument whole reports whether the
		// body was read to its end.
		Close func(whole bool)
	}

	// Report is the state that an engine reports about itself.
	Report struct {
		Signals
		Born int64 // start of its process in Unix milliseconds, 0 if it does not say
	}

	// Move is a request to copy a running generation's memory to another
	// engine.
	Move struct {
		Run  string // ID of the request
		From roster.Endpoint
		To   roster.Endpoint
		Last bool // the engine stops the run first and closes its stream
	}

	// Moved is the answer to a Move.
	Moved struct {
		Signals
		Handle string // may be empty if Failed is set, unless the run was stopped
		Events int    // number of events produced when the copy was complete
		Failed bool   // the other engine has no room or cannot be reached
	}

	// Backend holds the functions that communicate with endpoints. All fields
	// must be set.
	Backend struct {
		// Send sends a call and reads the status and headers of its answer. The
		// context must end no later than the deadline of the call. An error is a
		// *refusal.Error. Send and the body of its answer must fail within seconds
		// after the endpoint's process has ended, also if its host did not close the
		// connection then, as with TCP keep-alive probes: nothing else ends a call to
		// an endpoint that refuses connections.
		Send func(ctx context.Context, c Call) (*Answer, error)
		// The control calls Report, Move and Free return the signals of an answer
		// also if that is an error.
		//
		// Report requests an engine's state. The error of an engine to which no
		// connection can be opened is marked ErrUnreachable, and also ErrRefused if
		// its host refused the connection.
		Report func(ctx context.Context, e roster.Endpoint) (Report, error)
		// Move copies a generation's memory. Its error is marked ErrNoRun if the engine
		// does not run the request, ErrMoveBusy if it makes another copy of the run, and
		// ErrUnreachable like that of Report. Free releases a copy, which is
		// identified by the engine it was made from and its handle.
		Move func(ctx context.Context, m Move) (Moved, error)
		Free func(ctx context.Context, from roster.Endpoint, handle string) (Signals, error)
		// Handle returns the value for Call.Memory that identifies a copy made by
		// Move: e is the engine it was made from and handle is Moved.Handle.
		Handle func(e roster.Endpoint, handle string) string
		// CloseConnections closes the kept connections to an address.
		CloseConnections func(addr string)
		// Warm opens a connection to an address that will be used soon.
		Warm func(ctx context.Context, addr string)
	}

	// Gateway serves the requests of one instance. Exported fields are set
	// before Start.
	Gateway struct {
		Settings Settings
		Backend  Backend
		Log      *logrus.Logger
		// Decode parses a stored routing table.
		Decode func(data []byte) (*routing.Table, error)
		// Register writes an instance's row in the store, with fresh only if it
		// has none. Deregister deletes the row if it still has the given
		// version. The error is marked ErrConflict if the condition does not
		// hold.
		Register   func(ctx context.Context, key string, value []byte, fresh bool) error
		Deregister func(ctx context.Context, key string, version int64) error
		// Registered reads the rows of all instances from the store.
		Registered func(ctx context.Context) (mirror.Page, error)
		// Trim closes connections that were idle for too long. It may be nil.
		Trim func()
		// Stalls measures for how long this process has run. Limits on how long an
		// endpoint may take count that time only. It may be nil.
		Stalls *stall.Meter
		// Budget bounds the memory of answers that are buffered and of calls of other
		// instances; nil means no bound.
		Budget *intake.Budget
		// Busy returns the number of connections on which a request is being
		// received or answered. If it is nil, Stop waits only for requests that
		// are in Serve.
		Busy func() int

		Tables        routing.Keeper
		Roster        roster.Roster
		evacuation    evacuation
		lengths       length.Learner
		enginePools   sync.Map // service ID to *enginePool
		pools         sync.Map // service ID to *pool
		runs          runRegistry
		calls         callRegistry
		sampler       logging.Sampler
		board         loads.Board
		exchange      loads.Exchange
		exchanging    atomic.Pointer[peerCache]
		relayNeeded   chan struct{}     // signals that another instance uses this one as its relay
		notices       chan loads.Notice // findings to send to other instances
		loadChanged   chan struct{}     // signals that this instance's load has changed
		quarantine    quarantine.Register
		unconfirmed   quarantine.Unconfirmed[crash]
		updatesUnsent chan struct{} // signals that there are updates for the other instances
		limits        ratelimit.Limiter
		cold          coldRegister
		times         requestTimes
		feeds         map[string]*feed // by table
		configuration string           // table of the routing table
		// tableFaults and instanceFaults limit the lines about rows that cannot be
		// decoded: routing tables by source, and the rows of instances.
		tableFaults, instanceFaults logging.Faults

		id           string
		stored       atomic.Pointer[storedTable]
		members      *member.Node
		listMembers  func() []member.Member // live instances; nil before Start
		memberStatus func(id string) member.Status
		peers        peer.Pool
		documents    delta.Cache // large rows, of all tables
		stopping     atomic.Pointer[stopping]
		departures   departures
		reloaded     atomic.Pointer[Settings] // settings after a reload, nil before
		storeEra     atomic.Int64             // latest era of the store in which this instance has written its row again

		begun         time.Time     // start of this instance
		readyAfter    atomic.Int64  // ms from then until it could serve requests; 0 before
		registerTried chan struct{} // closed when the first attempt to write the row of this instance has ended
		nearRows      atomic.Int64  // 1 + number of rows of instances of the region; 0 until they are read
		registerOnce  sync.Once

		fetching     atomic.Bool               // a routing table is being fetched from a peer
		memberLogDue atomic.Bool               // a log line about the live instances is scheduled
		memberCount  atomic.Int64              // live instances in the latest of these lines
		active       atomic.Int64              // number of running requests
		installed    atomic.Pointer[time.Time] // when the routing table in force was installed
		requests     context.Context           // ends when the running requests must end; nil before Start
		endRequests  context.CancelFunc
		base         context.Context
		cancel       context.CancelFunc
		waits        context.Context // ends when this instance begins to stop; requests then wait no longer than waitContext allows
		endWaits     context.CancelFunc
	}

	// storedTable is the encoded routing table in force, as it is in the store.
	storedTable struct {
		version int64
		data    []byte
	}

	// job is an admitted request with its route, account, service and deadline.
	job struct {
		*Request
		w        http.ResponseWriter
		route    *routing.Route
		table    *routing.Table
		account  string
		service  string
		deadline time.Time // for the complete answer
		rank     int
		regions  routing.Regions // in which it may be served, under the table of its admission; nil allows all
		answers  *intake.Account // of what is buffered of answers
		identity uint64          // the same each time the request is sent; see quarantine.Identity
		// answering is set when a part of the answer of a generation is passed on.
		answering atomic.Bool
	}
)

// Serve answers one request. An error is a *CutError or a *refusal.Error; in the
// latter case nothing was written to w.
func (g *Gateway) Serve(ctx context.Context, w http.ResponseWriter, r *Request) error {
	g.sampler.Arrived()
	g.active.Add(1)
	defer g.active.Add(-1)
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	if g.requests != nil {
		defer context.AfterFunc(g.requests, func() { end(errStopped) })()
	}
	g.awaitStart(ctx, r.Deadline)
	j, err := g.admit(w, r)
	if err != nil {
		return err
	}
	defer j.answers.Release()
	if f := g.checkRegions(j); f != nil {
		return f
	}
	// A caller that does not read its answer would block the request beyond its
	// deadline. Not all writers support this, but that of net/http does.
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(j.deadline.Add(writeReserve))
	ctx, cancel := g.Stalls.WithDeadline(ctx, j.deadline, func() { _ = control.SetWriteDeadline(time.Now().Add(writeReserve)) })
	defer cancel()
	if s := j.table.Service(j.service); s != nil && s.Engine != nil {
		return nameCause(ctx, g.generate(ctx, j, s))
	}
	begun := time.Now()
	err = g.call(ctx, j)
	g.recordCall(ctx, j, begun, err)
	return nameCause(ctx, err)
}

// InstalledAt returns the time at which the routing table in force was installed,
// or zero before the first one.
func (g *Gateway) InstalledAt() time.Time {
	if at := g.installed.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// ReceiveBy returns the time by which the body of a request must have been received:
// its deadline under the routing table in force.
func (g *Gateway) ReceiveBy(r *Request) time.Time {
	var route *routing.Route
	if t := g.Tables.Current(); t != nil {
		route = t.Route(r.Host, r.Path)
	}
	return r.deadlineOn(route)
}

// deadlineOn returns the time by which a request on a route must be answered. The
// route may be nil.
func (r *Request) deadlineOn(route *routing.Route) time.Time {
	deadline := r.Deadline
	if route != nil && route.Timeout > 0 {
		if at := r.Arrived.Add(route.Timeout); deadline.IsZero() || at.Before(deadline) {
			deadline = at
		}
	}
	if deadline.IsZero() {
		deadline = r.Arrived.Add(defaultDeadline)
	}
	return deadline
}

// awaitStart delays requests that arrive right after the start of the process
// until it has read a routing table and the list of endpoints, for at most
// startupWait, and not beyond a deadline unless that is zero.
func (g *Gateway) awaitStart(ctx context.Context, deadline time.Time) {
	var limit *time.Timer
	for _, ready := range []<-chan struct{}{g.Tables.Ready(), g.Roster.Ready()} {
		select {
		case <-ready:
			continue
		default:
		}
		if limit == nil {
			wait := startupWait
			if !deadline.IsZero() {
				wait = min(wait, time.Until(deadline))
			}
			limit = time.NewTimer(wait)
			defer limit.Stop()
		}
		select {
		case <-ready:
		case <-ctx.Done():
			return
		case <-limit.C:
			return
		}
	}
}

// admit determines the route, account, service and deadline of a request. An
// error is a *refusal.Error with outcome NotRun.
func (g *Gateway) admit(w http.ResponseWriter, r *Request) (*job, error) {
	t := g.Tables.Current()
	if t == nil {
		f := refusal.New(refusal.Store, refusal.NotRun, "no routing table is known yet")
		f.RetryAt = retryTime(time.Now())
		return nil, f
	}
	j := &job{Request: r, w: w, table: t, route: t.Route(r.Host, r.Path), answers: &intake.Account{Budget: g.Budget}}
	if j.route == nil {
		return nil, refusal.New(refusal.NoService, refusal.NotRun, "no route for "+r.Host+r.Path)
	}
	j.rank, j.regions = j.route.Rank, j.route.Regions
	if a := t.Account(r.Key); a != nil {
		j.account = a.Name
		j.regions = j.regions.Intersect(a.Regions)
		if a.Rank != nil {
			j.rank = *a.Rank
		}
	} else if t.NeedsKey(j.route) {
		return nil, refusal.New(refusal.BadKey, refusal.NotRun, "key of the client account is not known")
	}
	if limit := t.Limits.BodyBytes; limit > 0 && int64(len(r.Body)) > limit {
		return nil, refusal.New(refusal.TooLarge, refusal.NotRun, "body is larger than the limit")
	}
	j.identity = quarantine.Identity(r.Body, r.Method, r.Host, r.Target, j.account)
	j.service = j.route.Pick(rand.Float64())
	j.deadline = r.deadlineOn(j.route)
	if !time.Now().Before(j.deadline) {
		return nil, refusal.New(refusal.Deadline, refusal.NotRun, "the deadline has passed")
	}
	return j, nil
}
