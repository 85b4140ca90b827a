// Package gateway serves requests that callers address to routes of the
// operators' routing table: it finds the route and the account, chooses an
// endpoint, and passes the answer on.
//
// What is sent to an endpoint and how its answers look is left to the fields of
// Backend; package gateway decides. A plain answer is read whole before any of
// it is passed on, so that one that breaks off can be replaced where the
// request may run again. The events of a stream are passed on one by one, each
// only when it is whole, and a stream that ends early goes on at another
// endpoint if its generation was moved or copied there, or if its route allows
// it to be run again from the last event.
//
// An error says what is known of the request (package refusal). NotRun is
// given only if no endpoint has got any of it, or each one that did has said
// that it did not run it.
package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/connection/peer"
	"github.com/eelgrassdock/eelgrassdock/process/length"
	"github.com/eelgrassdock/eelgrassdock/process/loads"
	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/mirror"
	"github.com/eelgrassdock/eelgrassdock/process/record"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/version/routing"
)

// ErrCut says that an answer broke off after a part of it was passed on. The
// connection to the caller must end without the answer's end.
var ErrCut = errors.New("answer broke off")

type (
	// Request is one request of a caller.
	Request struct {
		ID       string
		Method   string
		Host     string
		Path     string // without the query
		Target   string // path and query as they were sent
		Header   http.Header
		Body     []byte
		Key      string // of the client account
		Arrived  time.Time
		Deadline time.Time // zero if the caller named none
		Prompt   int       // tokens, 0 if not stated
		Max      int       // most tokens to produce, 0 if not stated
		After    string    // the last event that the caller has
	}

	// Call is one attempt of a request at one endpoint.
	Call struct {
		*Request
		Endpoint roster.Endpoint
		Account  string
		Deadline time.Time
		Since    time.Time // a kept connection must have been in use since then
		Rank     int
		Stream   bool
		Backup   string // address of the endpoint that gets a copy of the memory
		After    string // the stream goes on after this event
		From     string // memory to go on from
	}

	// Answer is an endpoint's answer. Close must be called.
	Answer struct {
		Status    int
		Header    http.Header // of the answer itself, not of the connection
		Body      io.Reader
		Length    int64         // of the body, -1 if not stated
		NotRun    bool          // the endpoint says that it did not run the request
		Elsewhere bool          // another endpoint has the address
		Connect   time.Duration // that a new connection took, 0 for a kept one
		// Close releases the connection; whole says that the body was read to its end.
		Close func(whole bool)
	}

	// Report is what an engine says of itself.
	Report struct {
		Leaving bool
	}

	// Move asks for a copy of a running generation's memory.
	Move struct {
		Run  string // ID of the request
		From roster.Endpoint
		To   roster.Endpoint
	}

	// Moved is the answer to a Move.
	Moved struct {
		Handle string
		Events int  // produced when the copy was complete
		Failed bool // there is no room, or the other engine cannot be reached
	}

	// Backend speaks to endpoints. All fields must be set.
	Backend struct {
		// Send sends a call and reads the head of its answer. An error is a
		// *refusal.Error.
		Send func(ctx context.Context, c Call) (*Answer, error)
		// Report asks an engine whether it leaves.
		Report func(ctx context.Context, e roster.Endpoint) (Report, error)
		// Move copies a generation's memory; Free gives up a copy, named by the
		// engine it came from.
		Move func(ctx context.Context, m Move) (Moved, error)
		Free func(ctx context.Context, from roster.Endpoint, handle string) error
		// Handle names memory at an engine in the form of Call.From.
		Handle func(e roster.Endpoint, handle string) string
		// Forget closes the kept connections to an address.
		Forget func(addr string)
		// Warm opens a connection to an address that will be used soon.
		Warm func(ctx context.Context, addr string)
	}

	// Gateway serves the requests of one instance. Exported fields are set
	// before Start.
	Gateway struct {
		Settings Settings
		Backend  Backend
		Log      *logrus.Logger
		// Decode reads a stored routing table.
		Decode func(data []byte) (*routing.Table, error)
		// Register writes the row of an instance among the instances in the store;
		// with fresh, only if there is none. Deregister deletes it if it still has
		// the version. Errors of a condition that did not hold are marked ErrConflict.
		Register   func(ctx context.Context, key string, value []byte, fresh bool) error
		Deregister func(ctx context.Context, key string, version int64) error
		// Registered reads the rows of all instances.
		Registered func(ctx context.Context) ([]mirror.Row, error)
		// Trim closes connections that were idle for too long; may be nil.
		Trim func()

		Tables  routing.Keeper
		Roster  roster.Roster
		lengths length.Learner
		desks   sync.Map // service ID to *desk
		pools   sync.Map // service ID to *pool
		runs    registry
		sampler record.Sampler
		board   loads.Board
		news    chan loads.Notice  // for other instances
		dirty   chan struct{}    // the own load has changed
		feeds   map[string]*feed // by table

		id       string
		stored   atomic.Pointer[storedTable]
		members  *member.Node
		peers    peer.Pool
		stopping atomic.Pointer[stopping]
		changing atomic.Pointer[Settings] // in force after a reload
		fetching atomic.Bool              // a routing table is being read from a peer
		telling  atomic.Bool              // a line about the live instances is due
		active   atomic.Int64             // requests in work
		base     context.Context
		cancel   context.CancelFunc
	}

	// storedTable is the table in force as the store holds it.
	storedTable struct {
		version int64
		data    []byte
	}

	// job is a request with what was found out about it.
	job struct {
		*Request
		w        http.ResponseWriter
		route    *routing.Route
		table    *routing.Table
		account  string
		service  string
		deadline time.Time // for the final answer
		rank     int
	}
)

// Serve answers one request. An error other than ErrCut is a *refusal.Error,
// and nothing was written to w then.
func (g *Gateway) Serve(ctx context.Context, w http.ResponseWriter, r *Request) error {
	g.sampler.Arrived()
	g.active.Add(1)
	defer g.active.Add(-1)
	g.awaitStart(ctx)
	j, err := g.admit(w, r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	if s := j.table.Service(j.service); s != nil && s.Engine != nil {
		return g.generate(ctx, j, s)
	}
	return g.call(ctx, j)
}

// awaitStart holds the requests that come in the first moments of a process
// until it has read a routing table and the list of endpoints.
func (g *Gateway) awaitStart(ctx context.Context) {
	var limit *time.Timer
	for _, ready := range []<-chan struct{}{g.Tables.Ready(), g.Roster.Ready()} {
		select {
		case <-ready:
			continue
		default:
		}
		if limit == nil {
			limit = time.NewTimer(startHold)
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

// admit finds route, account and deadline.
func (g *Gateway) admit(w http.ResponseWriter, r *Request) (*job, error) {
	t := g.Tables.Current()
	if t == nil {
		f := refusal.New(refusal.Store, refusal.NotRun, "no routing table is known yet")
		f.RetryAt = comeBackAt(time.Now())
		return nil, f
	}
	j := &job{Request: r, w: w, table: t, route: t.Route(r.Host, r.Path)}
	if j.route == nil {
		return nil, refusal.New(refusal.NoService, refusal.NotRun, "no route for "+r.Host+r.Path)
	}
	j.rank = j.route.Rank
	if a := t.Account(r.Key); a != nil {
		j.account = a.Name
		if a.Rank != nil {
			j.rank = *a.Rank
		}
	} else if !j.route.Open && len(t.Accounts) > 0 {
		return nil, refusal.New(refusal.BadKey, refusal.NotRun, "key of the client account is not known")
	}
	if limit := t.Limits.BodyBytes; limit > 0 && int64(len(r.Body)) > limit {
		return nil, refusal.New(refusal.TooLarge, refusal.NotRun, "body is larger than the limit")
	}
	j.service = j.route.Pick(rand.Float64())
	j.deadline = r.Deadline
	if limit := j.route.Timeout; limit > 0 {
		if at := r.Arrived.Add(limit); j.deadline.IsZero() || at.Before(j.deadline) {
			j.deadline = at
		}
	}
	if j.deadline.IsZero() {
		j.deadline = r.Arrived.Add(defaultDeadline)
	}
	if !time.Now().Before(j.deadline) {
		return nil, refusal.New(refusal.Deadline, refusal.NotRun, "the deadline has passed")
	}
	return j, nil
}
