package uri_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/eelgrassdock/eelgrassdock/request/uri"
)

func ExampleNew() {
	u, err := uri.New("10.0.0.1:80", "//club/2f?n=1")
	fmt.Println(u.RequestURI(), err)
	_, err = uri.New("10.0.0.1:80", "http://club/2f")
	fmt.Println(err)
	// Output:
	// //club/2f?n=1 <nil>
	// target must be a path, with or without a query, in the characters of a URL
}

// Guards against a target that net/http writes with other bytes, under any method, and against
// the refusal of one that has only characters of a URL.
func TestTargetIsWrittenAsItIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := "/" + rapid.StringMatching(`(/|//|[!-~]|%[0-9a-fA-F]{2}|[a-z;:?&=,]|\x{e9}){0,12}`).Draw(t, "target")
		method := rapid.SampledFrom([]string{http.MethodGet, http.MethodPost, http.MethodConnect}).Draw(t, "method")
		u, err := uri.New("h", text)
		if err != nil {
			require.ErrorIs(t, err, uri.ErrInvalid)
			require.True(t, strings.ContainsAny(text, "\"#<>\\^`{|}\u00e9[]") || strings.Contains(text, "%"), text)
			return
		}
		var b bytes.Buffer
		require.NoError(t, (&http.Request{Method: method, URL: u}).Write(&b))
		line, _, _ := strings.Cut(b.String(), "\r\n")
		require.Equal(t, method+" "+text+" HTTP/1.1", line)
	})
}
