package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/eelgrassdock/eelgrassdock/internal/port"
)

// Harms to a link.
const (
	Delay   = "delay"   // bytes arrive late
	Reset   = "reset"   // connections are closed
	OneWay  = "oneway"  // nothing arrives from the far end
	Silence = "silence" // nothing arrives, connections stay open
)

const (
	relayBuffer = 32 << 10
	delayTime   = 150 * time.Millisecond
	sliceTime   = 20 * time.Millisecond // between looks at the harm while bytes are held
)

type (
	// relay passes the connections of one link on, with the harm that is set.
	relay struct {
		addr   string // where it listens
		target string

		listener net.Listener
		mu       sync.Mutex
		harm     string
		until    time.Time
		conns    map[net.Conn]bool
	}
)

// newRelay starts a relay to a target.
func newRelay(target string) (*relay, error) {
	l, err := port.Listen()
	if err != nil {
		return nil, fmt.Errorf("relay to %s: %w", target, err)
	}
	r := &relay{addr: l.Addr().String(), target: target, listener: l, conns: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return // closed
		}
		go r.serve(near)
	}
}

func (r *relay) serve(near net.Conn) {
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = near.(*net.TCPConn).SetLinger(0)
		_ = near.Close()
		return
	}
	r.track(near, far)
	defer r.untrack(near, far)
	done := make(chan struct{}, 2)
	go r.pass(far, near, false, done)
	go r.pass(near, far, true, done)
	<-done
	// One direction has ended: what is on its way in the other still arrives.
	select {
	case <-done:
	case <-time.After(delayTime):
	}
}

func (r *relay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = true
	}
}

func (r *relay) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
		_ = c.Close()
	}
}

// pass copies bytes; back says that they come from the far end.
func (r *relay) pass(to, from net.Conn, back bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			r.hold(back)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				if c, ok := to.(*net.TCPConn); ok {
					_ = c.CloseWrite()
				}
			}
			return
		}
	}
}

// hold waits while the harm of the link keeps bytes back.
func (r *relay) hold(back bool) {
	if harm, _ := r.state(); harm == Delay {
		time.Sleep(delayTime)
	}
	for {
		harm, until := r.state()
		if harm == Silence || harm == OneWay && back {
			time.Sleep(min(time.Until(until)+time.Millisecond, sliceTime))
			continue
		}
		return
	}
}

// state gives the harm in force.
func (r *relay) state() (string, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().After(r.until) {
		return "", time.Time{}
	}
	return r.harm, r.until
}

// hurt harms the link until a time.
func (r *relay) hurt(harm string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if harm != Reset {
		r.harm, r.until = harm, until
		return
	}
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// close refuses connections and resets those that are open, as an address
// without a process does.
func (r *relay) close() {
	_ = r.listener.Close()
	r.hurt(Reset, time.Time{})
}
