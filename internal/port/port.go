// Package port finds free ports for processes that tests and demonstrations
// start.
package port

import (
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
	// Ports between first and last are below the usual range from which the
	// kernel takes ports of outgoing connections (from 32768). A port of that
	// range may be taken between the search and its use.
	first = 20000
	last  = 32000

	tries = 1000 // ports looked at in one search
)

// reserved holds the locks of the ports that this process was given, until it
// ends: between the search and the use of a port, another process of this
// project must not find it.
var (
	mu       sync.Mutex
	reserved []*os.File
)

// next is the place from which the next search begins. Processes begin at
// different places, so that two that search at the same time seldom meet.
var next atomic.Int64

func init() { next.Store(int64(os.Getpid()) * 97) }

// Addr gives an address on the loopback interface whose port is free for TCP
// and UDP.
func Addr() (string, error) {
	for range tries {
		n := first + int(next.Add(1)%(last-first))
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(n))
		if reserve(n) && free(addr) {
			return addr, nil
		}
	}
	return "", errors.New("no port is free for TCP and UDP")
}

// Listen listens at a free address on the loopback interface. Unlike a Listen
// after Addr it cannot meet the socket of the search, which a process that is
// being started keeps for a moment.
func Listen() (net.Listener, error) {
	for range tries {
		n := first + int(next.Add(1)%(last-first))
		if !reserve(n) {
			continue
		}
		if l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(n))); err == nil {
			return l, nil
		}
	}
	return nil, errors.New("no port is free for TCP")
}

// reserve locks a port against other processes, and tells whether it could.
func reserve(n int) bool {
	dir := filepath.Join(os.TempDir(), "eelgrassdock-ports")
	if err := os.MkdirAll(dir, 0o777); err != nil {
		return false
	}
	f, err := os.OpenFile(filepath.Join(dir, strconv.Itoa(n)), os.O_CREATE|os.O_RDWR, 0o666)
	if err != nil {
		return false
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return false
	}
	mu.Lock()
	defer mu.Unlock()
	reserved = append(reserved, f)
	return true
}

func free(addr string) bool {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer l.Close()
	u, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	defer func() { _ = u.Close() }()
	return true
}
