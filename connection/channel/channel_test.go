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
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/internal/header"
	"github.com/eelgrassdock/eelgrassdock/internal/statuscode"
)

// serve starts a server that calls answer for the n-th request of each connection,
// from 0, and closes the connection when it returns false. It returns the address.
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

// do sends a GET request on c and returns the body of the answer.
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

// writeOK writes an answer with status 200 and reports whether it succeeded.
func writeOK(conn net.Conn, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// An idle connection must be reused only if it was last used at or after the time
// that Get is given.
func TestKeptConnectionsAreFreshEnough(t *testing.T) {
	addr := serve(t, func(conn net.Conn, n int, _ *http.Request) bool { return writeOK(conn, fmt.Sprint(n)) })
	now := time.Unix(1000, 0)
	p := &Pool{Now: func() time.Time { return now }}
	for i, want := range []string{"0", "1", "0"} {
		since := now.Add(-time.Second)
		c, err := p.Get(t.Context(), addr, since)
		require.NoError(t, err)
		body, err := do(t, c, "/")
		require.NoError(t, err)
		require.Equal(t, want, body, "request %d", i)
		p.Put(c, 0)
		if i == 1 {
			now = now.Add(2 * time.Second)
		}
	}
}

// A connection that the endpoint has closed, or on which it has sent data without a
// request, must not be reused.
func TestConnectionWithSignsOfTroubleIsNotUsed(t *testing.T) {
	for name, after := range map[string]func(conn net.Conn) bool{
		"closed": func(net.Conn) bool { return false },
		"extra":  func(conn net.Conn) bool { return writeOK(conn, "stray") },
	} {
		t.Run(name, func(t *testing.T) {
			addr := serve(t, func(conn net.Conn, n int, _ *http.Request) bool { return writeOK(conn, fmt.Sprint(n)) && after(conn) })
			p := &Pool{}
			c, err := p.Get(t.Context(), addr, time.Now().Add(-time.Hour))
			require.NoError(t, err)
			body, err := do(t, c, "/")
			require.NoError(t, err)
			require.Equal(t, "0", body)
			p.Put(c, 0)
			require.Eventually(t, func() bool { return !c.isIdle() }, time.Minute, time.Millisecond)
			c, err = p.Get(t.Context(), addr, time.Now().Add(-time.Hour))
			require.NoError(t, err)
			require.True(t, c.Fresh)
			body, err = do(t, c, "/")
			require.NoError(t, err)
			require.Equal(t, "0", body)
		})
	}
}

// A request must not be sent again when the connection breaks after it was sent.
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

// A truncated or malformed answer must be an error, and interim answers must be
// skipped.
func TestAnswers(t *testing.T) {
	addr := serve(t, func(conn net.Conn, _ int, r *http.Request) bool {
		switch r.URL.Path {
		case "/cut":
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
		case "/chunked":
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
		case "/interim":
			_, _ = io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\n")
			writeOK(conn, "whole")
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

// Guards against what follows an invalid status on the connection, such as the answer to another
// request, being taken for the answer, and against the invalid status being taken for one.
func TestInvalidStatus(t *testing.T) {
	addr := serve(t, func(conn net.Conn, _ int, r *http.Request) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Status\r\nContent-Length: 0\r\n\r\n", r.URL.Path[1:])
		return writeOK(conn, "whole")
	})
	for status, valid := range map[string]bool{
		"000": false, "001": false, "042": false, "099": false, "100": true, "101": false, "102": true, "199": true,
		"200": true, "599": true, "600": false, "999": false,
	} {
		c, err := (&Pool{}).Get(t.Context(), addr, time.Now())
		require.NoError(t, err)
		_, err = do(t, c, "/"+status)
		if valid {
			require.NoError(t, err, status)
		} else {
			require.ErrorIs(t, err, statuscode.ErrInvalid, status)
		}
		c.Close()
	}
}

// A long header, and some interim answers before it, must be accepted within the
// limit, and the limit must not count the body or earlier answers.
func TestLongHeader(t *testing.T) {
	long := "X-Long: " + strings.Repeat("x", maxHeadBytes-readBufferBytes) + "\r\n"
	body := strings.Repeat("b", 2*maxHeadBytes)
	addr := serve(t, func(conn net.Conn, _ int, r *http.Request) bool {
		if r.URL.Path == "/over" {
			_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%sContent-Length: 0\r\n\r\n", long, long)
			return err == nil
		}
		_, err := fmt.Fprintf(conn, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", long, len(body), body)
		return err == nil
	})
	c, err := (&Pool{}).Get(t.Context(), addr, time.Now())
	require.NoError(t, err)
	defer c.Close()
	for range 3 {
		got, err := do(t, c, "/")
		require.NoError(t, err)
		require.Equal(t, len(body), len(got))
	}
	_, err = do(t, c, "/over")
	require.ErrorIs(t, err, ErrSize)
}

// CloseExpired must close connections after three quarters of the endpoint's idle
// timeout, and CloseIdle all idle connections to an address, which another endpoint
// may have taken over.
func TestCloseExpiredAndIdle(t *testing.T) {
	addr := serve(t, func(conn net.Conn, _ int, _ *http.Request) bool { return writeOK(conn, "") })
	now := time.Unix(1000, 0)
	p := &Pool{Now: func() time.Time { return now }}
	keep := func() {
		c, err := p.Get(t.Context(), addr, now)
		require.NoError(t, err)
		_, err = do(t, c, "/")
		require.NoError(t, err)
		p.Put(c, 8*time.Second)
	}
	keep()
	now = now.Add(5 * time.Second)
	p.CloseExpired()
	require.NotNil(t, p.popIdle(addr), "an endpoint that keeps connections for 8 s has not closed it after 5")
	keep()
	now = now.Add(7 * time.Second)
	p.CloseExpired()
	require.Nil(t, p.popIdle(addr))
	keep()
	p.CloseIdle(addr)
	require.Nil(t, p.popIdle(addr))
}

// A refused connection must be reported by Get, before anything is sent.
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

// Guards against a part of an answer that is read as one head with the answer after it, also in
// a head that is longer than the read buffer, and against whole answers that are rejected
// because they arrive together.
func TestJoinedAnswers(t *testing.T) {
	long := "X-Long: " + strings.Repeat("x", 3*readBufferBytes)
	for name, x := range map[string]struct {
		before string
		joined bool
	}{
		"nothing":            {"", false},
		"a whole answer":     {"HTTP/1.1 103 Early Hints\r\n" + long + "\r\n\r\n", false},
		"part of a status":   {"HTTP/1.1 503 Serv", true},
		"part of a header":   {"HTTP/1.1 503 Service Unavailable\r\nDate: Mon", true},
		"part of a long one": {"HTTP/1.1 503 Service Unavailable\r\n" + long, true},
		"dropped field":      {"HTTP/1.1 503 Service Unavailable\r\nConnection: ", true},
	} {
		t.Run(name, func(t *testing.T) {
			addr := serve(t, func(conn net.Conn, _ int, _ *http.Request) bool {
				_, err := io.WriteString(conn, x.before+"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody")
				return err == nil
			})
			var p Pool
			c, err := p.Get(t.Context(), addr, time.Now())
			require.NoError(t, err)
			defer c.Close()
			body, err := do(t, c, "/")
			if x.joined {
				require.ErrorIs(t, err, header.ErrJoined)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "body", body)
		})
	}
}

// Guards against a request that stays on a connection whose other end is gone: a host that has
// restarted resets it within a second of silence, and one that does not respond is given up
// within 4 s.
func TestKernelProbesSilentConnections(t *testing.T) {
	var p Pool
	c, err := p.Get(t.Context(), serve(t, func(net.Conn, int, *http.Request) bool { return true }), time.Now())
	require.NoError(t, err)
	defer c.Close()
	raw, err := c.conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	option := map[int]int{}
	require.NoError(t, raw.Control(func(fd uintptr) {
		for _, name := range []int{syscall.TCP_KEEPIDLE, syscall.TCP_KEEPINTVL, syscall.TCP_KEEPCNT} {
			value, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, name)
			assert.NoError(t, err)
			option[name] = value
		}
		value, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
		assert.NoError(t, err)
		assert.NotZero(t, value, "keep-alive probes")
	}))
	require.LessOrEqual(t, option[syscall.TCP_KEEPIDLE], 1, "seconds")
	require.LessOrEqual(t, option[syscall.TCP_KEEPIDLE]+option[syscall.TCP_KEEPCNT]*option[syscall.TCP_KEEPINTVL], 4, "seconds")
}
