// Package entry runs one entry instance: it takes requests from callers over
// HTTP and serves them from endpoints.
//
// An entry keeps nothing that must outlive it. A generation lives in its
// engine and can be read on through any entry with the caller's resume token;
// configuration, leases and durable claims live in the platform; the rest is
// relearned. An entry stops in two steps: it first disappears from the answers
// to callers that ask which entries to use, and goes on serving until those
// answers have expired and the requests in flight have ended.
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

	"github.com/eelgrassdock/eelgrassdock/connection/peer"
	"github.com/eelgrassdock/eelgrassdock/process/lease"
	"github.com/eelgrassdock/eelgrassdock/process/length"
	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/operator"
	"github.com/eelgrassdock/eelgrassdock/process/platform"
	"github.com/eelgrassdock/eelgrassdock/process/share"
	"github.com/eelgrassdock/eelgrassdock/request/claim"
	"github.com/eelgrassdock/eelgrassdock/version/config"
	"github.com/eelgrassdock/eelgrassdock/version/order"
)

const (
	defaultKeep = 30 * time.Second  // how long callers may keep a locate answer
	defaultStop = 300 * time.Second // longest graceful stop
	readHeader  = 10 * time.Second  // a caller must send its header in this time
	idleConn    = 120 * time.Second // an idle connection of a caller is closed after this
	dialTimeout = 2 * time.Second   // an endpoint that does not accept in this time is tried later
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
	// Reaches tells whether messages to the address of another entry are sent;
	// nil means always. Failure tests cut links with it.
	Reaches func(addr string) bool
	// Stall is the silence after which a stream is read over a new connection;
	// 10 s if zero.
	Stall time.Duration
	// Violation is called when a promise is seen broken; nil means that it is
	// counted and logged only.
	Violation func(rule, detail string)

	id         string
	http       *http.Client
	peers      peer.Pool
	desks      sync.Map // service ID to *desk
	retries    sync.Map // service ID to *retry.Policy
	addrs      sync.Map // entry ID to its address for peers, also of entries that are gone
	loads      sync.Map // entry ID to its requests in flight
	streams    registry
	polling    atomic.Int64 // endpoints that are polled regularly
	lengths    length.Learner
	wg         conc.WaitGroup
	mu         sync.Mutex
	ended      bool // nothing is spawned any more
	background context.Context
	cancel     context.CancelFunc

	stopping atomic.Bool     // no longer in locate answers
	refusing atomic.Bool     // takes no new requests
	killed   atomic.Bool     // ends without goodbye
	ready    atomic.Bool     // has joined
	serving  context.Context // ends when the longest graceful stop has passed
	expire   context.CancelFunc

	server       *http.Server
	peerListener net.Listener
	socket       *member.Socket
	members      *member.Node
	present      atomic.Pointer[[]member.Member] // as of the last change
	owners       atomic.Pointer[candidates]
	holder       *config.Holder
	tracker      config.Tracker
	leaving      atomic.Pointer[map[string]bool] // addresses that the instance list calls leaving
	written      atomic.Int64                    // last version that was written by this entry
	counted      atomic.Int64                    // version after which the registered entries were read
	leases       *lease.Keeper
	owner        *claim.Owner
	ledger       *claim.Ledger
	guard        *claim.Guard
	borrower     *share.Borrower
	lender       *share.Owner
	orders       []*order.Reconciler
	operators    *operator.Executor
}

// ID gives the identity of this run of the entry.
func (e *Entry) ID() string { return e.id }

// Addr gives the address that callers connect to, once Run has begun.
func (e *Entry) Addr() string { return e.Settings.Addr }

func (e *Entry) now() time.Time {
	if e.Now != nil {
		return e.Now()
	}
	return time.Now()
}

func (e *Entry) prepare() {
	e.id = e.Settings.Name + "-" + uuid.NewString()[:8]
	e.serving, e.expire = context.WithCancel(context.Background())
	if e.Log == nil {
		e.Log = logrus.New()
	}
	e.Platform = (&platform.Budget{Base: e.untilKilled(e.Platform), Now: e.Now}).Platform()
	dial := e.Dial
	if dial == nil {
		d := &net.Dialer{Timeout: dialTimeout}
		dial = d.DialContext
	}
	e.http = &http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     idleConn,
			ReadBufferSize:      1 << 10,
			WriteBufferSize:     1 << 10,
			DisableCompression:  true,
		},
	}
}

// Run serves until ctx ends, then stops gracefully. It returns nil after a
// stop that cut off no request, and an error that names what was cut otherwise.
// A second signal is given by Abort.
func (e *Entry) Run(ctx context.Context) error {
	e.prepare()
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	e.background, e.cancel = background, cancel
	l, err := net.Listen("tcp", e.Settings.Addr)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if err := e.join(ctx); err != nil {
		_ = l.Close()
		e.end()
		return fmt.Errorf("join the system: %w", err)
	}
	e.server = &http.Server{Handler: e.Handler(), ReadHeaderTimeout: readHeader, IdleTimeout: idleConn}
	e.wg.Go(func() {
		if err := e.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			e.Log.WithError(err).Error("caller listener failed")
		}
	})
	e.ready.Store(true)
	e.Log.WithFields(logrus.Fields{"entry": e.id, "addr": l.Addr().String()}).Info("entry started")
	<-ctx.Done()
	err = e.stop()
	if !e.killed.Load() {
		e.members.Leave()
		e.goodbye()
	}
	e.end()
	return err
}

// spawn runs a task in the background unless the entry has ended. Handlers of
// a closed server may still be running then, and end waits for no task that
// begins later.
func (e *Entry) spawn(task func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ended {
		e.wg.Go(task)
	}
}

// end ends the parts of the entry and waits for them.
func (e *Entry) end() {
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
	e.http.CloseIdleConnections()
}
