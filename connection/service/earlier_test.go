package service_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/connection/service"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// refuser starts a replica that refuses the first call and runs each later one. On a
// connection that has carried another request it sends a refusal once more where the
// answer is due. It returns the address and a function that counts the runs.
func refuser(t *testing.T) (addr string, runs func() int) {
	const (
		refused = "HTTP/1.1 503 No\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
		healthy = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	calls := make(chan int, 1)
	calls <- 0
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for n := 0; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					answer := healthy
					if req.URL.Path != "/health" {
						count := <-calls
						if calls <- count + 1; count == 0 {
							answer = refused
						} else if n > 0 {
							answer = refused + healthy
						}
					}
					_, _ = io.WriteString(conn, answer)
				}
			}()
		}
	}()
	return l.Addr().String(), func() int {
		n := <-calls
		calls <- n
		return n - 1
	}
}

// Guards against a call that runs, but counts as not run and is made at another replica
// too: the replica sends an earlier refusal once more on a kept connection.
func TestEarlierRefusalIsNotBelieved(t *testing.T) {
	for _, polled := range []bool{false, true} {
		addr, runs := refuser(t)
		client := &http.Client{Transport: &http.Transport{}}
		conn := &service.Conn{Addr: addr, HTTP: client}
		for range 5 {
			if polled { // leaves a kept connection
				_, err := conn.Health(context.Background())
				require.NoError(t, err)
			}
			before := runs()
			_, err := conn.Do(context.Background(), service.Call{Method: http.MethodPost, Path: "/x", Deadline: time.Now().Add(time.Minute)})
			if err != nil && runs() > before && before >= 0 {
				require.Equal(t, refusal.Unknown, refusal.From(err).Outcome, err)
			}
			if !polled && before >= 0 {
				require.NoError(t, err)
			}
		}
		client.CloseIdleConnections()
	}
}
