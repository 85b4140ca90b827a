package engine_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// Guards against a generation that runs, but counts as not run: the engine refuses the
// first request, and sends that refusal once more on each connection that has carried
// another request, where the next answer is due.
func TestEarlierRefusalIsNotBelieved(t *testing.T) {
	const (
		refused = "HTTP/1.1 503 No\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
		loaded  = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
		runs    = "HTTP/1.1 200 OK\r\nX-Boot: b\r\nContent-Length: 0\r\n\r\n"
	)
	for _, polled := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		requests := make(chan int, 1)
		requests <- 0
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
						answer := loaded
						if req.Method == http.MethodPost {
							count := <-requests
							requests <- count + 1
							switch {
							case count == 0:
								answer = refused
							case n > 0:
								answer = refused + runs
							default:
								answer = runs
							}
						}
						_, _ = io.WriteString(conn, answer)
					}
				}()
			}
		}()
		client := &http.Client{Transport: &http.Transport{}}
		conn := &engine.Conn{Addr: l.Addr().String(), HTTP: client}
		for i := range 5 {
			if polled { // leaves a kept connection
				_, err := conn.Load(context.Background())
				require.NoError(t, err)
			}
			reader, err := conn.Generate(context.Background(), engine.Request{Gen: "g"})
			switch {
			case err == nil:
				require.NoError(t, reader.Close())
			case i > 0:
				require.Equal(t, refusal.Unknown, refusal.From(err).Outcome, err)
				require.True(t, polled, err)
			}
		}
		client.CloseIdleConnections()
	}
}
