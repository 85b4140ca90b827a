// Package entry implements the entry process, which accepts requests from
// callers over HTTP and forwards them to endpoints.
//
// An entry holds no state that must survive it. A generation runs in its
// engine, and the caller can continue to read it through any entry with the
// resume token. The configuration, the leases and the durable claims are
// stored in the platform. All other state is rebuilt after a start.
//
// Entries find each other through a membership protocol over UDP, and call
// each other with net/rpc. Each account, shard of claims and part of the
// endpoints has one owner among the live entries, chosen by rendezvous hashing
// (package locate).
//
// An entry stops in two steps. First it disappears from the locate answers,
// which list the entries that callers may use. It continues to serve until the
// answers that name it have expired and the requests in flight have ended.
package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/eelgrassdock/eelgrassdock/connection/intake"
	"github.com/eelgrassdock/eelgrassdock/connection/peer"
	"github.com/eelgrassdock/eelgrassdock/internal/background"
	"github.com/eelgrassdock/eelgrassdock/process/lease"
	"github.com/eelgrassdock/eelgrassdock/process/length"
	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/operator"
	"github.com/eelgrassdock/eelgrassdock/process/pace"
	"github.com/eelgrassdock/eelgrassdock/process/platform"
	"github.com/eelgrassdock/eelgrassdock/process/quarantine"
	"github.com/eelgrassdock/eelgrassdock/process/share"
	"github.com/eelgrassdock/eelgrassdock/process/stall"
	"github.com/eelgrassdock/eelgrassdock/request/claim"
	"github.com/eelgrassdock/eelgrassdock/version/config"
	"github.com/eelgrassdock/eelgrassdock/version/order"
)

const (
	defaultKeep  = 30 * time.Second  // how long callers may cache a locate answer
	defaultStop  = 300 * time.Second // longest graceful stop
	defaultStart = 30 * time.Second  // longest wait for the configuration at the start
	idleConn     = 120 * time.Second // idle connections to endpoints are closed after this
	dialTimeout  = 2 * time.Second   // time to connect to an endpoint, after which the attempt fails
	keepAlive    = 5 * time.Second   // interval of TCP keep-alive probes; a host that has restarted resets a silent connection after it
	maxHeader    = 64 << 10          // bytes of the header of an endpoint's answer, with interim answers
)

// Entry is one entry instance. Exported fields are set before Run.
type Entry struct {
	Settings Settings
	Platform platform.Platform
	Log      *logrus.Logger
	// Now is the clock; time.Now if nil.
	Now func() time.Time
	// Dial connects to endpoints; nil means TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Reaches reports whether messages to the address of another entry are
	// sent; nil means always. Failure tests use it to cut links.
	Reaches func(addr string) bool
	// Stall is how long an engine may send nothing before its stream is read
	// over a new connection; 10 s if zero.
	Stall time.Duration
	// Stalls measures for how long this process has run. Limits on how long an
	// endpoint may take count that time only.
	Stalls stall.Meter
	// Violation is called when an invariant is violated, after the violation
	// was counted and logged; it may be nil.
	Violation func(rule, detail string)

	id             string
	polls          *http.Client // connections to endpoints that carry many polls and orders
	requests       *http.Client // connections to endpoints that carry one request each
	peers          peer.Pool
	pools          sync.Map // service ID to *enginePool
	retries        sync.Map // service ID to *retry.Policy
	addrs          sync.Map // entry ID to its peer address, including entries that are no longer live
	loads          sync.Map // entry ID to the load that it reported
	inFlight       registry
	polling        atomic.Int64 // endpoints that are polled regularly
	lengths        length.Learner
	quarantine     quarantine.Register
	unconfirmed    quarantine.Unconfirmed[crash]
	suspectsUnsent chan struct{} // the register has something new to send
	callTimes      pace.Recorder // of calls of plain services
	wg             conc.WaitGroup
	mu             sync.Mutex
	ended          bool // spawn starts no more tasks
	background     context.Context
	cancel         context.CancelFunc

	limit    atomic.Pointer[time.Time] // of the graceful stop; nil before it
	stopping atomic.Bool               // left out of locate answers
	refusing atomic.Bool               // refuses new requests
	killed   atomic.Bool               // ends without deregistration and leave message
	ready    atomic.Bool               // has joined and serves callers
	serving  context.Context           // context of all requests; expire ends it at the limit of a graceful stop
	expire   context.CancelFunc

	budget         *intake.Budget
	server         *http.Server
	peerListener   net.Listener
	socket         *member.Socket
	members        *member.Node
	lastMembers    atomic.Pointer[[]member.Member] // live entries as of the last change of membership
	candidateCache atomic.Pointer[candidateList]   // cached result of candidates
	holder         *config.Holder
	tracker        config.Tracker
	leaving        atomic.Pointer[map[string]bool] // addresses marked as leaving in the instance list
	lastWritten    atomic.Int64                    // last configuration version that this entry wrote
	registeredRead atomic.Int64                    // version after whose write the registrations were read
	leases         *lease.Keeper
	owner          *claim.Owner
	ledger         *claim.Ledger
	guard          *claim.Guard
	borrower       *share.Borrower
	lender         *share.Owner
	reconcilers    []*order.Reconciler
	operators      *operator.Executor
}

// ID returns the identity of this run of the entry, its incarnation.
func (e *Entry) ID() string { return e.id }

// Addr returns the address that callers connect to.
func (e *Entry) Addr() string { return e.Settings.Addr }

func (e *Entry) now() time.Time {
	if e.Now != nil {
		return e.Now()
	}
	return time.Now()
}

// prepare sets the identity, the defaults and the HTTP clients of the entry.
func (e *Entry) prepare() {
	e.id = e.Settings.Name + "-" + uuid.NewString()[:8]
	e.serving, e.expire = context.WithCancel(context.Background())
	if e.Log == nil {
		e.Log = logrus.New()
	}
	e.Platform = (&platform.Budget{Base: e.untilKilled(e.Platform), Now: e.Now}).Platform()
	dial := e.Dial
	if dial == nil {
		d := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
		dial = d.DialContext
	}
	transport := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     idleConn,
		ReadBufferSize:      1 << 10,
		WriteBufferSize:     1 << 10,
		// An endpoint may send a header without end, which would be kept until it ends.
		MaxResponseHeaderBytes: maxHeader,
		DisableCompression:     true,
	}
	e.polls, e.requests = &http.Client{Transport: transport}, &http.Client{Transport: transport.Clone()}
}

// Run serves until ctx ends, then stops gracefully. It returns nil if the stop
// interrupted no request, and otherwise an error that names the interrupted
// requests. Abort ends the graceful stop early.
func (e *Entry) Run(ctx context.Context) error {
	e.prepare()
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	e.background, e.cancel = background, cancel
	e.budget = intake.Bound(e.Settings.Memory)
	l, err := intake.Listen(e.Settings.Addr, e.budget)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	gate := e.newGate(l, "callers")
	gate.Most = intake.CallerConns(e.Settings.Files)
	if err := e.join(ctx); err != nil {
		_ = l.Close()
		e.shutdown()
		return fmt.Errorf("join the system: %w", err)
	}
	e.server = gate.Server(e.Handler())
	e.wg.Go(func() {
		if err := e.server.Serve(gate); !errors.Is(err, http.ErrServerClosed) {
			e.Log.WithError(err).Error("caller listener failed")
		}
	})
	e.spawn(func() { e.Stalls.Run(background) })
	e.ready.Store(true)
	e.Log.WithFields(logrus.Fields{"entry": e.id, "addr": l.Addr().String()}).Info("entry started")
	<-ctx.Done()
	err = e.stop()
	if !e.killed.Load() {
		e.members.Leave()
		e.deregisterAndWait()
	}
	e.shutdown()
	return err
}

// newGate returns a gate for a listener of the entry.
func (e *Entry) newGate(l net.Listener, name string) *intake.Gate {
	return &intake.Gate{
		Listener: l, Name: name, Budget: e.budget, Log: e.Log, Limits: func() intake.Limits { return intake.Defaults },
	}
}

// withDeadline returns a context that ends at a time, and if the process stands still
// then, once the answers that arrived meanwhile can have been handled.
func (e *Entry) withDeadline(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	return e.Stalls.WithDeadline(ctx, at, func() {})
}

// spawn runs a task in the background unless the entry has ended. A panic ends the task
// only. The check is needed because handlers of a closed server may still be running, and shutdown
// does not wait for tasks that begin after it.
func (e *Entry) spawn(task func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ended {
		e.wg.Go(func() { background.Run(e.Log, task) })
	}
}

// shutdown closes the listeners, cancels the background tasks and waits for
// them.
func (e *Entry) shutdown() {
	e.cancel()
	e.expire()
	if e.server != nil {
		_ = e.server.Close()
	}
	if e.peerListener != nil {
		_ = e.peerListener.Close()
	}
	if e.socket != nil {
		_ = e.socket.Close()
	}
	e.peers.Close()
	e.mu.Lock()
	e.ended = true
	e.mu.Unlock()
	e.wg.Wait()
	e.polls.CloseIdleConnections()
	e.requests.CloseIdleConnections()
}
