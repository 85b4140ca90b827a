package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/eelgrassdock/eelgrassdock/connection/service"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// Guards against a call whose replica gets another target than the caller has sent, or one
// that is routed by other segments than the replica reads.
func TestTargetOfACallIsSentAsItCame(t *testing.T) {
	seen := make(chan string, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				seen <- r.RequestURI
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			}
			_ = c.Close()
		}
	}()
	router := httprouter.New()
	router.RedirectTrailingSlash, router.RedirectFixedPath = false, false
	router.GET(servicesPath+":service/*path", func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		target, err := callTarget(r.URL, p.ByName("path"))
		if err == nil {
			_, err = (&service.Conn{Addr: l.Addr().String()}).Do(context.WithoutCancel(r.Context()), service.Call{
				Method: r.Method, Path: target, Deadline: time.Now().Add(time.Minute),
			})
		}
		if err != nil {
			w.WriteHeader(refusal.From(err).Status())
		}
	})
	entry := httptest.NewServer(router)
	defer entry.Close()
	get := func(target string) (status int) {
		c, err := net.Dial("tcp", entry.Listener.Addr().String())
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		_, err = fmt.Fprintf(c, "GET /v1/services/orders%s HTTP/1.1\r\nHost: h\r\n\r\n", target)
		require.NoError(t, err)
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		_ = res.Body.Close()
		return res.StatusCode
	}
	for _, target := range []string{"/a;b", "/a?", "/?x", "/b:c", "/%C3%A9", "/%c3%a9%3B", "//a", "/a%3fb?%zz"} {
		require.Equal(t, http.StatusOK, get(target), target)
		require.Equal(t, target, <-seen)
	}
	for _, target := range []string{"/a%2Fb", "/a%2fb", "/a|b", "/a#b", "//a\u00e9", "//a#b"} {
		require.Equal(t, http.StatusBadRequest, get(target), target)
	}
	pieces := []string{
		"/", "a", ";", ":", "?", "%2F", "%3f", "%C3%A9", "%c3%a9", "\u00e9", ".", "&", "=", "+", "%20", "#", "|", "\"", "[", "*", "'", "~", "@", ",", "$",
	}
	rapid.Check(t, func(rt *rapid.T) {
		target := "/" + strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 8).Draw(rt, "pieces"), "")
		if get(target) == http.StatusOK {
			require.Equal(rt, target, <-seen)
			return
		}
		path, _, _ := strings.Cut(target, "?")
		_, err := url.ParseRequestURI(target)
		require.True(rt, err != nil || strings.Contains(path, "%2F") || strings.ContainsAny(path, "\u00e9#|\"[") || strings.HasPrefix(path, "//"), target)
	})
}
