package peer_test

import (
	"context"
	"net"
	"net/rpc"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/eelgrassdock/eelgrassdock/connection/peer"
)

type echo struct{}

func (echo) Echo(args string, reply *string) error { *reply = args; return nil }

func (echo) Fail(string, *string) error { return errors.New("refused") }

// TestStalledPeer guards against a peer that does not read and so delays every call
// after the first one, and against leaked connections.
func TestStalledPeer(t *testing.T) {
	defer goleak.VerifyNone(t)
	server := rpc.NewServer()
	require.NoError(t, server.RegisterName("Test", echo{}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		_ = peer.Serve(l, server)
		close(done)
	}()
	var stalled []net.Conn
	pool := &peer.Pool{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		if len(stalled) < 1 {
			near, far := net.Pipe() // far is never read from
			stalled = append(stalled, far)
			return near, nil
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}}
	call := func(method string, patience time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		var reply string
		return pool.Call(ctx, l.Addr().String(), method, "x", &reply)
	}
	require.True(t, errors.Is(call("Test.Echo", 20*time.Millisecond), peer.ErrLost))
	require.NoError(t, call("Test.Echo", time.Minute))
	var remote rpc.ServerError
	require.ErrorAs(t, call("Test.Fail", time.Minute), &remote)
	require.NoError(t, l.Close())
	<-done
	require.True(t, errors.Is(call("Test.Echo", time.Minute), peer.ErrLost))
	require.True(t, errors.Is(call("Test.Echo", time.Minute), peer.ErrUnreachable))
	pool.Close()
	require.True(t, errors.Is(call("Test.Echo", time.Minute), peer.ErrUnreachable))
}

// exhaustedListener fails once as if the process had no descriptors left.
type exhaustedListener struct {
	net.Listener
	failed bool
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Guards against a process that answers no calls any more once descriptors have run out.
func TestCallsAreServedAfterDescriptorsRanOut(t *testing.T) {
	server := rpc.NewServer()
	require.NoError(t, server.RegisterName("Test", echo{}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		_ = peer.Serve(&exhaustedListener{Listener: l}, server)
		close(done)
	}()
	var pool peer.Pool
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var reply string
	require.NoError(t, pool.Call(ctx, l.Addr().String(), "Test.Echo", "x", &reply))
	require.NoError(t, l.Close())
	<-done
}
