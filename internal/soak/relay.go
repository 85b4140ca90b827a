package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/eelgrassdock/eelgrassdock/internal/port"
)

// Faults of a link, used in Fault.Harm.
const (
	Delay   = "delay"   // bytes arrive late
	Reset   = "reset"   // connections are closed
	OneWay  = "oneway"  // nothing arrives from the far end
	Silence = "silence" // nothing arrives, connections stay open
)

const (
	relayBuffer = 32 << 10
	delayTime   = 150 * time.Millisecond
	holdPoll    = 20 * time.Millisecond // interval between checks of the fault while bytes are held back
)

type (
	// relay forwards the connections of one link, subject to the fault that is
	// set.
	relay struct {
		addr   string // address that it listens on
		target string

		listener net.Listener
		mu       sync.Mutex
		harm     string
		until    time.Time
		conns    map[net.Conn]bool
	}
)

// newRelay starts a relay that forwards to a target. It listens on addr, or on a free
// port if addr is empty.
func newRelay(addr, target string) (*relay, error) {
	listen := port.Listen
	if addr != "" {
		listen = func() (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	l, err := listen()
	if err != nil {
		return nil, fmt.Errorf("listen for relay to %s: %w", target, err)
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
	go r.forward(far, near, false, done)
	go r.forward(near, far, true, done)
	<-done
	// One direction has ended. Bytes on their way in the other get time to
	// arrive.
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

// forward copies bytes in one direction; back is set if they come from the far
// end.
func (r *relay) forward(to, from net.Conn, back bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			r.holdBack(back)
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

// holdBack delays the caller as long as the fault of the link requires.
func (r *relay) holdBack(back bool) {
	if harm, _ := r.activeHarm(); harm == Delay {
		time.Sleep(delayTime)
	}
	for {
		harm, until := r.activeHarm()
		if harm == Silence || harm == OneWay && back {
			time.Sleep(min(time.Until(until)+time.Millisecond, holdPoll))
			continue
		}
		return
	}
}

// activeHarm returns the fault in force and its end.
func (r *relay) activeHarm() (string, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().After(r.until) {
		return "", time.Time{}
	}
	return r.harm, r.until
}

// applyHarm sets a fault of the link until a time. Reset closes the open
// connections and sets nothing.
func (r *relay) applyHarm(harm string, until time.Time) {
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

// close refuses new connections and resets open ones, as the address of a
// process that has ended does.
func (r *relay) close() {
	_ = r.listener.Close()
	r.applyHarm(Reset, time.Time{})
}
