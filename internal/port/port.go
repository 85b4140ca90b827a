// Package port finds free loopback ports for processes that tests and
// demonstrations start.
//
// A port that is found stays locked for other processes that use this package
// until the finding process ends, because it is bound only some time after the
// search.
package port

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
)

const (
	// Ports from firstPort up to, but not including, endPort are searched. They
	// are below the range from which the kernel usually takes the local ports of
	// outgoing connections (from 32768): a port in that range may be taken between
	// the search and its use.
	firstPort = 20000
	endPort   = 32000

	maxTries = endPort - firstPort // in one search
)

// reserved holds the lock files of the ports that this process has reserved,
// open until it ends. Without the lock, another process of this project could
// find the same port between the search and its use.
var (
	mu       sync.Mutex
	reserved []*os.File
)

// offset is the position in the range at which the last search stopped. It
// starts from the process ID, so that processes that search at the same time
// seldom try the same ports.
var offset atomic.Int64

func init() { offset.Store(int64(os.Getpid()) * 97) }

// Addr returns an address on the loopback interface whose port is free for TCP
// and UDP.
func Addr() (string, error) {
	var last error
	for range maxTries {
		n := firstPort + int(offset.Add(1)%(endPort-firstPort))
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(n))
		if last = reserve(n); last != nil {
			continue
		}
		if last = checkFree(addr); last == nil {
			return addr, nil
		}
	}
	return "", errors.Wrap(last, "no port is free for TCP and UDP")
}

// Listen listens for TCP on a free port of the loopback interface. Listening on
// an address from Addr instead can fail with "address already in use": a child
// process that is just being forked inherits the socket that Addr opened to test
// the port, and keeps it open until it executes its program.
func Listen() (net.Listener, error) {
	var last error
	for range maxTries {
		n := firstPort + int(offset.Add(1)%(endPort-firstPort))
		if last = reserve(n); last != nil {
			continue
		}
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(n)))
		if err == nil {
			return l, nil
		}
		last = err
	}
	return nil, errors.Wrap(last, "no port is free for TCP")
}

// reserve locks a port against other processes that use this package.
func reserve(n int) error {
	dir := filepath.Join(os.TempDir(), "eelgrassdock-ports")
	if err := os.MkdirAll(dir, 0o777); err != nil {
		return fmt.Errorf("create directory of port locks: %w", err)
	}
	f, err := os.OpenFile(filepath.Join(dir, strconv.Itoa(n)), os.O_CREATE|os.O_RDWR, 0o666)
	if err != nil {
		return fmt.Errorf("open port lock: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return fmt.Errorf("lock port %d: %w", n, err)
	}
	mu.Lock()
	defer mu.Unlock()
	reserved = append(reserved, f)
	return nil
}

// checkFree returns an error unless an address can be bound for TCP and UDP.
func checkFree(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for TCP: %w", err)
	}
	defer l.Close()
	u, err := net.ListenPacket("udp", addr)
	if err != nil {
		return fmt.Errorf("listen for UDP: %w", err)
	}
	return u.Close()
}
