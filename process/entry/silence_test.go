package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/internal/system"
	"github.com/eelgrassdock/eelgrassdock/process/entry"
	"github.com/eelgrassdock/eelgrassdock/standin"
	"github.com/eelgrassdock/eelgrassdock/standin/model"
)

// pausable makes connections to hosts that can be paused: they keep their connections,
// but send nothing until they go on. New connections wait in the queue of the listener,
// or are not made at all if full is set.
type pausable struct {
	full bool

	mu     sync.Mutex
	goesOn chan struct{} // closed when the hosts go on; nil while they are not paused
}

type pausableConn struct {
	net.Conn
	p *pausable
}

func (p *pausable) pause(d time.Duration) {
	p.mu.Lock()
	goesOn := make(chan struct{})
	p.goesOn = goesOn
	p.mu.Unlock()
	time.Sleep(d)
	p.mu.Lock()
	p.goesOn = nil
	p.mu.Unlock()
	close(goesOn)
}

// wait waits until the hosts are not paused. It reports whether ctx is alive.
func (p *pausable) wait(ctx context.Context) bool {
	for {
		p.mu.Lock()
		goesOn := p.goesOn
		p.mu.Unlock()
		if goesOn == nil {
			return true
		}
		select {
		case <-goesOn:
		case <-ctx.Done():
			return false
		}
	}
}

func (p *pausable) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	const dialTimeout = 2 * time.Second // as of the entry
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if p.full && !p.wait(ctx) {
		return nil, fmt.Errorf("connect to %s: %w", addr, ctx.Err())
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return pausableConn{conn, p}, nil
}

// Read returns nothing while the host is paused. A connection that was closed meanwhile
// fails when the host goes on.
func (c pausableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == nil {
		c.p.wait(context.Background())
	}
	return n, err
}

// TestSilence guards against requests that are refused, cut or run twice because all
// endpoints of a service fall silent for a while, again and again, and then go on.
func TestSilence(t *testing.T) {
	for _, endpoints := range []int{1, 2} {
		for _, full := range []bool{false, true} {
			for _, pause := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
				t.Run(fmt.Sprint(pause, " endpoints ", endpoints, " full ", full), func(t *testing.T) {
					t.Parallel()
					p := &pausable{full: full}
					s := start(t, &system.System{
						Entries: 1, Engines: endpoints, PlainReplicas: endpoints, Config: model.Config{Base: 20 * time.Millisecond, Memory: 100_000},
						Prepare: func(_ int, e *entry.Entry) { e.Dial = p.dial },
					})
					var wg conc.WaitGroup
					ended := make(chan struct{})
					defer wg.Wait()
					for i := range 4 {
						wg.Go(func() {
							for n := 0; ; n++ {
								select {
								case <-ended:
									return
								default:
								}
								streamOnce(t, s, fmt.Sprintf("length=20 of person %d %d", i, n))
								callOnce(t, s, fmt.Sprintf("body-%d-%d", i, n))
								time.Sleep(50 * time.Millisecond)
							}
						})
					}
					time.Sleep(300 * time.Millisecond)
					for n := range 3 {
						wg.Go(func() { // before a poll can find the silence
							time.Sleep(50 * time.Millisecond)
							streamOnce(t, s, fmt.Sprint("length=20 at begin ", n))
						})
						wg.Go(func() {
							time.Sleep(50 * time.Millisecond)
							callOnce(t, s, fmt.Sprint("at-begin-", n))
						})
						p.pause(pause)
						time.Sleep(700 * time.Millisecond)
					}
					close(ended)
				})
			}
		}
	}
}

// streamOnce requires the whole output of a completion from one request, without the
// repeats of the client.
func streamOnce(t *testing.T, s *system.System, text string) {
	status, _, body := post(t, s.Addrs()[0], http.MethodPost, "/v1/completions",
		fmt.Sprintf(`{"model":"guide","prompt":%q}`, text), "X-Deadline", time.Now().Add(requestTimeout).Format(time.RFC3339Nano))
	if status != http.StatusOK {
		t.Errorf("completion: status %d: %s", status, body)
		return
	}
	if got := standin.Text(text, 0); !strings.Contains(body, got) {
		t.Errorf("completion: %s", body)
	}
}

// callOnce requires the answers to one order, which runs once, and one idempotent call.
func callOnce(t *testing.T, s *system.System, body string) {
	for _, path := range []string{orders, "/v1/services/orders/stock"} {
		method := http.MethodPost
		if path != orders {
			method = http.MethodGet
		}
		status, _, text := post(t, s.Addrs()[0], method, path, body, "Idempotency-Key", "own-"+body)
		if status != http.StatusOK {
			t.Errorf("%s %s: status %d: %s", method, path, status, text)
		}
	}
	if n := runs(s, body); n != 2 {
		t.Errorf("%s ran %d times", body, n)
	}
}

// TestSilenceOfIdleService guards against a request that waits for ever for an endpoint
// that was silent: the polls of a service without new requests must go on while one
// waits.
func TestSilenceOfIdleService(t *testing.T) {
	t.Parallel()
	p := &pausable{}
	var ahead atomic.Int64
	s := start(t, &system.System{Entries: 1, Engines: 1, Prepare: func(_ int, e *entry.Entry) {
		e.Dial = p.dial
		e.Now = func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	}})
	streamOnce(t, s, "length=2 first")
	paused := make(chan struct{})
	go func() {
		defer close(paused)
		p.pause(6 * time.Second)
	}()
	time.AfterFunc(3500*time.Millisecond, func() { ahead.Store(int64(2 * time.Minute)) })
	time.Sleep(3 * time.Second) // a poll finds the silence
	begun := time.Now()
	status, _, body := post(t, s.Addrs()[0], http.MethodPost, "/v1/completions", `{"model":"guide","prompt":"length=2 second"}`,
		"X-Deadline", time.Now().Add(3*time.Minute).Format(time.RFC3339Nano))
	require.Equal(t, http.StatusOK, status, body)
	require.Less(t, time.Since(begun), 30*time.Second)
	<-paused
}

// muteConn is a connection to an engine that answers polls but no request.
type muteConn struct {
	net.Conn
	mute   atomic.Bool
	closed chan struct{}
	once   sync.Once
}

func (c *muteConn) Write(b []byte) (int, error) {
	if strings.HasPrefix(string(b), "POST /generate") {
		c.mute.Store(true)
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *muteConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.mute.Load() {
		<-c.closed
	}
	return n, err
}

func (c *muteConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// TestEngineThatAnswersOnlyPolls guards against a request that goes to the same engine
// again and again, because that answers polls, while another one is silent for a while.
func TestEngineThatAnswersOnlyPolls(t *testing.T) {
	t.Parallel()
	p := &pausable{}
	var muteAddr atomic.Value
	muteAddr.Store("")
	s := start(t, &system.System{Entries: 1, Engines: 2, Prepare: func(_ int, e *entry.Entry) {
		e.Stall = 300 * time.Millisecond
		e.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			if addr != muteAddr.Load() {
				return p.dial(ctx, network, addr)
			}
			conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &muteConn{Conn: conn, closed: make(chan struct{})}, nil
		}
	}})
	muteAddr.Store(s.Endpoints[0].Addr)
	paused := make(chan struct{})
	go func() {
		defer close(paused)
		p.pause(9 * time.Second)
	}()
	time.Sleep(2500 * time.Millisecond) // a poll finds the silence of the other engine
	streamOnce(t, s, "length=5 of a prompt")
	<-paused
}
