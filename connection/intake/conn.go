package intake

import (
	"bytes"
	"container/list"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// The phases of a connection as its reads see them.
const (
	waits    int32 = iota // for the first byte of a head
	inHead                // a head is being received
	inAnswer              // a request is being received or answered
)

const (
	answerTime = time.Second           // for writing a refusal
	drainTime  = 20 * time.Millisecond // for reading what a refused client still sends; unread bytes would reset the connection
	retryAfter = "0.5"                 // seconds, in a refusal for want of memory, which requests hold for some tenths of a second
)

var errHead = errors.New("head was refused")

// Conn is a connection of a Gate.
type Conn struct {
	net.Conn
	gate    *Gate
	account *Account
	surplus bool         // there was no room for it; set before the first Read
	writing atomic.Int64 // begin of the write in progress in Unix nanoseconds, 0 if there is none
	phase   atomic.Int32

	// Guarded by gate.mu. The element is nil once the connection is being closed.
	state   state
	since   time.Time
	element *list.Element

	// Used by the goroutine that reads; net/http has one at a time.
	deadline time.Time // of the head
	bytes    int       // of the head
	lines    int
	names    int  // of trailers, at most
	filled   bool // the current line of the head is not empty
	naming   bool // the current line may name trailers
	begun    bool // a line of the head was not empty
	whole    bool // the empty line that ends the head was received
	carried  int  // line ends in the latest read of a request, which may belong to the next head
	paid     int64
	body     int  // bytes read after the head
	wide     bool // has the receive buffer of a longer body
}

// Read reads from the connection. While a head is being received, it counts and charges
// what it reads, and refuses a head that is over a limit.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if c.gate.Raw {
		c.gate.move(c, idle)
		return n, err
	}
	if c.phase.Load() == inAnswer {
		c.carried = bytes.Count(p[:n], []byte("\n"))
		c.body += n
		if !c.wide && c.body > waitingBuffer {
			c.widen()
		}
		return n, err
	}
	status, counter := c.count(p[:n])
	if status == 0 {
		return n, err
	}
	counters.Add(counter, 1)
	c.refuse(status, p)
	// net/http answers nothing after this kind of error.
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHead}
}

// count counts a part of a head. It returns the status with which the head is refused,
// or 0.
func (c *Conn) count(part []byte) (status int, counter string) {
	if c.surplus {
		c.gate.move(c, rejected)
		return http.StatusServiceUnavailable, "conns_answered"
	}
	limits := c.gate.Limits()
	if c.phase.Load() == waits {
		c.phase.Store(inHead)
		c.gate.move(c, head)
		c.deadline = time.Time{}
		if limits.HeadTime > 0 {
			c.deadline = time.Now().Add(limits.HeadTime)
		}
		_ = c.Conn.SetReadDeadline(c.deadline) // fails on a closed connection only
	}
	c.bytes += len(part)
	c.countLines(part)
	if limit := limits.HeadBytes; limit > 0 {
		if c.bytes > limit+headSlack {
			return http.StatusRequestHeaderFieldsTooLarge, "heads_long"
		}
		if c.lines > limit/lineBytes+linesFree {
			return http.StatusRequestHeaderFieldsTooLarge, "heads_lines"
		}
	}
	cost := int64(activeCost + max(c.bytes-headFree, 0) + max(c.lines+c.carried-linesFree, 0)*lineCost + max(c.names-namesFree, 0)*nameCost)
	if cost > c.paid {
		if !c.gate.charge(c.account, cost-c.paid) {
			return http.StatusServiceUnavailable, "heads_refused"
		}
		c.paid = cost
	}
	return 0, ""
}

// countLines counts the lines of a head, up to the empty one that ends it. What follows in
// the same part belongs to the body or to the next request.
func (c *Conn) countLines(part []byte) {
	for !c.whole {
		line, rest, found := bytes.Cut(part, []byte("\n"))
		c.countNames(line)
		c.filled = c.filled || len(line) > 0 && string(line) != "\r"
		c.begun = c.begun || c.filled
		if !found {
			return
		}
		c.lines++
		c.whole = c.begun && !c.filled
		c.filled, part = false, rest
	}
}

// countNames counts the names of trailers in a part of a line of the head. The begin of a line
// may be received a byte at a time, so that its first letter decides: no other header with that
// letter has long lists. A line that begins with a blank continues the one before.
func (c *Conn) countNames(part []byte) {
	if len(part) == 0 {
		return
	}
	if first := part[0]; !c.filled && first != ' ' && first != '\t' {
		c.naming = first == 't' || first == 'T'
	}
	if c.naming {
		c.names += bytes.Count(part, []byte(","))
	}
}

// refuse answers a head that is not passed on. No answer to an earlier request is in
// progress then. The buffer is used for what the client still sends.
func (c *Conn) refuse(status int, buffer []byte) {
	_ = c.SetWriteDeadline(time.Now().Add(answerTime))
	text := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nConnection: close\r\nContent-Length: 0\r\n"
	if status == http.StatusServiceUnavailable {
		text += "Retry-After: " + retryAfter + "\r\n"
	}
	if _, err := io.WriteString(c.Conn, text+"\r\n"); err != nil {
		return
	}
	_ = c.CloseWrite() // the client is told by the answer, too
	_ = c.Conn.SetReadDeadline(time.Now().Add(drainTime))
	for read := 0; read < bodyBuffer; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		read += n
	}
}

// CloseWrite ends the answers. net/http calls it before it closes a connection whose client
// still sends a body, so that the client reads the answer to its end before it gets a reset.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite() //nolint:wrapcheck // net/http ignores it
	}
	return nil
}

// Abort closes the connection at once, so that the client does not take a part of an answer
// for the whole.
func (c *Conn) Abort() { abort(c.Conn) }

// begin records that a head was received.
func (c *Conn) begin() {
	c.phase.Store(inAnswer)
	c.carried = 0
	if c.paid == 0 {
		// The head was read together with the request before it, and cannot be refused here.
		if c.gate.charge(c.account, activeCost) {
			c.paid = activeCost
		}
	}
	_ = c.Conn.SetReadDeadline(time.Time{}) // that of the head
	c.gate.move(c, active)
}

// end records that a request was answered, and credits what it held.
func (c *Conn) end() {
	c.account.Credit(c.paid)
	c.bytes, c.lines, c.names, c.paid, c.body = 0, 0, 0, 0, 0
	c.filled, c.naming, c.begun, c.whole = false, false, false, false
	if c.wide {
		c.setBuffer(waitingBuffer)
		c.wide = false
	}
	c.phase.Store(waits)
	c.gate.move(c, idle)
}

// widen enlarges the receive buffer for a longer body, if there is memory for it.
func (c *Conn) widen() {
	c.wide = true
	if !c.gate.Budget.Bounded() || !c.account.Charge(bodyBuffer) {
		return
	}
	c.paid += bodyBuffer
	c.setBuffer(bodyBuffer)
}

func (c *Conn) setBuffer(size int) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.gate.Budget.Bounded() {
		_ = tcp.SetReadBuffer(size) // the one before is sound, too
	}
}

// Write writes to the connection, and records for how long that takes.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Store(time.Now().UnixNano())
	n, err := c.Conn.Write(p)
	c.writing.Store(0)
	return n, err
}

// SetReadDeadline sets a deadline. Those that net/http sets while it waits for a head, or
// receives one, are replaced by the limits in force.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if !c.gate.Raw {
		switch c.phase.Load() {
		case waits:
			if d := c.gate.Limits().IdleTime; d > 0 && !t.IsZero() {
				t = time.Now().Add(d)
			}
		case inHead:
			t = c.deadline
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection and credits what it held.
func (c *Conn) Close() error {
	c.gate.move(c, closing)
	c.account.Release()
	return c.Conn.Close()
}
