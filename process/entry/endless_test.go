package entry

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
	"github.com/eelgrassdock/eelgrassdock/connection/service"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// countedConn counts the bytes that are read.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// endless accepts connections and sends a start, and then bytes without end.
func endless(t *testing.T, start string) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = io.WriteString(conn, start)
				for chunk := []byte(strings.Repeat("x", 32<<10)); ; {
					if _, err := conn.Write(chunk); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against an endpoint that sends bytes without end, in a head or in a body, and takes
// the memory of the entry: 32 MB serve all its callers (docs/design.md), so that a few such
// answers at once must fit into it.
func TestEndlessAnswersOfEndpoints(t *testing.T) {
	const head = 1 << 20
	for name, x := range map[string]struct {
		start string
		most  int64
	}{
		"head":  {start: "HTTP/1.1 200 OK\r\nX-Padding: ", most: head},
		"body":  {start: "HTTP/1.1 200 OK\r\n\r\n", most: 9 << 20}, // of the largest answer that is passed on, and one of 8 MiB is
		"event": {start: "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", most: 9 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			log, _ := test.NewNullLogger()
			// What an endpoint has sent includes what waits in the sockets of both sides, which
			// the kernel bounds: what the entry has read is counted.
			var read atomic.Int64
			e := &Entry{Log: log, Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
				return countedConn{conn, &read}, err
			}}
			e.prepare()
			t.Cleanup(e.requests.CloseIdleConnections)
			addr := endless(t, x.start)
			ctx := t.Context()
			_, err := (&service.Conn{Addr: addr, HTTP: e.requests}).Do(ctx, service.Call{Method: "GET", Path: "/", Deadline: time.Now().Add(time.Minute)})
			require.Error(t, err)
			require.NotEqual(t, refusal.NotRun, refusal.From(err).Outcome)
			require.LessOrEqual(t, read.Load(), x.most, "call of a plain service")
			read.Store(0)
			reader, err := (&engine.Conn{Addr: addr, HTTP: e.requests}).Generate(ctx, engine.Request{Gen: "g", Prompt: "p", Max: 1})
			if err == nil {
				_, err = reader.Next()
				require.NoError(t, reader.Close())
			}
			require.Error(t, err)
			require.LessOrEqual(t, read.Load(), x.most, "generation")
		})
	}
}
