// Package channel implements a pool of HTTP/1.1 connections to endpoints.
//
// A connection carries one request at a time: it is taken out of the pool with
// Get, used with Send and Receive, and returned with Put once the answer has been
// read to its end. Unlike the transport of net/http, a Pool never repeats a request
// on its own, lets the user state how recently a pooled connection must have been
// used, and returns every answer that arrives on a connection, including a late
// answer to an earlier request.
package channel

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/internal/header"
	"github.com/eelgrassdock/eelgrassdock/internal/statuscode"
)

const (
	shardCount         = 8
	maxIdlePerAddr     = 32               // idle connections that are kept to one address
	defaultIdleTimeout = 4 * time.Second  // assumed for an endpoint that does not state its idle timeout
	probeIdle          = time.Second      // silence after which the kernel sends keep-alive probes; a host that has restarted resets the connection then
	probeEvery         = time.Second      // interval of the probes
	probeCount         = 3                // unanswered probes after which the connection is closed
	readBufferBytes    = 4 << 10          // read buffer of a connection
	writeTimeout       = 10 * time.Second // for sending a request
	maxHeadBytes       = 64 << 10         // header of an answer, together with the interim answers before it
)

// ErrSize is returned for an answer that is longer than a limit.
var ErrSize = errors.New("answer is too long")

type (
	// Pool holds idle connections by address. The zero value is ready for use;
	// exported fields must be set before it.
	Pool struct {
		// Dial connects to an address; nil means TCP with short keep-alive probes.
		Dial func(ctx context.Context, addr string) (net.Conn, error)
		// Now is the clock, time.Now if nil.
		Now func() time.Time

		shards [shardCount]shard
	}

	// shard holds the connections of the addresses with one hash value, to reduce
	// lock contention.
	shard struct {
		mu   sync.Mutex
		idle map[string][]*Channel // by address, the most recently used one last
	}

	// Channel is a connection. It must be used by one request at a time; only
	// Close may be called concurrently.
	Channel struct {
		Addr  string
		Fresh bool // no request has been sent on it yet

		conn     net.Conn
		limited  *limitedReader // of conn
		reader   *bufio.Reader  // of limited
		head     bytes.Buffer   // the latest head as received
		expires  time.Time      // not reused from then on, because the endpoint may close it
		lastUsed time.Time      // when the latest answer ended
	}
)

func (p *Pool) now() time.Time {
	if p.Now != nil {
		return p.Now()
	}
	return time.Now()
}

func (p *Pool) shard(addr string) *shard { return &p.shards[xxhash.Sum64String(addr)%shardCount] }

// Get returns an idle connection that was last used at or after since and has
// neither been closed nor received data. If there is none it dials a new one.
// Unsuitable idle connections that it comes across are closed.
func (p *Pool) Get(ctx context.Context, addr string, since time.Time) (*Channel, error) {
	now := p.now()
	for {
		c := p.popIdle(addr)
		if c == nil {
			return p.open(ctx, addr)
		}
		if !c.lastUsed.Before(since) && now.Before(c.expires) && c.isIdle() {
			return c, nil
		}
		c.Close()
	}
}

// popIdle removes and returns the most recently used idle connection to addr, nil
// if there is none.
func (p *Pool) popIdle(addr string) *Channel {
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
	limited := &limitedReader{conn: conn}
	return &Channel{Addr: addr, Fresh: true, conn: conn, limited: limited, reader: bufio.NewReaderSize(limited, readBufferBytes)}, nil
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount,
	}}
	return d.DialContext(ctx, "tcp", addr)
}

// Put returns a connection whose last answer was read to its end to the pool.
// keep is the endpoint's idle timeout, 0 if it did not state one.
func (p *Pool) Put(c *Channel, keep time.Duration) {
	if c.reader.Buffered() > 0 {
		// The endpoint sent more than the answer.
		c.Close()
		return
	}
	if keep <= 0 {
		keep = defaultIdleTimeout
	}
	c.lastUsed, c.Fresh = p.now(), false
	// A request is lost if the endpoint closes the connection while it is being
	// sent, so the connection is not reused in the last quarter of the idle timeout.
	c.expires = c.lastUsed.Add(keep - keep/4)
	s := p.shard(c.Addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle == nil {
		s.idle = map[string][]*Channel{}
	}
	if len(s.idle[c.Addr]) >= maxIdlePerAddr {
		c.Close()
		return
	}
	s.idle[c.Addr] = append(s.idle[c.Addr], c)
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(addr string) {
	s := p.shard(addr)
	s.mu.Lock()
	list := s.idle[addr]
	delete(s.idle, addr)
	s.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// CloseExpired closes the idle connections that are too old to be reused.
func (p *Pool) CloseExpired() {
	now := p.now()
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		for addr, list := range s.idle {
			kept := list[:0]
			for _, c := range list {
				if now.Before(c.expires) {
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

// isIdle reports whether an idle connection is open and has no data to read. It
// does not block. A connection that is no syscall.Conn counts as idle.
func (c *Channel) isIdle() bool {
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

// Send writes a request, within writeTimeout and before the deadline unless that is
// zero. If it fails, wrote reports whether any byte was sent.
func (c *Channel) Send(r *http.Request, deadline time.Time) (wrote bool, err error) {
	limit := time.Now().Add(writeTimeout)
	if !deadline.IsZero() && deadline.Before(limit) {
		limit = deadline
	}
	if err := c.conn.SetWriteDeadline(limit); err != nil {
		return false, fmt.Errorf("set write deadline: %w", err)
	}
	counter := &countingWriter{conn: c.conn}
	if err := r.Write(counter); err != nil {
		return counter.n > 0, fmt.Errorf("send request to %s: %w", c.Addr, err)
	}
	return true, nil
}

// Receive reads the header of the next answer, which is parsed as an answer to r,
// and skips interim ones: 1xx except 101. The body must be read from the result;
// Limit limits its length. The error wraps ErrSize if the header, or the interim
// answers before it, do not end within maxHeadBytes, statuscode.ErrInvalid for a
// status that no answer can have, and header.ErrJoined for a header that begins with a part
// of another one. After an error the connection must be closed: what
// follows on it may not be an answer.
func (c *Channel) Receive(r *http.Request, deadline time.Time) (*http.Response, error) {
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return nil, fmt.Errorf("set read deadline: %w", err)
	}
	c.limited.left = maxHeadBytes
	for {
		res, err := c.readHead(r)
		if err != nil {
			return nil, fmt.Errorf("read answer of %s: %w", c.Addr, err)
		}
		if statuscode.IsInterim(res.StatusCode) {
			continue
		}
		if err := statuscode.CheckFinal(res.StatusCode); err != nil {
			return nil, fmt.Errorf("read answer of %s: %w", c.Addr, err)
		}
		c.limited.left = math.MaxInt64
		return res, nil
	}
}

// readHead reads the header of an answer, of which it does not read the body. The parsed header
// would not do for the check: net/http drops some of its fields.
func (c *Channel) readHead(r *http.Request) (*http.Response, error) {
	c.head.Reset()
	received, _ := c.reader.Peek(c.reader.Buffered())
	c.head.Write(received)
	c.limited.copyTo = &c.head
	res, err := http.ReadResponse(c.reader, r)
	c.limited.copyTo = nil
	if err != nil {
		return nil, err
	}
	head := c.head.Bytes()
	if err := header.CheckJoined(head[:len(head)-c.reader.Buffered()]); err != nil {
		return nil, err
	}
	if c.head.Cap() > 2*readBufferBytes {
		c.head = bytes.Buffer{} // the next head is mostly shorter
	}
	return res, nil
}

// Limit makes reading the current answer fail with ErrSize after n further bytes
// of the connection, which include those that frame chunks. The limit ends with
// the answer.
func (c *Channel) Limit(n int64) { c.limited.left = n }

// Close closes the connection.
func (c *Channel) Close() { _ = c.conn.Close() }

type (
	// countingWriter counts the bytes that were written to conn.
	countingWriter struct {
		conn net.Conn
		n    int
	}

	// limitedReader reads up to left bytes from conn and then fails with ErrSize. It adds
	// what it reads to copyTo, which may be nil.
	limitedReader struct {
		conn   net.Conn
		left   int64
		copyTo *bytes.Buffer
	}
)

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.conn.Write(p)
	w.n += n
	return n, err
}

func (r *limitedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, ErrSize
	}
	n, err := r.conn.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	if r.copyTo != nil {
		r.copyTo.Write(p[:n])
	}
	return n, err
}
