package service_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/connection/service"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// server starts a server that sends the n-th of the raw answers to the n-th request
// of all connections. An empty or missing answer closes the connection. It returns
// the address and a counter of requests.
func server(t *testing.T, answers ...string) (addr string, got *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	got = &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					n := int(got.Add(1))
					if n > len(answers) || answers[n-1] == "" {
						return
					}
					_, _ = io.WriteString(conn, answers[n-1])
				}
			}()
		}
	}()
	return l.Addr().String(), got
}

// TestOutcomes guards against a wrong reason or outcome of a call, and against a
// call that net/http sends twice, also when the server closes an idle keep-alive
// connection.
func TestOutcomes(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, tt := range map[string]struct {
		answers []string
		reason  refusal.Reason
		outcome refusal.Outcome
	}{
		"answered":          {[]string{ok}, "", refusal.Run},
		"failed":            {[]string{"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"}, "", refusal.Run},
		"rejected":          {[]string{"HTTP/1.1 503 No\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"}, refusal.Rejected, refusal.NotRun},
		"closed":            {[]string{""}, refusal.Broken, refusal.Unknown},
		"closed in answer":  {[]string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\no", ""}, refusal.Timeout, refusal.Unknown},
		"no HTTP":           {[]string{"what?\r\n\r\n"}, refusal.Broken, refusal.Unknown},
		"closed when idle":  {[]string{ok, ""}, refusal.Broken, refusal.Unknown},
		"silent":            {[]string{"HTTP/1.1 "}, refusal.Timeout, refusal.Unknown},
		"redirect":          {[]string{"HTTP/1.1 303 See\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n"}, "", refusal.Run},
		"nobody is there":   {nil, refusal.Dial, refusal.NotRun},
		"deadline in past":  {[]string{}, refusal.Dial, refusal.NotRun},
		"timeout in answer": {[]string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\no"}, refusal.Timeout, refusal.Unknown},
	} {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			for _, body := range []string{"", "body"} {
				t.Run(name+" "+method+" "+body, func(t *testing.T) {
					addr, got := server(t, tt.answers...)
					deadline := time.Now().Add(100 * time.Millisecond)
					switch {
					case tt.answers == nil:
						addr = "127.0.0.1:1"
					case len(tt.answers) == 0:
						deadline = time.Now().Add(-time.Second)
					}
					h := &http.Client{Transport: &http.Transport{}}
					defer h.CloseIdleConnections()
					conn := &service.Conn{Addr: addr, HTTP: h}
					var err error
					calls := 1
					if name == "closed when idle" {
						calls = 2
					}
					for range calls {
						_, err = conn.Do(context.Background(), service.Call{
							Method: method, Path: "/x", Body: []byte(body), Deadline: deadline,
						})
					}
					require.LessOrEqual(t, got.Load(), int64(calls), "sent twice")
					if tt.outcome == refusal.Run {
						require.NoError(t, err)
						return
					}
					fault := refusal.From(err)
					require.Equal(t, tt.outcome, fault.Outcome, err)
					require.Equal(t, tt.reason, fault.Reason, err)
				})
			}
		}
	}
}
