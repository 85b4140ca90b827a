package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassdock/eelgrassdock/platform/wire"
)

const failShare = 0.14 // of the requests that a replica answers with 500, as in the site file

func init() { cases["joined-success"] = joinedSuccess }

// lookups records how servers answered.
type lookups struct {
	mu     sync.Mutex
	status map[string][]int // of the answers to a request
	garble bool
	random *rand.Rand
	cuts   int
	broken []string
}

// serve answers look-ups. Some answers are followed by a part of a copy of themselves.
func (b *lookups) serve(r *rig, id string, garbles bool) func(net.Conn, *bufio.Reader, *http.Request, []byte) bool {
	var late sync.Map
	return func(c net.Conn, _ *bufio.Reader, q *http.Request, _ []byte) bool {
		request := q.Header.Get(wire.HeaderRequest)
		b.mu.Lock()
		status := http.StatusOK
		if b.random.Float64() < failShare {
			status = http.StatusInternalServerError
		}
		b.status[request] = append(b.status[request], status)
		garble := garbles && b.garble && b.random.Float64() < garbleShare
		place := b.random.Float64()
		b.mu.Unlock()
		if extra, ok := late.LoadAndDelete(c); ok {
			_, _ = io.WriteString(c, extra.(string))
			r.record.note("%s runs %s, sends %d bytes of a copy of its last answer, then the answer, %d", id, request, len(extra.(string)), status)
		}
		time.Sleep(workTime)
		body := http.StatusText(status) + " " + request
		answer := fmt.Sprintf("HTTP/1.1 %d %s\r\nDate: %s\r\nServer: desk\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", status,
			http.StatusText(status), time.Now().UTC().Format(http.TimeFormat), wire.HeaderRequest, request, wire.HeaderSeal, sealOf(request, id), len(body), body)
		_, err := io.WriteString(c, answer)
		if garble {
			b.mu.Lock()
			b.cuts++
			b.mu.Unlock()
			late.Store(c, answer[:1+int(place*float64(len(answer)-1))])
		}
		return err == nil
	}
}

func (b *lookups) check(r *rig, id string, status int, seal string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if status != http.StatusOK {
		return
	}
	for i, at := range []string{"i-1", "i-2", "i-3"} {
		if seal == sealOf(id, at) && len(b.status[id]) > 0 && b.status[id][len(b.status[id])-1] != http.StatusOK {
			r.record.note("client gets %d for %s with digest %s", status, id, seal)
			b.broken = append(b.broken, fmt.Sprintf("%s: 200 with the digest of replica %d, which answered 500", id, i+1))
		}
	}
}

func (b *lookups) call(r *rig, n *node, name string, stop chan struct{}) {
	var c net.Conn
	var in *bufio.Reader
	for i := 0; ; i++ {
		select {
		case <-stop:
			if c != nil {
				_ = c.Close()
			}
			return
		case <-time.After(callerGap):
		}
		if c == nil {
			var err error
			if c, err = net.Dial("tcp", n.settings.Callers); err != nil {
				c = nil
				continue
			}
			in = bufio.NewReader(c)
		}
		id := fmt.Sprintf("%s-%05d", name, i)
		_ = c.SetDeadline(time.Now().Add(4 * time.Second))
		_, _ = fmt.Fprintf(c, "GET /rack/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 3000\r\nAuthorization: Bearer %s\r\n\r\n", host, wire.HeaderRequest, id, wire.HeaderDeadline, apiKey)
		res, err := http.ReadResponse(in, nil)
		if err == nil {
			_, err = io.ReadAll(res.Body)
			b.check(r, id, res.StatusCode, res.Header.Get(wire.HeaderSeal))
		}
		if err != nil || res.Close {
			_ = c.Close()
			c = nil
		}
	}
}

// joinedSuccess lets replicas send a part of a copy after a complete answer.
func joinedSuccess(r *rig, trouble bool) (string, error) {
	r.configure(table(10))
	b := &lookups{status: map[string][]int{}, random: rand.New(rand.NewPCG(58, 15))}
	for i, place := range []string{"kurzeme-a", "vidzeme-a", "latgale-a"} {
		id := fmt.Sprintf("i-%d", i+1)
		if _, err := r.addServer(id, plain, place, 6, b.serve(r, id, trouble && i < garbleServer)); err != nil {
			return "", err
		}
	}
	if err := r.addNodes("kurzeme-a", "vidzeme-a", "latgale-a"); err != nil {
		return "", err
	}
	if err := r.awaitReady(10 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second) // contact_ms
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range callers {
		clients.Add(1)
		go func() {
			defer clients.Done()
			b.call(r, r.nodes[i%len(r.nodes)], fmt.Sprintf("c%02d", i), stop)
		}()
	}
	for range garbleTimes {
		time.Sleep(garblePause)
		b.mu.Lock()
		b.garble = true
		b.mu.Unlock()
		time.Sleep(garbleTime)
		b.mu.Lock()
		b.garble = false
		b.mu.Unlock()
	}
	close(stop)
	clients.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	r.record.note("%d look-ups ran, %d answers were followed by a part of another one", len(b.status), b.cuts)
	for _, text := range b.broken {
		r.record.note("MIXED: %s", text)
	}
	if len(b.broken) > 0 {
		return fmt.Sprintf("MIXED, %d times: %s", len(b.broken), b.broken[0]), nil
	}
	return "", nil
}
