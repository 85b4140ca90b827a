package intake

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// The states of a connection. The first ones are closed first when room is needed.
const (
	fresh    state = iota // nothing was received
	idle                  // waits for the next request
	head                  // a head is being received
	active                // a request is being received or answered
	surplus               // there was no room for it: its first request will be refused
	rejected              // a connection in surplus whose request is being refused
	closing               // closed, or about to be
	states
)

const (
	connCost   = 16 << 10 // of an idle connection: stack of its goroutine, buffers of net/http; 6 KB were measured before the first request, 19 KB with the client after it
	activeCost = 32 << 10 // of a request without its head and body: stacks, buffers, and received bytes that are not read
	headFree   = 4 << 10  // bytes of a head that activeCost covers
	linesFree  = 64       // lines of a head that activeCost covers
	lineCost   = 256      // of a header line: net/http, the copy for the endpoint and the map entries of both
	namesFree  = 64       // names of trailers in a head that activeCost covers
	nameCost   = 256      // of a name of a trailer: net/http makes a map entry of it when it has read the head
	lineBytes  = 4        // of the shortest legal line, a name of one letter without a value
	headSlack  = 4 << 10  // net/http reads this much at once, so that the begin of a head may be counted with the one before

	// surplusShare divides Gate.Most into the number of connections that may be in surplus. Each
	// is open for some milliseconds, so that few answer hundreds of clients a second.
	surplusShare = 32

	slowHead  = 500 * time.Millisecond // age from which a head is closed when room is needed
	slowWrite = time.Second            // age from which a write is closed when room is needed
	logPause  = time.Second            // between two log lines of a gate
)

type (
	state int

	// Limits bound what one connection may send. A field that is zero sets no limit.
	Limits struct {
		HeadBytes int
		HeadTime  time.Duration // from the first byte of a head to its end
		IdleTime  time.Duration // without a byte
	}

	// Gate is a listener that bounds its connections. Exported fields are set before the
	// first Accept.
	Gate struct {
		net.Listener
		Name   string // in log lines
		Budget *Budget
		Log    *logrus.Logger
		// Raw is set for connections that do not carry HTTP: they have no heads, and are idle
		// except while bytes arrive.
		Raw bool
		// Most is the largest number of connections, 0 if there is no limit.
		Most int
		// Limits returns the limits in force.
		Limits func() Limits
		// Changed is called with each change of a connection's state that net/http
		// reports; may be nil.
		Changed func(c net.Conn, s http.ConnState)
		// Now is the clock, time.Now if nil.
		Now func() time.Time

		mu      sync.Mutex
		queues  [states]list.List // connections by state, the one that has been in it longest first
		count   int
		logged  time.Time // latest line about refused connections
		refused int       // connections since then
		known   sync.Once // Budget has this gate, and memory for its surplus
	}
)

func (g *Gate) now() time.Time {
	if g.Now != nil {
		return g.Now()
	}
	return time.Now()
}

// Accept returns the next connection. If there is no room for it and it carries HTTP, it is in
// surplus: its first request is not read, and answered with 503. A client whose connection is
// reset cannot tell a process without room from one that is gone.
func (g *Gate) Accept() (net.Conn, error) {
	for {
		conn, err := g.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // net/http looks for kinds of errors
		}
		if c := g.admit(conn); c != nil {
			return c, nil
		}
	}
}

// admit returns the wrapped connection, or nil if it was closed because there is no room.
func (g *Gate) admit(conn net.Conn) *Conn {
	g.known.Do(func() {
		g.Budget.add(g)
		(&Account{Budget: g.Budget}).Charge(int64(g.mostSurplus()) * connCost) // for good
	})
	c := &Conn{Conn: conn, gate: g, account: &Account{Budget: g.Budget}}
	if host, _, err := net.SplitHostPort(conn.RemoteAddr().String()); err == nil {
		c.account.Holders = []string{host}
	}
	if g.Most > 0 && g.connections() >= g.Most && !g.closeOne() || !g.charge(c.account, g.cost()) {
		g.countRefused()
		if !g.addSurplus(c) {
			abort(conn)
			return nil
		}
		return c
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count++
	counters.Add("conns", 1)
	peak := gauge("conns_peak")
	peak.Set(max(peak.Value(), gauge("conns").Value()))
	c.since = g.now()
	c.element = g.queues[fresh].PushBack(c)
	return c
}

// add makes a gate known to relieve.
func (b *Budget) add(g *Gate) {
	if b != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.gates = append(b.gates, g)
	}
}

func (g *Gate) connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.count
}

// mostSurplus returns the largest number of connections in surplus.
func (g *Gate) mostSurplus() int {
	if g.Raw || g.Most == 0 {
		return 0
	}
	return g.Most/surplusShare + 1
}

// addSurplus puts a connection into surplus, in place of the oldest one whose request has not
// arrived if there are too many. It reports whether there was room.
func (g *Gate) addSurplus(c *Conn) bool {
	var oldest *Conn
	g.mu.Lock()
	waiting := &g.queues[surplus]
	if waiting.Len()+g.queues[rejected].Len() >= g.mostSurplus() {
		if waiting.Len() == 0 {
			g.mu.Unlock()
			return false
		}
		oldest = waiting.Front().Value.(*Conn)
		g.moveLocked(oldest, closing)
	}
	c.surplus, c.state, c.since = true, surplus, g.now()
	c.element = waiting.PushBack(c)
	g.mu.Unlock()
	if oldest != nil {
		abort(oldest.Conn)
	}
	return true
}

// countRefused counts and logs a connection for which there is no room.
func (g *Gate) countRefused() {
	counters.Add("conns_refused", 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refused++
	if now := g.now(); g.Log != nil && now.Sub(g.logged) >= logPause {
		g.Log.WithFields(logrus.Fields{
			"event": "conns_refused", "listener": g.Name, "count": g.refused, "open": g.count,
		}).Warn("no room for connections")
		g.logged, g.refused = now, 0
	}
}

// charge charges an account. For a small charge it closes connections as long as that
// makes room; a larger one is not worth that.
func (g *Gate) charge(a *Account, n int64) bool {
	for {
		switch a.charge(n) {
		case charged:
			return true
		case noRoomSmall:
			if !g.closeOne() {
				return false
			}
		case noRoomLarge:
			a.Budget.relieve()
			return false
		case isReleased:
			return false
		}
	}
}

// closeOne closes the connection that is least worth keeping, and reports whether there
// was one.
func (g *Gate) closeOne() bool {
	g.mu.Lock()
	c, counter := g.victimLocked()
	if c != nil {
		g.moveLocked(c, closing)
	}
	g.mu.Unlock()
	if c == nil {
		g.Budget.relieve()
		return false
	}
	counters.Add(counter, 1)
	abort(c.Conn)
	c.account.Release()
	return true
}

func (g *Gate) victimLocked() (*Conn, string) {
	for s, counter := range []string{fresh: "closed_new", idle: "closed_idle", head: "closed_head"} {
		if e := g.queues[s].Front(); e != nil {
			c := e.Value.(*Conn)
			if state(s) != head || g.now().Sub(c.since) >= slowHead {
				return c, counter
			}
		}
	}
	return nil, ""
}

// closeUnread closes the connections whose clients do not read what is written to them.
func (g *Gate) closeUnread() {
	var slow []*Conn
	now := g.now()
	g.mu.Lock()
	for e := g.queues[active].Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		if at := c.writing.Load(); at != 0 && now.Sub(time.Unix(0, at)) >= slowWrite {
			slow = append(slow, c)
		}
	}
	g.mu.Unlock()
	for _, c := range slow {
		counters.Add("closed_unread", 1)
		abort(c.Conn) // its handler ends then, and closes it
	}
}

// move changes the state of a connection, unless it is being closed.
func (g *Gate) move(c *Conn, to state) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.moveLocked(c, to)
}

func (g *Gate) moveLocked(c *Conn, to state) {
	if c.element == nil {
		return
	}
	if c.surplus && to != rejected && to != closing {
		return // it carries no request
	}
	g.queues[c.state].Remove(c.element)
	c.state, c.since, c.element = to, g.now(), nil
	if to == closing {
		if !c.surplus {
			g.count--
			counters.Add("conns", -1)
		}
		return
	}
	c.element = g.queues[to].PushBack(c)
}

// ConnState is the hook of the http.Server that serves the gate.
func (g *Gate) ConnState(conn net.Conn, s http.ConnState) {
	if c, ok := conn.(*Conn); ok {
		switch s {
		case http.StateActive:
			c.begin()
		case http.StateIdle:
			c.end()
		}
	}
	if g.Changed != nil {
		g.Changed(conn, s)
	}
}

// abort closes a connection at once, without waiting for what was not sent.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// cost returns what is charged for a connection while it is idle.
func (g *Gate) cost() int64 {
	if g.Raw {
		return connCost + activeCost
	}
	return connCost
}

// Server returns a server for the gate. Its timeouts are those that the gate replaces.
func (g *Gate) Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: Defaults.HeadTime, IdleTimeout: Defaults.IdleTime, MaxHeaderBytes: maxHead,
		ConnState: g.ConnState,
	}
}
