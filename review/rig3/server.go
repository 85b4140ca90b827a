package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassdock/eelgrassdock/platform/wire"
)

type (
	// server is a stand-in of a replica that speaks HTTP/1.1 on raw connections.
	server struct {
		r       *rig
		id      string
		service string
		place   string
		born    int64
		addr    string
		slots   int
		// answer writes the answer to a request, and reports whether the connection is kept.
		answer func(c net.Conn, in *bufio.Reader, q *http.Request, body []byte) bool

		mu       sync.Mutex
		state    string
		sequence int64
		listener net.Listener
		conns    map[net.Conn]struct{}
		off      chan struct{}
	}
)

// addServer starts a server, which writes its row each beat.
func (r *rig) addServer(id, service, place string, slots int, answer func(c net.Conn, in *bufio.Reader, q *http.Request, body []byte) bool) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen as %s: %w", id, err)
	}
	s := &server{
		r: r, id: id, service: service, place: place, born: time.Now().UnixMilli(), addr: l.Addr().String(), slots: slots, answer: answer,
		state: "ready", listener: l, conns: map[net.Conn]struct{}{}, off: make(chan struct{}),
	}
	go s.accept(l)
	s.writeRow()
	r.ends.Add(1)
	go func() {
		defer r.ends.Done()
		ticker := time.NewTicker(beat)
		defer ticker.Stop()
		for {
			select {
			case <-r.stop:
				s.end()
				return
			case <-s.off:
				return
			case <-ticker.C:
				s.writeRow()
			}
		}
	}()
	return s, nil
}

func (s *server) writeRow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, err := json.Marshal(wire.Endpoint{
		Service: s.service, Address: s.addr, Zone: s.place, Version: "1", Slots: s.slots, State: s.state, Sequence: s.sequence, Born: s.born,
	})
	if err != nil {
		panic(err)
	}
	s.r.store.Put(wire.TableEndpoints, s.id, row)
}

// drain reports that the server leaves.
func (s *server) drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.writeRow()
}

// end closes the listener and all connections.
func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go func() {
			defer func() {
				_ = c.Close()
				s.mu.Lock()
				delete(s.conns, c)
				s.mu.Unlock()
			}()
			in := bufio.NewReader(c)
			for {
				q, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				body, err := io.ReadAll(q.Body)
				if err != nil {
					return
				}
				if !s.answer(c, in, q, body) {
					return
				}
			}
		}()
	}
}

// sealOf returns the digest of an answer.
func sealOf(id, server string) string { return "3e1b." + id + "." + server }
