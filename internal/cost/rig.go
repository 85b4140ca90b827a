// Package cost measures the latency, processor time, memory and network traffic
// that an entry adds to the cost of its endpoints. Entries run in front of
// stand-in engines that cost little themselves. The measurements are tests;
//
//	go test ./internal/cost -cost -v
//
// prints the figures of the tables in docs/measurements.md.
package cost

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
	"github.com/eelgrassdock/eelgrassdock/internal/system"
	"github.com/eelgrassdock/eelgrassdock/process/entry"
	"github.com/eelgrassdock/eelgrassdock/process/platform"
	"github.com/eelgrassdock/eelgrassdock/version/config"
)

// pacedEngine is an engine that costs little itself. Each stream consists of a
// number of tokens, sent in one write each with a pause in between. The text of
// a token is the time at which it was sent, in nanoseconds since 1970.
type pacedEngine struct {
	pause   atomic.Int64
	tokens  atomic.Int64
	started atomic.Int64 // streams whose first token was sent
	polls   atomic.Int64 // load reports requested

	leaving    atomic.Pointer[string] // address whose reports say that it is leaving
	lateStarts atomic.Int64           // generations begun at that address since then
}

// isLeaving reports whether a request is addressed to the leaving address.
func (p *pacedEngine) isLeaving(r *http.Request) bool {
	addr := p.leaving.Load()
	return addr != nil && *addr == r.Host
}

func (p *pacedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/load":
		p.polls.Add(1)
		_ = json.NewEncoder(w).Encode(engine.Report{
			Boot: "b0e7a9d2-3c41-4f60-9a55-6c1f0d7e8b21", At: time.Now().UnixMilli(), Total: 1 << 40, Step: 25000, Models: []string{system.Model},
			Leaving: p.isLeaving(r),
		})
	case "/cache":
		_, _ = io.WriteString(w, "[]\n")
	case "/generate":
		p.generate(w, r)
	case "/order":
		_, _ = io.Copy(w, r.Body)
	}
}

// generate streams one generation.
func (p *pacedEngine) generate(w http.ResponseWriter, r *http.Request) {
	if p.isLeaving(r) {
		p.lateStarts.Add(1)
	}
	var req engine.Request
	_ = json.NewDecoder(r.Body).Decode(&req)
	control := http.NewResponseController(w)
	head := `data: {"boot":"b0e7a9d2-3c41-4f60-9a55-6c1f0d7e8b21","gen":"` + req.Gen + `","n":`
	buf := make([]byte, 0, 256)
	pause := time.Duration(p.pause.Load())
	last := int(p.tokens.Load())
	for n := 1; n <= last; n++ {
		if n > 1 && pause > 0 {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(pause):
			}
		}
		buf = strconv.AppendInt(append(buf[:0], head...), int64(n), 10)
		buf = strconv.AppendInt(append(buf, `,"text":" `...), time.Now().UnixNano(), 10)
		buf = append(buf, "\"}\n\n"...)
		if _, err := w.Write(buf); err != nil || control.Flush() != nil {
			return
		}
		if n == 1 {
			p.started.Add(1)
		}
	}
	_, _ = fmt.Fprintf(w, "%s%d,\"end\":true}\n\n", head, last)
}

// countingConn adds the bytes that a connection receives and sends to n.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// rig is a system whose endpoints are one pacedEngine on several addresses.
type rig struct {
	*system.System
	engine                       *pacedEngine
	addrs                        []string
	endpointBytes, platformBytes atomic.Int64 // exchanged by the entries with each side
	client                       *http.Client
	skew                         atomic.Int64 // nanoseconds added to the clock of the entries
}

// newRig starts entries in front of endpoints. If dial is not nil, the entries
// connect to endpoints with it.
func newRig(t testing.TB, entries, endpoints int, dial func() net.Conn) *rig {
	r := &rig{engine: &pacedEngine{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, ReadBufferSize: 2048, WriteBufferSize: 2048}}}
	for range endpoints {
		server := httptest.NewServer(r.engine)
		t.Cleanup(server.Close)
		r.addrs = append(r.addrs, server.Listener.Addr().String())
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	memory := &platform.Memory{Seed: 1}
	store := httptest.NewServer(memory.Handler())
	t.Cleanup(store.Close)
	count := func(n *atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
		return func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return countingConn{conn, n}, nil
		}
	}
	r.System = &system.System{
		Places: []system.Place{{Name: "p", Region: "r"}}, Entries: entries, Memory: memory, Log: log,
		Edit: func(doc *config.Document) {
			for i, addr := range r.addrs {
				doc.Endpoints = append(doc.Endpoints, config.Endpoint{ID: "e" + strconv.Itoa(i), Service: system.Model, Place: "p", Region: "r", Addr: addr})
			}
		},
		Prepare: func(_ int, e *entry.Entry) {
			e.Platform = (&platform.Remote{URL: store.URL, HTTP: &http.Client{Transport: &http.Transport{DialContext: count(&r.platformBytes)}}}).Platform()
			e.Dial = count(&r.endpointBytes)
			e.Now = func() time.Time { return time.Now().Add(time.Duration(r.skew.Load())) }
			if dial != nil {
				e.Dial = func(context.Context, string, string) (net.Conn, error) { return dial(), nil }
			}
		},
	}
	if err := r.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// open requests stream i, directly from an endpoint or through the first entry.
func (r *rig) open(ctx context.Context, direct bool, i int) (*http.Response, error) {
	url, body := "http://"+r.Nodes()[0].Entry.Addr()+"/v1/completions", `{"model":"guide","prompt":"p","stream":true,"max_tokens":65536}`
	if direct {
		url = "http://" + r.addrs[i%len(r.addrs)] + "/generate"
		body = fmt.Sprintf(`{"gen":"5b1d3e44-0c7a-4d0e-8f21-%012d","prompt":"p","max":65536,"model":"guide"}`, i)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer key-riga")
	req.Header.Set("X-Caller", "c"+strconv.Itoa(i))
	return r.client.Do(req)
}

// readStreams reads several streams concurrently to their end and fails the test
// if one is cut short.
func (r *rig) readStreams(t testing.TB, direct bool, streams int) {
	var wg sync.WaitGroup
	var complete atomic.Int64
	for i := range streams {
		wg.Go(func() {
			res, err := r.open(context.Background(), direct, i)
			if err != nil {
				return
			}
			defer res.Body.Close()
			buf, tail := make([]byte, 4096), []byte(nil)
			for err == nil {
				var n int
				if n, err = res.Body.Read(buf); n > 0 {
					tail = append(tail, buf[max(0, n-24):n]...)
					tail = append(tail[:0], tail[max(0, len(tail)-24):]...)
				}
			}
			if bytes.Contains(tail, []byte("[DONE]")) || bytes.Contains(tail, []byte(`"end":true`)) {
				complete.Add(1)
			}
		})
	}
	wg.Wait()
	if complete.Load() != int64(streams) {
		t.Fatalf("%d of %d streams were cut short", int64(streams)-complete.Load(), streams)
	}
}

// tokenDelays reads one stream. It returns the time from the request to the
// first token, and for each token the time from its sending to its arrival.
func (r *rig) tokenDelays(t testing.TB, direct bool) (first time.Duration, ages []time.Duration) {
	begun := time.Now()
	res, err := r.open(context.Background(), direct, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		_, rest, ok := strings.Cut(lines.Text(), `"text":" `)
		if !ok {
			continue
		}
		digits, _, _ := strings.Cut(rest, `"`)
		sent, err := strconv.ParseInt(digits, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Now()
		if ages = append(ages, now.Sub(time.Unix(0, sent))); len(ages) == 1 {
			first = now.Sub(begun)
		}
	}
	return first, ages
}

// cpuTime returns the processor time, user and system, that this process uses
// while f runs.
func cpuTime(f func()) time.Duration {
	used := func() time.Duration {
		var u syscall.Rusage
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	before := used()
	f()
	return used() - before
}

// summarize formats the median, the least and the greatest of some values and
// their number.
func summarize(values []float64, unit string) string {
	slices.Sort(values)
	return fmt.Sprintf("%.4g %s (%.4g to %.4g, n=%d)", values[len(values)/2], unit, values[0], values[len(values)-1], len(values))
}

// serveCanned serves the engine's side of a connection: each generation gets a
// canned answer of one token, each poll a canned load report or an empty list
// of cache events.
func serveCanned(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		out := `{"boot":"b","at":1,"total":1000000000}`
		if _, rest, ok := bytes.Cut(body, []byte(`"gen":"`)); ok {
			frame := `data: {"boot":"b","gen":"` + string(rest[:36]) + `","n":1,`
			out = frame + "\"text\":\" a\"}\n\n" + frame + "\"end\":true}\n\n"
		} else if req.URL.Path == "/cache" {
			out = "[]"
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Boot: b\r\nContent-Length: %d\r\n\r\n%s", len(out), out); err != nil {
			return
		}
	}
}
