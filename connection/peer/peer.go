// Package peer makes and serves calls between entries: net/rpc with gob over TCP.
//
// A Pool keeps one connection per address, which concurrent calls share. A call
// that reaches its deadline closes the connection, so that a stalled connection is
// replaced instead of delaying every later call.
//
// Long answers share the link with traffic that must not wait. A server sends them at a
// limited rate, and a caller gives up on one (Fetch) when it makes no progress, not when
// it takes long: what was given up would be sent again from its beginning.
package peer

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/panics"
	"golang.org/x/time/rate"

	"github.com/eelgrassdock/eelgrassdock/connection/intake"
	"github.com/eelgrassdock/eelgrassdock/internal/background"
	"github.com/eelgrassdock/eelgrassdock/internal/progress"
	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
)

const (
	// PaceBytes is the burst that the limiter of ServePaced must allow.
	PaceBytes = 16 << 10

	dialTimeout = 2 * time.Second       // a peer that does not accept within this time is unreachable
	acceptPause = 50 * time.Millisecond // after a failure to accept that does not last, until descriptors may be free
	longAnswer  = 4 << 10               // bytes written at once; answers of this size are sent at a limited rate
)

var (
	// ErrUnreachable means that no connection to the peer could be made. The
	// call was not sent.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrLost means that the call may have been sent and got no answer.
	ErrLost = errors.New("no answer from peer")

	errStalled = errors.New("no byte of the answer in time")

	traffic = expvar.NewMap("peer") // bytes that this process has sent to and received from peers
)

type (
	// Pool holds connections to peers. The zero value is ready for use.
	Pool struct {
		// Dial connects to an address; nil means TCP.
		Dial func(ctx context.Context, addr string) (net.Conn, error)

		mu      sync.Mutex
		closed  bool
		clients map[string]*client
	}

	// client is the connection to a peer.
	client struct {
		*rpc.Client
		conn *countedConn
	}

	// countedConn counts the bytes of a connection.
	countedConn struct {
		net.Conn
		pace   *rate.Limiter // of long writes; nil means no limit
		serves bool          // calls arrive on it; an answer that is not read for writeLimit ends it

		mu       sync.Mutex
		received int64
		latest   time.Time // when the latest bytes were received
	}
)

// Call calls a method, named "Service.Method", of the peer at addr and waits for
// the answer until ctx ends. The reply is a pointer, and is set only if there is no
// error. An error of the method itself is returned as an rpc.ServerError; other
// errors wrap ErrUnreachable or ErrLost.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	_, err := p.CountedCall(ctx, addr, method, args, reply)
	return err
}

// CountedCall is Call, and also returns the number of bytes that arrived on the
// connection meanwhile. Those of concurrent calls of the same peer count too.
func (p *Pool) CountedCall(ctx context.Context, addr, method string, args, reply any) (received int64, _ error) {
	c, err := p.client(ctx, addr)
	if err != nil {
		return 0, fmt.Errorf("connect to peer %s: %w: %w", addr, ErrUnreachable, err)
	}
	return p.call(ctx, c, addr, method, args, reply)
}

func (p *Pool) call(ctx context.Context, c *client, addr, method string, args, reply any) (received int64, _ error) {
	before, _ := c.conn.progress()
	// The connection is closed when ctx ends, which also unblocks a write to a peer
	// that does not read.
	defer context.AfterFunc(ctx, func() { p.drop(addr, c) })()
	// net/rpc may go on decoding an answer after ctx has ended, so it gets a value of its own.
	answer := reflect.New(reflect.TypeOf(reply).Elem())
	call := c.Go(method, args, answer.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		after, _ := c.conn.progress()
		return after - before, fmt.Errorf("call %s of peer %s: %w: %w", method, addr, ErrLost, context.Cause(ctx))
	case <-call.Done:
	}
	after, _ := c.conn.progress()
	var remote rpc.ServerError
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(answer.Elem())
		return after - before, nil
	}
	if errors.As(call.Error, &remote) {
		return after - before, call.Error
	}
	p.drop(addr, c)
	return after - before, fmt.Errorf("call %s of peer %s: %w: %w", method, addr, ErrLost, call.Error)
}

// Fetch is CountedCall for a long answer. It fails when no byte of the answer has arrived
// within first, or none for the time next after that, however long the whole takes. It
// records the progress (package progress). No other call of the same peer should run in
// the pool, because its bytes count as well.
func (p *Pool) Fetch(ctx context.Context, addr, method string, args, reply any, first, next time.Duration) (received int64, _ error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(first, func() { cancel(errStalled) })
	defer timer.Stop()
	c, err := p.client(ctx, addr)
	if err != nil {
		return 0, fmt.Errorf("connect to peer %s: %w: %w", addr, ErrUnreachable, err)
	}
	if timer.Stop() {
		go c.conn.watch(ctx, time.Now().Add(first), next, func() { cancel(errStalled) })
	}
	return p.call(ctx, c, addr, method, args, reply)
}

// Latest returns when the latest bytes arrived on an open connection.
func (p *Pool) Latest() (latest time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		if _, at := c.conn.progress(); at.After(latest) {
			latest = at
		}
	}
	return latest
}

// watch calls stalled unless bytes arrive before begin, and then within next of each
// other, until ctx ends.
func (c *countedConn) watch(ctx context.Context, begin time.Time, next time.Duration, stalled func()) {
	before, _ := c.progress()
	for due := begin; sleep.For(ctx, time.Until(due)); {
		received, latest := c.progress()
		if received == before || !latest.Add(next).After(time.Now()) {
			stalled()
			return
		}
		progress.Made(ctx)
		due = latest.Add(next)
	}
}

// progress returns the number of bytes received so far, and when the latest were.
func (c *countedConn) progress() (received int64, latest time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received, c.latest
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received += int64(n)
	c.latest = time.Now()
	traffic.Add("received", int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (n int, err error) {
	defer func() { traffic.Add("sent", int64(n)) }()
	if c.serves {
		_ = c.SetWriteDeadline(time.Now().Add(writeLimit)) // fails on a closed connection only
	}
	if c.pace == nil || len(b) < longAnswer {
		return c.Conn.Write(b)
	}
	for n < len(b) && err == nil {
		part := b[n:min(n+PaceBytes, len(b))]
		if err = c.pace.WaitN(context.Background(), len(part)); err != nil {
			return n, fmt.Errorf("wait for the turn of an answer: %w", err)
		}
		if c.serves {
			_ = c.SetWriteDeadline(time.Now().Add(writeLimit)) // as above
		}
		var sent int
		sent, err = c.Conn.Write(part)
		n += sent
	}
	return n, err
}

// Close closes all connections. Later calls fail with ErrUnreachable.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for addr, c := range p.clients {
		_ = c.Close()
		delete(p.clients, addr)
	}
}

// client returns the connection to a peer, which it opens if there is none.
func (p *Pool) client(ctx context.Context, addr string) (*client, error) {
	p.mu.Lock()
	c, closed := p.clients[addr], p.closed
	p.mu.Unlock()
	if closed {
		return nil, net.ErrClosed
	}
	if c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialed, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	conn := &countedConn{Conn: dialed}
	c = &client{Client: rpc.NewClient(conn), conn: conn}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	if other := p.clients[addr]; other != nil {
		_ = c.Close()
		return other, nil
	}
	if p.clients == nil {
		p.clients = map[string]*client{}
	}
	p.clients[addr] = c
	return c, nil
}

func (p *Pool) dial(ctx context.Context, addr string) (net.Conn, error) {
	if p.Dial != nil {
		return p.Dial(ctx, addr)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// drop closes a connection and removes it from the pool.
func (p *Pool) drop(addr string, c *client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[addr] == c {
		delete(p.clients, addr)
	}
	_ = c.Close()
}

// Recover is deferred by the methods that serve calls, with the address of their error. A
// panic is logged and counted as that of a task (package background), and becomes the error
// of the call: net/rpc does not recover it, so that it would end the process.
func Recover(log *logrus.Logger, err *error) {
	if v := recover(); v != nil {
		fault := panics.NewRecovered(1, v)
		background.Log(log, &fault)
		*err = errors.Newf("panic: %v", v)
	}
}

// Serve answers calls on the listener until it is closed, also if descriptors have run out
// meanwhile. Then it closes all
// connections, waits until their calls have ended and returns nil.
func Serve(l net.Listener, server *rpc.Server) error { return ServePaced(l, server, nil, nil) }

// ServePaced is Serve with a limit, in bytes per second, for the long answers on all
// connections together. Short ones do not wait. Long calls are charged to the budget, which
// may be nil.
func ServePaced(l net.Listener, server *rpc.Server, pace *rate.Limiter, budget *intake.Budget) error {
	var (
		mu    sync.Mutex
		conns = map[net.Conn]struct{}{}
		wg    sync.WaitGroup
	)
	for {
		conn, err := l.Accept()
		if errors.IsAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED) {
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			break
		}
		mu.Lock()
		conns[conn] = struct{}{}
		mu.Unlock()
		wg.Go(func() {
			serveBounded(&countedConn{Conn: conn, pace: pace, serves: true}, server, budget)
			mu.Lock()
			delete(conns, conn)
			mu.Unlock()
		})
	}
	mu.Lock()
	for conn := range conns {
		_ = conn.Close()
	}
	mu.Unlock()
	wg.Wait()
	return nil
}
