package member

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
)

const (
	readBuffer = 1 << 20          // bytes of socket buffer; covers a pause of seconds
	seedLimit  = 10 * time.Second // timeout of a call of Seeds
)

// Socket sends and receives datagrams over UDP.
type Socket struct {
	// Panicked is called with a panic of the function that is called with a datagram; nil
	// means that it is counted only. It is set before Serve.
	Panicked func(*panics.Recovered)

	conn *net.UDPConn
}

// ListenUDP opens a socket at an IP address and port; with port 0, the system
// chooses a free port.
func ListenUDP(addr string) (*Socket, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("parse probe address: %w", err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, fmt.Errorf("listen for probes: %w", err)
	}
	_ = conn.SetReadBuffer(readBuffer) // a smaller buffer only loses more datagrams
	return &Socket{conn: conn}, nil
}

// Addr returns the address that the socket is bound to.
func (s *Socket) Addr() string { return s.conn.LocalAddr().String() }

// Close closes the socket, which ends Serve.
func (s *Socket) Close() error { return s.conn.Close() }

// Send sends one datagram to an IP address and port.
func (s *Socket) Send(addr string, data []byte) error {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("parse member address: %w", err)
	}
	if _, err := s.conn.WriteToUDPAddrPort(data, ap); err != nil {
		return fmt.Errorf("send datagram: %w", err)
	}
	return nil
}

// Serve calls receive with each datagram and its sender's address until the
// socket is closed. Read errors are counted and otherwise ignored. The data is
// valid only during the call. A panic ends the handling of that datagram only.
func (s *Socket) Serve(receive func(data []byte, from string)) error {
	buf := make([]byte, 2*maxDatagram)
	for {
		size, from, err := s.conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			counts.Add("read_failed", 1) // such as ECONNREFUSED caused by an earlier datagram
			time.Sleep(time.Millisecond)
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if fault := panics.Try(func() { receive(buf[:size], from.String()) }); fault != nil {
			counts.Add("panicked", 1)
			if s.Panicked != nil {
				s.Panicked(fault)
			}
		}
	}
}

// Run drives the node until ctx ends and returns the error of ctx. If Send is nil,
// it opens a UDP socket at Self.Probe and serves it. It fails at once if Self is
// invalid or the socket cannot be opened.
func (n *Node) Run(ctx context.Context) error {
	// Datagrams may arrive before Run is called, so Self and Send are read with
	// the lock held.
	n.mu.Lock()
	valid, open := rowOf(n.Self, Alive).valid(), n.Send == nil
	n.mu.Unlock()
	if !valid {
		return errors.Newf("member %q needs an ID and IP addresses with ports, each short", n.Self.ID)
	}
	var wg conc.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if open {
		socket, err := ListenUDP(n.Self.Probe)
		if err != nil {
			return err
		}
		defer func() { _ = socket.Close() }()
		socket.Panicked = n.Panicked
		n.mu.Lock()
		n.Send = socket.Send
		n.mu.Unlock()
		wg.Go(func() { _ = socket.Serve(n.Receive) })
	}
	wg.Go(func() { n.seedLoop(ctx) })
	ticker := time.NewTicker(Tick)
	defer ticker.Stop()
	for {
		n.Step(n.now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// seedLoop reads the seeds about once a minute, and about every two seconds while
// that fails or this node has no other members.
func (n *Node) seedLoop(ctx context.Context) {
	if n.Seeds == nil {
		return
	}
	for {
		call, cancel := context.WithTimeout(ctx, seedLimit)
		list, err := n.Seeds(call)
		cancel()
		if err != nil {
			counts.Add("seeds_failed", 1)
		} else {
			n.SetSeeds(list)
		}
		// The members that the seeds lead to are known a moment later.
		if !n.pause(ctx, seedInterval/30) {
			return
		}
		if err == nil && len(n.Members()) > 1 && !n.pause(ctx, seedInterval) {
			return
		}
	}
}

// pause waits for half to one and a half times d, and reports whether ctx has not ended.
func (n *Node) pause(ctx context.Context, d time.Duration) bool {
	return sleep.For(ctx, d/2+time.Duration(float64(d)*n.fraction()))
}

// fraction returns a random number in [0, 1).
func (n *Node) fraction() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.start(n.now())
	return n.random.Float64()
}
