package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassdock/eelgrassdock/platform/wire"
)

func init() { cases["closed-listener"] = closedListener }

// stream sends a generation and reads its answer to the end.
func (r *rig) stream(n *node, id string) {
	c, err := net.Dial("tcp", n.settings.Callers)
	if err != nil {
		r.record.note("client %s: %v", id, err)
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(40 * time.Second))
	body := "prompt"
	r.record.note("client sends %s to %s", id, n.name)
	_, err = fmt.Fprintf(c, "POST /guide/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 39000\r\nAuthorization: Bearer %s\r\n"+
		"Model-Name: m\r\n%s: 1000,600\r\n%s: 5c1e07a2:80,%s:920\r\nContent-Length: %d\r\n\r\n%s", host, wire.HeaderRequest, id,
		wire.HeaderDeadline, apiKey, wire.HeaderTokens, wire.HeaderParts, id, len(body), body)
	if err != nil {
		r.record.note("client %s: %v", id, err)
		return
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.record.note("client %s: %v", id, err)
		return
	}
	data, err := io.ReadAll(res.Body)
	r.record.note("client gets %d for %s, %d bytes, error %v", res.StatusCode, id, len(data), err)
}

// closedListener lets an engine leave: it reports draining, serves on, then accepts no
// further channels and finishes what runs. Its streams make one pause then.
func closedListener(r *rig, trouble bool) (string, error) {
	r.configure(table(10))
	set := &engineSet{byAddr: map[string]*engine{}}
	var list []*engine
	for i, place := range []string{"kurzeme-a", "vidzeme-a", "latgale-a"} {
		e, err := r.addEngine(set, fmt.Sprintf("i-%d", i+1), place)
		if err != nil {
			return "", err
		}
		list = append(list, e)
	}
	if err := r.addNodes("kurzeme-a", "vidzeme-a", "latgale-a"); err != nil {
		return "", err
	}
	if err := r.awaitReady(10 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second) // contact_ms
	var clients sync.WaitGroup
	for i := range 9 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			r.stream(r.nodes[i%len(r.nodes)], fmt.Sprintf("9c41d07be2a35f%02d", i))
		}()
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	left := list[0]
	set.mu.Lock()
	for _, e := range list { // take the one with the most runs
		if len(e.runs) > len(left.runs) {
			left = e
		}
	}
	left.worksOn = true
	set.mu.Unlock()
	if trouble {
		left.drain()
		r.record.note("%s reports draining", left.id)
	}
	time.Sleep(drainTime + time.Second)
	if trouble {
		left.mu.Lock()
		_ = left.listener.Close()
		left.mu.Unlock()
		r.record.note("%s accepts no further channels and finishes its runs", left.id)
	}
	set.mu.Lock()
	left.pauseAt, left.pause = time.Now(), 1500*time.Millisecond
	set.mu.Unlock()
	clients.Wait()
	if n, text := set.overlap(400 * time.Millisecond); n > 0 {
		return fmt.Sprintf("TWICE, %d times: %s", n, text), nil
	}
	return "", nil
}
