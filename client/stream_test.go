package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tmaxmax/go-sse"

	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// tokenEvent returns the event of token n, with resume token id.
func tokenEvent(id string, n int) string {
	return fmt.Sprintf("id: %s.%d\ndata: {\"id\":\"gen\",\"choices\":[{\"text\":\"t\"}]}\n\n", id, n)
}

// feedEvents processes the events of a stream with a state that has n tokens, and
// checks that tokens are yielded once and in order.
func feedEvents(t *testing.T, stream string, n int) (*completionState, error) {
	r := &completionState{n: n, id: "s.7"}
	last := n
	r.yield = func(token Token, err error) bool {
		require.NoError(t, err)
		require.Equal(t, last+1, token.N)
		last = token.N
		return true
	}
	for event, err := range sse.Read(strings.NewReader(stream), &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return r, err
		}
		if err := r.handleEvent(event); err != nil || r.done {
			return r, err
		}
	}
	return r, nil
}

// TestEvents guards against tokens that are repeated, skipped or lost when a
// stream is resumed, and against a position that moves backwards.
func TestEvents(t *testing.T) {
	const open, done = "event: open\nid: s.0\ndata: {}\n\n", "data: [DONE]\n\n"
	for name, tt := range map[string]struct {
		stream string
		n      int
		id     string
		done   bool
		reason refusal.Reason
	}{
		"whole":     {open + tokenEvent("s", 1) + tokenEvent("s", 2) + done, 0, "s.2", true, ""},
		"not begun": {open, 0, "s.0", false, ""},
		"resumed":   {open, 7, "s.7", false, ""},
		"renewed":   {strings.ReplaceAll(open, "s.0", "new.0"), 7, "new.7", false, ""},
		"repeated":  {open + tokenEvent("s", 6) + tokenEvent("s", 7) + tokenEvent("s", 8), 7, "s.8", false, ""},
		"second generation": {
			tokenEvent("s", 8) + "id: s.9\ndata: {\"id\":\"other\",\"choices\":[{\"text\":\"t\"}]}\n\n", 7, "s.8", false, refusal.Garbage,
		},
		"gap":       {open + tokenEvent("s", 9), 7, "s.7", false, refusal.Garbage},
		"no id":     {"data: {\"choices\":[{\"text\":\"t\"}]}\n\n", 7, "s.7", false, refusal.Garbage},
		"bad open":  {"event: open\nid: x\ndata: {}\n\n", 7, "s.7", false, refusal.Garbage},
		"malformed": {open + "id: s.8\ndata: {\n\n", 7, "s.7", false, refusal.Garbage},
		"no choice": {open + "id: s.8\ndata: {}\n\n", 7, "s.7", false, refusal.Garbage},
		"token without an id": {
			open + tokenEvent("s", 8) + "data: {\"id\":\"gen\",\"choices\":[{\"text\":\"t\"}]}\n\n" + done, 7, "s.8", false, refusal.Garbage,
		},
		"first token without an id": {
			open + "data: {\"id\":\"gen\",\"choices\":[{\"text\":\"t\"}]}\n\n" + done, 0, "s.0", false, refusal.Garbage,
		},
		"twice":      {open + tokenEvent("s", 8) + tokenEvent("s", 8), 7, "s.8", false, refusal.Garbage},
		"back":       {open + tokenEvent("s", 6) + tokenEvent("s", 5) + done, 7, "s.7", false, refusal.Garbage},
		"cut":        {open + tokenEvent("s", 8) + tokenEvent("s", 9)[:9], 7, "s.8", false, ""},
		"cut end":    {open + tokenEvent("s", 8) + done[:12], 7, "s.8", false, ""},
		"error text": {open + tokenEvent("s", 8) + "data: {\"error\":1}\n\n", 7, "s.8", false, refusal.Garbage},
		"head":       {open + tokenEvent("s", 8) + "HTTP/1.1 500 no\r\nContent-Length: 4\r\n\r\nfail\n\n", 7, "s.8", false, ""},
		"lost":       {"event: error\ndata: {\"title\":\"generation_lost\",\"ran\":\"maybe\"}\n\n", 7, "s.7", false, refusal.GenerationLost},
		"no problem": {"event: error\ndata: ?\n\n", 7, "s.7", false, refusal.Internal},
	} {
		r, err := feedEvents(t, tt.stream, tt.n)
		require.Equal(t, tt.id, r.id, name)
		require.Equal(t, tt.done, r.done, name)
		if tt.reason == "" {
			require.NoError(t, err, name)
			continue
		}
		require.Equal(t, tt.reason, refusal.From(err).Reason, name)
	}
	_, err := feedEvents(t, "event: moved\ndata: {}\n\n", 7)
	require.True(t, errors.Is(err, errMoved))
}

// TestFinalRefusal guards against a client that repeats a call until its deadline
// although an entry has already reported its outcome as unknown.
func TestFinalRefusal(t *testing.T) {
	var posts int
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/entries" {
			_, _ = fmt.Fprintf(w, `{"entries":[{"id":"a","addr":%q}],"until":"2100-01-01T00:00:00Z"}`, r.Host)
			return
		}
		posts++
		refusal.Write(w, refusal.New(refusal.Broken, refusal.Unknown, "replica closed the connection"), time.Now())
	}))
	defer server.Close()
	c := &Client{Entries: []string{server.Listener.Addr().String()}}
	for i, key := range []string{"", "own"} {
		_, err := c.Call(context.Background(), Call{Service: "s", Method: "POST", Path: "/", Key: key, Deadline: time.Now().Add(time.Second)})
		require.Equal(t, refusal.Unknown, refusal.From(err).Outcome)
		require.Equal(t, i+1, posts)
	}
}

// FuzzEvents guards against panics and tokens out of order for any bytes that an
// entry sends.
func FuzzEvents(f *testing.F) {
	f.Add([]byte(tokenEvent("s", 8)+tokenEvent("s", 8)+tokenEvent("s", 10)), 7)
	f.Add([]byte("event: open\nid: \n\nid: a.b.1\ndata: {\"choices\":[{}]}\n\n"), 0)
	f.Add(bytes.Repeat([]byte("data: x\n"), 40000), 0)
	f.Fuzz(func(t *testing.T, stream []byte, n int) {
		r, _ := feedEvents(t, string(stream), max(n, 0))
		require.GreaterOrEqual(t, r.n, max(n, 0))
	})
}
