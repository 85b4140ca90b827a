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

// Doses of garble (extra late) in the site file.
const (
	garbleShare  = 0.03            // of the answers of a replica
	garbleTime   = 5 * time.Second // of one disruption
	garblePause  = 4 * time.Second // between two
	garbleTimes  = 9
	garbleServer = 2 // replicas of three, for a share of 0.6

	callers   = 48                    // that look up, each on a kept channel
	bookers   = 96                    // the same, that book
	callerGap = 50 * time.Millisecond // between an answer and the next request
	workTime  = 10 * time.Millisecond // of a booking
)

// shed is the answer with which a server sheds, as `fleetbench wire` shows it.
const shed = "HTTP/1.1 503 Service Unavailable\r\n" + wire.HeaderNotRun + ": 1\r\n\r\n"

func init() { cases["joined-head"] = joinedHead }

// bookings records what servers ran and clients were told.
type bookings struct {
	mu       sync.Mutex
	ran      map[string]int
	promised map[string]int // status that promises that the request has not run
	garble   bool
	random   *rand.Rand
	cuts     int
}

// serve answers bookings. In a disruption, some answers are followed by a part of a second
// one, which arrives where the answer to the next request on the channel is expected.
func (b *bookings) serve(r *rig, id string, garbles bool) func(net.Conn, *bufio.Reader, *http.Request, []byte) bool {
	var late sync.Map // bytes that are still to be sent, by channel
	return func(c net.Conn, _ *bufio.Reader, q *http.Request, _ []byte) bool {
		request := q.Header.Get(wire.HeaderRequest)
		b.mu.Lock()
		b.ran[request]++
		garble := garbles && b.garble && b.random.Float64() < garbleShare
		cut := 1 + b.random.IntN(len(shed)-1)
		b.mu.Unlock()
		if extra, ok := late.LoadAndDelete(c); ok {
			_, _ = io.WriteString(c, extra.(string))
			r.record.note("%s runs %s, sends %d bytes of a second answer, then the answer, 200", id, request, len(extra.(string)))
		}
		time.Sleep(workTime)
		body := "booked " + request
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=5\r\n\r\n%s",
			wire.HeaderRequest, request, wire.HeaderSeal, sealOf(request, id), len(body), body)
		if garble {
			b.mu.Lock()
			b.cuts++
			b.mu.Unlock()
			late.Store(c, shed[:cut])
		}
		return err == nil
	}
}

// call sends bookings, one after the other, until stop is closed.
func (b *bookings) call(r *rig, n *node, name string, stop chan struct{}) {
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
		id, body := fmt.Sprintf("%s-%05d", name, i), "two tandems"
		_ = c.SetDeadline(time.Now().Add(4 * time.Second))
		_, _ = fmt.Fprintf(c, "POST /book/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 3000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
			host, wire.HeaderRequest, id, wire.HeaderDeadline, apiKey, len(body), body)
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			r.record.note("client %s: %v", id, err)
			_ = c.Close()
			c = nil
			continue
		}
		data, err := io.ReadAll(res.Body)
		switch res.StatusCode {
		case http.StatusOK:
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			b.mu.Lock()
			b.promised[id] = res.StatusCode
			b.mu.Unlock()
			fallthrough
		default:
			r.record.note("client gets %d for %s: %q", res.StatusCode, id, data)
		}
		if err != nil || res.Close {
			_ = c.Close()
			c = nil
		}
	}
}

// joinedHead lets replicas send a part of a second answer after a complete one.
func joinedHead(r *rig, trouble bool) (string, error) {
	r.configure(table(10))
	b := &bookings{ran: map[string]int{}, promised: map[string]int{}, random: rand.New(rand.NewPCG(58, 14))}
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
	for i := range bookers {
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
		r.record.note("garble begins")
		time.Sleep(garbleTime)
		b.mu.Lock()
		b.garble = false
		b.mu.Unlock()
		r.record.note("garble ends")
	}
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	r.record.note("%d bookings ran, %d answers were followed by a part of another one", len(b.ran), b.cuts)
	refused := 0
	for id, status := range b.promised {
		if b.ran[id] > 0 {
			refused++
			r.record.note("REFUSED: %s was answered %d and has run", id, status)
		}
	}
	if refused > 0 {
		return fmt.Sprintf("REFUSED, %d times: an unsafe request was answered 503 and has run", refused), nil
	}
	return "", nil
}
