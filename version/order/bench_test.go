package order

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
)

const replicas = 5200

func manyEndpoints(n int) []Desired {
	desired := make([]Desired, n)
	for i := range desired {
		desired[i] = Desired{
			Endpoint: fmt.Sprintf("e%04d", i), Addr: fmt.Sprintf("127.0.0.1:%d", i), Service: "s",
			Models: []string{"a"}, Fenced: true,
		}
	}
	return desired
}

// BenchmarkRound measures a round in which no endpoint is due. There are four
// rounds per second.
func BenchmarkRound(b *testing.B) {
	w := newWorld(manyEndpoints(replicas)...)
	w.acquireLease("A", 1000*hour)
	r := w.reconciler("A")
	w.run(2*step, r)
	b.ReportAllocs()
	for b.Loop() {
		r.round(b.Context(), func(func()) {})
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/replicas, "ns/endpoint")
}

// BenchmarkVisit measures a visit to a settled endpoint, without the network.
func BenchmarkVisit(b *testing.B) {
	w := newWorld(manyEndpoints(1)...)
	w.acquireLease("A", 1000*hour)
	r := w.reconciler("A")
	w.run(5*time.Second, r)
	e := r.list[0]
	b.ReportAllocs()
	for b.Loop() {
		r.visit(b.Context(), e)
	}
}

// counted counts the bytes of a connection in both directions.
type counted struct {
	net.Conn
	n *int64
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	atomic.AddInt64(c.n, int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	atomic.AddInt64(c.n, int64(len(b)))
	return c.Conn.Write(b)
}

// BenchmarkVisitHTTP measures the same visit over HTTP on loopback. The figures
// include the work of the simulated engine, so they are upper bounds.
func BenchmarkVisitHTTP(b *testing.B) {
	w := newWorld(manyEndpoints(1)...)
	w.acquireLease("A", 1000*hour)
	r := w.reconciler("A")
	w.run(5*time.Second, r)
	e := r.list[0]
	server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(out).Encode(e.status.Observed)
	}))
	defer server.Close()
	var bytes int64
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		return counted{conn, &bytes}, err
	}}}
	defer client.CloseIdleConnections()
	conn := engine.Conn{Addr: server.Listener.Addr().String(), HTTP: client}
	r.Observe = func(ctx context.Context, _ Desired) (engine.Report, error) { return conn.Load(ctx) }
	b.ReportAllocs()
	for b.Loop() {
		r.visit(b.Context(), e)
	}
	require.True(b, e.status.Settled)
	b.ReportMetric(float64(atomic.LoadInt64(&bytes))/float64(b.N), "B/visit")
}

// BenchmarkMessages reports the messages per endpoint and minute in simulated
// time: while all are settled, during a drain of all, and while all load a
// second model, eight at a time and 30 s each.
func BenchmarkMessages(b *testing.B) {
	for b.Loop() {
		w := newWorld(manyEndpoints(replicas)...)
		w.acquireLease("A", 1000*hour)
		r := w.reconciler("A")
		r.jitter = jitter
		w.run(time.Minute, r)
		rate := func(name string, d time.Duration) {
			before := w.messages
			w.run(d, r)
			b.ReportMetric(float64(w.messages-before)/replicas/d.Minutes(), name)
		}
		rate("steady-msg/min", 10*time.Minute)
		for i := range w.desired {
			w.desired[i].Drain = true
		}
		rate("drain-msg/min", time.Minute)
		for i := range w.desired {
			w.desired[i].Drain = false
			w.desired[i].Models = []string{"a", "b"}
			w.engines[w.desired[i].Endpoint].loadTime = 30 * time.Second
		}
		rate("load-msg/min", 10*time.Minute)
	}
}
