// Package port finds free ports for processes that tests and demonstrations
// start.
package port

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"

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
		if free(addr) {
			return addr, nil
		}
	}
	return "", errors.New("no port is free for TCP and UDP")
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
