package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/internal/system"
	"github.com/eelgrassdock/eelgrassdock/process/entry"
)

// repeatingConn is a connection to a replica that sends a refusal once more ahead of
// the answer to an order, if the connection has carried another request.
type repeatingConn struct {
	net.Conn

	mu      sync.Mutex
	carried bool          // has carried a request
	due     bool          // a refusal is to be sent
	ahead   *bytes.Reader // refusal, and what the replica has sent behind it
}

func dialRepeating(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &repeatingConn{Conn: conn, ahead: &bytes.Reader{}}, nil
}

func (c *repeatingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.due = c.due || c.carried && bytes.HasPrefix(b, []byte("POST /orders"))
	c.carried = true
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *repeatingConn) Read(b []byte) (int, error) {
	if n, err := c.ahead.Read(b); err != io.EOF {
		return n, err
	}
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	due := c.due
	c.due = false
	c.mu.Unlock()
	if !due || err != nil {
		return n, err
	}
	const refused = "HTTP/1.1 503 No\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
	c.ahead = bytes.NewReader(append([]byte(refused), b[:n]...))
	return c.ahead.Read(b)
}

// TestEarlierRefusal guards against calls that run at two replicas, and against the
// outcome "not run" for a call that ran, if replicas send an earlier refusal once more on
// kept connections.
func TestEarlierRefusal(t *testing.T) {
	t.Parallel()
	s := start(t, &system.System{Entries: 1, PlainReplicas: 2, Prepare: func(_ int, e *entry.Entry) { e.Dial = dialRepeating }})
	c := newClient(t, s)
	for i := range 8 {
		body := fmt.Sprint("body-", i)
		_, err := c.Call(context.Background(), orderCall([]string{"", "own-" + body}[i%2], body))
		requireConsistent(t, s, body, err)
		require.NoError(t, err)
	}
}
