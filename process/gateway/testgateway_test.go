package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/process/loads"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/version/routing"
)

// testGateway is a gateway with scripted endpoints.
type testGateway struct {
	*Gateway
	t     testing.TB
	mu    sync.Mutex
	calls []Call
	moves []Move // without the orders to stop
	stops []Move
	freed []string
	// attempt is the context of the latest call.
	attempt context.Context
	// answer returns the answer to the nth call, counted from 0.
	answer func(n int, c Call) (*Answer, error)
	move   func(m Move) (Moved, error)
	// stop answers the orders to stop a run that reach an engine. If it is nil, engines drop a run when its
	// connection closes, and do not have it any more.
	stop        func(m Move) (Moved, error)
	unreachable map[string]bool // endpoints that cannot be reached
	crashed     map[string]bool // endpoints whose host refuses connections
	reports     int             // number of reports requested
}

const (
	engineService = "engines"
	plainService  = "desk"
)

func newTestGateway(t testing.TB) *testGateway {
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := &testGateway{t: t, unreachable: map[string]bool{}, crashed: map[string]bool{}}
	w.Gateway = &Gateway{
		Settings: Settings{
			Name: "i1", Place: "p0", Region: "r0", Places: map[string]string{"p0": "r0", "p1": "r1"},
			Retry: Retry{Ratio: 0.2, Window: 10, Slack: 50},
		},
		Log: log, id: "i1-x", loadChanged: make(chan struct{}, 1), notices: make(chan loads.Notice, noticeQueue),
		updatesUnsent: make(chan struct{}, 1), registerTried: make(chan struct{}),
	}
	w.registerOnce.Do(func() { close(w.registerTried) })
	w.Backend = Backend{
		Send: w.send,
		Move: func(_ context.Context, m Move) (Moved, error) {
			w.mu.Lock()
			unreachable := m.Last && w.unreachable[m.From.ID]
			switch {
			case unreachable:
			case m.Last:
				w.stops = append(w.stops, m)
			default:
				w.moves = append(w.moves, m)
			}
			w.mu.Unlock()
			switch {
			case unreachable:
				return Moved{}, errors.Mark(errors.New("no connection"), ErrUnreachable)
			case m.Last && w.stop == nil:
				return Moved{}, ErrNoRun
			case m.Last:
				return w.stop(m)
			}
			if w.move == nil {
				return Moved{Handle: "h"}, nil
			}
			return w.move(m)
		},
		Report: func(_ context.Context, e roster.Endpoint) (Report, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.reports++
			if w.crashed[e.ID] {
				return Report{}, errors.Mark(errors.Mark(errors.New("connection refused"), ErrRefused), ErrUnreachable)
			}
			if w.unreachable[e.ID] {
				return Report{}, errors.Mark(errors.New("connection refused"), ErrUnreachable)
			}
			return Report{}, nil
		},
		Free: func(_ context.Context, _ roster.Endpoint, handle string) (Signals, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.freed = append(w.freed, handle)
			return Signals{}, nil
		},
		Handle:           func(e roster.Endpoint, handle string) string { return e.Addr + "/" + handle },
		CloseConnections: func(string) {}, Warm: func(context.Context, string) {},
	}
	w.watchSuspects()
	w.watchLimits()
	ctx, cancel := context.WithCancel(t.Context())
	w.base, w.cancel = ctx, cancel
	w.waits, w.endWaits = context.WithCancel(ctx)
	t.Cleanup(cancel)
	w.Tables.Install(routing.New(routing.Document{
		Version: 1,
		Routes: []routing.Route{
			{Name: "guide", Host: "h", Prefix: "/guide/", Kind: routing.Stream, Targets: []routing.Target{{Service: engineService, Weight: 1}}, Attempts: 1, Aim: time.Second},
			{Name: "short", Host: "h", Prefix: "/short/", Kind: routing.Stream, Resume: true, Targets: []routing.Target{{Service: engineService, Weight: 1}}, Attempts: 2, Aim: time.Second},
			{Name: "book", Host: "h", Prefix: "/book/", Kind: routing.Once, Targets: []routing.Target{{Service: plainService, Weight: 1}}, Attempts: 3},
			{Name: "read", Host: "h", Prefix: "/read/", Kind: routing.Idempotent, Targets: []routing.Target{{Service: plainService, Weight: 1}}, Attempts: 2},
			{Name: "slow", Host: "h", Prefix: "/slow/", Kind: routing.Once, Targets: []routing.Target{{Service: plainService, Weight: 1}}, Attempts: 1, Timeout: 50 * time.Millisecond},
		},
		Services: []routing.Service{
			{ID: engineService, Engine: &routing.Engine{Slots: 24, Tokens: 30000, Moves: true, Backups: true, Stride: 4, Keep: 6600 * time.Millisecond}},
			{ID: plainService},
		},
		Accounts: []routing.Account{{Name: "club", Keys: []string{"key"}}},
	}))
	w.addEndpoints()
	return w
}

// addEndpoints adds the endpoints to the roster.
func (w *testGateway) addEndpoints() {
	for i := range 4 {
		w.Roster.Set(roster.Endpoint{ID: fmt.Sprint("e", i), Service: engineService, Addr: fmt.Sprint("10.0.0.", i, ":1"), Place: "p0", Slots: 24})
		w.Roster.Set(roster.Endpoint{ID: fmt.Sprint("d", i), Service: plainService, Addr: fmt.Sprint("10.0.1.", i, ":1"), Place: "p0", Slots: 6})
	}
	w.Roster.Complete()
}

func (w *testGateway) send(ctx context.Context, c Call) (*Answer, error) {
	w.mu.Lock()
	n := len(w.calls)
	w.calls = append(w.calls, c)
	w.attempt = ctx
	w.mu.Unlock()
	if ctx.Err() != nil {
		return nil, refusal.FromCallError(ctx.Err(), true)
	}
	return w.answer(n, c)
}

// called returns the nth call, counted from 0.
func (w *testGateway) called(n int) Call {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls[n]
}

// closeWithAttempt breaks a body when the attempt is canceled, as closing its
// connection would.
func (w *testGateway) closeWithAttempt(body *io.PipeReader) {
	w.mu.Lock()
	defer w.mu.Unlock()
	context.AfterFunc(w.attempt, func() { _ = body.CloseWithError(errors.New("connection closed")) })
}

func (w *testGateway) request(path string) (*httptest.ResponseRecorder, error) {
	return w.requestWith(w.t.Context(), &Request{
		ID: "q", Method: http.MethodPost, Host: "h", Path: path, Target: path, Header: http.Header{}, Key: "key", Arrived: time.Now(),
		Prompt: 1000, Max: 400,
	})
}

func (w *testGateway) requestWith(ctx context.Context, r *Request) (*httptest.ResponseRecorder, error) {
	rec := httptest.NewRecorder()
	return rec, w.Serve(ctx, rec, r)
}

// announceLeave marks the engine of request q as leaving and returns it.
func (w *testGateway) announceLeave(source string) roster.Endpoint {
	from := w.runsOf("q")[0].endpoint
	w.Roster.MarkLeaving(from.ID, from.Born, source)
	w.refreshEnginePools()
	w.protectRunsAt(from, source)
	return from
}

// plainAnswer returns a complete answer of a plain service.
func plainAnswer(status int, body string) *Answer {
	return &Answer{
		Status: status, Header: http.Header{"X-Seal": {fmt.Sprint(status, body)}}, Body: strings.NewReader(body), Length: int64(len(body)),
		Follow: func(context.Context) {}, Close: func(bool) {},
	}
}

// eventStream returns a stream with the events from first to last; a broken one
// ends inside the next event.
func eventStream(seal string, first, last int, broken bool) *Answer {
	var b bytes.Buffer
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i, seal)
	}
	var body io.Reader = &b
	if broken {
		body = io.MultiReader(&b, strings.NewReader(fmt.Sprintf("id: %d\nda", last+1)), failingReader{})
	}
	return &Answer{
		Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}, "X-Seal": {seal}}, Body: body, Length: -1,
		Close: func(bool) {},
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

// breakingStream returns a stream that breaks inside the event after last, a
// second later than that event. Use it in a synctest bubble.
func breakingStream(seal string, first, last int) *Answer {
	a := eventStream(seal, first, last, false)
	a.Body = io.MultiReader(a.Body, strings.NewReader(fmt.Sprintf("id: %d\nda", last+1)), delayedFailure{time.Second, errors.New("connection reset")})
	return a
}

// delayedFailure is a body that ends with an error after a delay.
type delayedFailure struct {
	delay time.Duration
	err   error
}

func (d delayedFailure) Read([]byte) (int, error) {
	time.Sleep(d.delay)
	return 0, d.err
}

func refusedAnswer() *Answer {
	a := plainAnswer(http.StatusServiceUnavailable, "")
	a.NotRun = true
	return a
}

func dialFailed() error { return refusal.New(refusal.Dial, refusal.NotRun, "connection refused") }

func connectionLost() error { return refusal.New(refusal.Broken, refusal.Unknown, "connection reset") }

func (w *testGateway) refusalOf(err error) *refusal.Error {
	w.t.Helper()
	var f *refusal.Error
	require.True(w.t, errors.As(err, &f), "want a refusal, got %v", err)
	return f
}

// eventIDs returns the IDs of the events in a body.
func eventIDs(body string) (list []string) {
	for line := range strings.SplitSeq(body, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			list = append(list, id)
		}
	}
	return list
}
