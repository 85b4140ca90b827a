package channel

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serve answers each request on each connection with what answer writes.
func serve(t *testing.T, answer func(conn net.Conn, n int, r *http.Request) bool) string {
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
				defer func() { _ = conn.Close() }()
				read := bufio.NewReader(conn)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(read)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if !answer(conn, n, r) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func request(addr, path string) *http.Request {
	return &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: addr, Path: path}, Host: addr, Header: http.Header{}}
}

func do(t *testing.T, c *Channel, path string) (string, error) {
	r := request(c.Addr, path)
	deadline := time.Now().Add(10 * time.Second)
	if _, err := c.Send(r, deadline); err != nil {
		return "", err
	}
	res, err := c.Receive(r, deadline)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

func ok(conn net.Conn, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// A connection is used again only if it was in use lately enough.
func TestKeptConnectionsAreFreshEnough(t *testing.T) {
	addr := serve(t, func(conn net.Conn, n int, _ *http.Request) bool { return ok(conn, fmt.Sprint(n)) })
	now := time.Unix(1000, 0)
	p := &Pool{Now: func() time.Time { return now }}
	for i, want := range []string{"0", "1", "0"} {
		since := now.Add(-time.Second)
		c, err := p.Get(t.Context(), addr, since)
		require.NoError(t, err)
		body, err := do(t, c, "/")
		require.NoError(t, err)
		require.Equal(t, want, body, "request %d", i)
		p.Keep(c, 0)
		if i == 1 {
			now = now.Add(2 * time.Second)
		}
	}
}

// A connection that the other end closed, or on which bytes came that belong to
// no request, is not used again.
func TestConnectionWithSignsOfTroubleIsNotUsed(t *testing.T) {
	for name, after := range map[string]func(conn net.Conn) bool{
		"closed": func(net.Conn) bool { return false },
		"extra":  func(conn net.Conn) bool { return ok(conn, "stray") },
	} {
		t.Run(name, func(t *testing.T) {
			addr := serve(t, func(conn net.Conn, n int, _ *http.Request) bool { return ok(conn, fmt.Sprint(n)) && after(conn) })
			p := &Pool{}
			c, err := p.Get(t.Context(), addr, time.Now().Add(-time.Hour))
			require.NoError(t, err)
			body, err := do(t, c, "/")
			require.NoError(t, err)
			require.Equal(t, "0", body)
			p.Keep(c, 0)
			require.Eventually(t, func() bool { return !c.quiet() }, time.Minute, time.Millisecond)
			c, err = p.Get(t.Context(), addr, time.Now().Add(-time.Hour))
			require.NoError(t, err)
			require.True(t, c.Fresh)
			body, err = do(t, c, "/")
			require.NoError(t, err)
			require.Equal(t, "0", body)
		})
	}
}

// Nothing is repeated when the connection breaks after the request was sent.
func TestNothingIsRepeated(t *testing.T) {
	seen := make(chan string, 10)
	addr := serve(t, func(_ net.Conn, _ int, r *http.Request) bool {
		seen <- r.URL.Path
		return false
	})
	p := &Pool{}
	c, err := p.Get(t.Context(), addr, time.Now())
	require.NoError(t, err)
	_, err = do(t, c, "/once")
	require.Error(t, err)
	require.Len(t, seen, 1)
}

// An answer that was cut must not look whole, and interim answers are skipped.
func TestAnswers(t *testing.T) {
	addr := serve(t, func(conn net.Conn, _ int, r *http.Request) bool {
		switch r.URL.Path {
		case "/cut":
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
		case "/chunked":
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
		case "/interim":
			_, _ = io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\n")
			ok(conn, "whole")
		case "/garbage":
			_, _ = io.WriteString(conn, strings.Repeat("\x00\x01garbage\r\n", 5))
		}
		return false
	})
	p := &Pool{}
	for path, fails := range map[string]bool{"/cut": true, "/chunked": true, "/interim": false, "/garbage": true} {
		c, err := p.Get(t.Context(), addr, time.Now())
		require.NoError(t, err)
		body, err := do(t, c, path)
		if fails {
			require.Error(t, err, path)
		} else {
			require.NoError(t, err, path)
			require.Equal(t, "whole", body)
		}
		c.Close()
	}
}

// Connections that were idle for too long are closed, and so are those to an
// address that changed hands.
func TestTrimAndForget(t *testing.T) {
	addr := serve(t, func(conn net.Conn, _ int, _ *http.Request) bool { return ok(conn, "") })
	now := time.Unix(1000, 0)
	p := &Pool{Now: func() time.Time { return now }}
	keep := func() {
		c, err := p.Get(t.Context(), addr, now)
		require.NoError(t, err)
		_, err = do(t, c, "/")
		require.NoError(t, err)
		p.Keep(c, 8*time.Second)
	}
	keep()
	now = now.Add(5 * time.Second)
	p.Trim()
	require.NotNil(t, p.take(addr), "an endpoint that keeps connections for 8 s has not closed it after 5")
	keep()
	now = now.Add(7 * time.Second)
	p.Trim()
	require.Nil(t, p.take(addr))
	keep()
	p.Forget(addr)
	require.Nil(t, p.take(addr))
}

// A connection that cannot be made says so before anything is sent.
func TestRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err = (&Pool{}).Get(ctx, addr, time.Now())
	require.ErrorContains(t, err, "connect to "+addr)
}
