// Package channel keeps HTTP/1.1 connections to endpoints.
//
// Unlike the transport of net/http, a Pool never repeats a request on its own,
// lets the user choose how lately a kept connection must have been in use, and
// shows every answer that arrives on it, also one that belongs to an earlier
// request. A connection carries one request at a time.
package channel

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	shards      = 8
	keepMost    = 32               // kept connections to one address
	defaultKeep = 4 * time.Second  // for an endpoint that does not state its idle timeout
	probeIdle   = 2 * time.Second  // silence after which the kernel probes the other end
	probeEvery  = time.Second      // interval of its probes
	probeCount  = 2                // unanswered probes that end a connection
	bufferBytes = 4 << 10          // read buffer of a connection
	writeLimit  = 10 * time.Second // for sending a request
)

type (
	// Pool keeps connections. Fields are set before use.
	Pool struct {
		// Dial connects to an address; nil means TCP with short keep-alive probes.
		Dial func(ctx context.Context, addr string) (net.Conn, error)
		// Now is the clock, time.Now if nil.
		Now func() time.Time

		shards [shards]shard
	}

	shard struct {
		mu   sync.Mutex
		idle map[string][]*Channel // by address, the latest used last
	}

	// Channel is one connection. It is used by one request at a time, but Close
	// may be called at any moment.
	Channel struct {
		Addr  string
		Fresh bool // no request was sent on it before

		conn  net.Conn
		read  *bufio.Reader
		until time.Time // the other end may close it from then on
		used  time.Time // end of the latest answer
	}
)

func (p *Pool) now() time.Time {
	if p.Now != nil {
		return p.Now()
	}
	return time.Now()
}

func (p *Pool) shard(addr string) *shard { return &p.shards[xxhash.Sum64String(addr)%shards] }

// Get gives a kept connection that was used at the time since or later and
// shows no sign of an end, or else a new one.
func (p *Pool) Get(ctx context.Context, addr string, since time.Time) (*Channel, error) {
	now := p.now()
	for {
		c := p.take(addr)
		if c == nil {
			return p.open(ctx, addr)
		}
		if !c.used.Before(since) && now.Before(c.until) && c.quiet() {
			return c, nil
		}
		c.Close()
	}
}

func (p *Pool) take(addr string) *Channel {
	s := p.shard(addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if list = list[:len(list)-1]; len(list) == 0 {
		delete(s.idle, addr)
	} else {
		s.idle[addr] = list
	}
	return c
}

func (p *Pool) open(ctx context.Context, addr string) (*Channel, error) {
	dial := p.Dial
	if dial == nil {
		dial = dialTCP
	}
	conn, err := dial(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", addr, err)
	}
	return &Channel{Addr: addr, Fresh: true, conn: conn, read: bufio.NewReaderSize(conn, bufferBytes)}, nil
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount,
	}}
	return d.DialContext(ctx, "tcp", addr)
}

// Keep returns a connection whose last answer was read to its end. keep is how
// long the other end keeps it idle, 0 if it did not say.
func (p *Pool) Keep(c *Channel, keep time.Duration) {
	if c.read.Buffered() > 0 {
		// Bytes that belong to no request.
		c.Close()
		return
	}
	if keep <= 0 {
		keep = defaultKeep
	}
	c.used, c.Fresh = p.now(), false
	// A request that crosses the close of its connection is lost.
	c.until = c.used.Add(keep - keep/4)
	s := p.shard(c.Addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle == nil {
		s.idle = map[string][]*Channel{}
	}
	if len(s.idle[c.Addr]) >= keepMost {
		c.Close()
		return
	}
	s.idle[c.Addr] = append(s.idle[c.Addr], c)
}

// Forget closes the kept connections to an address.
func (p *Pool) Forget(addr string) {
	s := p.shard(addr)
	s.mu.Lock()
	list := s.idle[addr]
	delete(s.idle, addr)
	s.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// Trim closes the connections that have been idle for too long.
func (p *Pool) Trim() {
	now := p.now()
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		for addr, list := range s.idle {
			kept := list[:0]
			for _, c := range list {
				if now.Before(c.until) {
					kept = append(kept, c)
				} else {
					c.Close()
				}
			}
			if s.idle[addr] = kept; len(kept) == 0 {
				delete(s.idle, addr)
			}
		}
		s.mu.Unlock()
	}
}

// quiet tells whether a kept connection is open and has nothing to read. It
// does not wait.
func (c *Channel) quiet() bool {
	sc, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		quiet = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}

// Send writes a request. Nothing of it was sent if it fails with wrote false.
func (c *Channel) Send(r *http.Request, deadline time.Time) (wrote bool, err error) {
	limit := time.Now().Add(writeLimit)
	if !deadline.IsZero() && deadline.Before(limit) {
		limit = deadline
	}
	if err := c.conn.SetWriteDeadline(limit); err != nil {
		return false, fmt.Errorf("set write deadline: %w", err)
	}
	counter := &writes{conn: c.conn}
	if err := r.Write(counter); err != nil {
		return counter.n > 0, fmt.Errorf("send request to %s: %w", c.Addr, err)
	}
	return true, nil
}

// Receive reads the head of the next answer, skipping interim ones. The body is
// read from the answer.
func (c *Channel) Receive(r *http.Request, deadline time.Time) (*http.Response, error) {
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return nil, fmt.Errorf("set read deadline: %w", err)
	}
	for {
		res, err := http.ReadResponse(c.read, r)
		if err != nil {
			return nil, fmt.Errorf("read answer of %s: %w", c.Addr, err)
		}
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
	}
}

// Close ends the connection.
func (c *Channel) Close() { _ = c.conn.Close() }

// writes counts the bytes that were written.
type writes struct {
	conn net.Conn
	n    int
}

func (w *writes) Write(p []byte) (int, error) {
	n, err := w.conn.Write(p)
	w.n += n
	return n, err
}
