package service_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/connection/service"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// TestTruncatedAnswer guards against a truncated answer that looks whole, at whatever
// byte the replica stopped before it closed the connection.
func TestTruncatedAnswer(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nX-A: b\r\n"
	for name, answer := range map[string]string{
		"length":  start + "Content-Length: 4\r\n\r\nabcd",
		"chunks":  start + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n",
		"trailer": start + "Trailer: X-B\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\nX-B: c\r\n\r\n",
		"interim": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + start + "Content-Length: 4\r\n\r\nabcd",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			prefix := make(chan string, 1)
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = io.WriteString(c, <-prefix)
					}
					_ = c.Close()
				}
			}()
			conn := &service.Conn{Addr: l.Addr().String(), HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
			for n := range len(answer) + 1 {
				prefix <- answer[:n]
				got, err := conn.Do(t.Context(), service.Call{Method: http.MethodPost, Path: "/x", Deadline: time.Now().Add(time.Minute)})
				if n == len(answer) {
					require.NoError(t, err)
					require.Equal(t, "abcd", string(got.Body))
					continue
				}
				require.Error(t, err, "%d of %d bytes: %s", n, len(answer), strings.ToValidUTF8(answer[:n], ""))
				require.Equal(t, refusal.Unknown, refusal.From(err).Outcome)
			}
		})
	}
}
