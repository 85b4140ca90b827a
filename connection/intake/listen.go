package intake

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

const (
	// waitingBuffer is the kernel's receive buffer of a connection until it carries a
	// longer body. Received bytes that are not read count as memory of the process, also
	// those of connections that it has not accepted yet. 24 KB are received then (measured),
	// which is a whole request of the deployments.
	waitingBuffer = 16 << 10
	// bodyBuffer is the receive buffer while a longer body arrives. It does not grow, as it
	// does by default. 112 KB are received then (measured): 450 Mbit/s at 2 ms, the round
	// trip of callers in the region, 15 Mbit/s at 60 ms.
	bodyBuffer = 64 << 10
	// backlog is the number of connections that wait to be accepted. The default of Linux,
	// 4096, would be 98 MB of received bytes.
	backlog = 256
)

// Listen listens for TCP on an address. If the budget has a bound, the connections that
// wait to be accepted have one too.
func Listen(addr string, budget *Budget) (net.Listener, error) {
	if !budget.Bounded() {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, fmt.Errorf("listen at %s: %w", addr, err)
		}
		return l, nil
	}
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return control(c, func(fd int) error {
			return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, waitingBuffer)
		})
	}}
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", addr, err)
	}
	// A second call changes the backlog, which package net does not let one choose.
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = control(raw, func(fd int) error { return syscall.Listen(fd, backlog) })
	}
	if err != nil {
		return nil, errors.CombineErrors(fmt.Errorf("bound connections at %s: %w", addr, err), l.Close())
	}
	return l, nil
}

func control(c syscall.RawConn, set func(fd int) error) error {
	var result error
	if err := c.Control(func(fd uintptr) { result = set(int(fd)) }); err != nil {
		return fmt.Errorf("use socket: %w", err)
	}
	return result
}
