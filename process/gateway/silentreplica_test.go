package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// Guards against refusals of plain requests whose replicas all accept no connection
// for a moment, and against waiting for replicas that have ended.
func TestPlainRequestsWaitForSilentReplicas(t *testing.T) {
	for _, path := range []string{"/book/1", "/read/1"} {
		for name, test := range map[string]struct {
			refuse bool // the hosts refuse connections
			pause  time.Duration
		}{
			"silent for 1.2 s": {pause: 1200 * time.Millisecond},
			"silent for 3 s":   {pause: 3 * time.Second},
			"ended":            {refuse: true, pause: time.Hour},
		} {
			t.Run(path+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newTestGateway(t)
					until := time.Now().Add(test.pause)
					w.Backend.Send = func(ctx context.Context, _ Call) (*Answer, error) {
						if test.refuse {
							return nil, errors.Mark(dialFailed(), ErrRefused)
						}
						if time.Now().Before(until) && !sleep.For(ctx, min(dialPause, time.Until(until))) || time.Now().Before(until) {
							return nil, dialFailed()
						}
						return plainAnswer(http.StatusOK, "done"), nil
					}
					begun := time.Now()
					rec, err := w.request(path)
					if test.refuse {
						require.Equal(t, refusal.NotRun, w.refusalOf(err).Outcome)
						require.Less(t, time.Since(begun), 50*time.Millisecond)
						return
					}
					require.NoError(t, err)
					require.Equal(t, "done", rec.Body.String())
				})
			})
		}
	}
}

// Guards against a repeatable request that is ended at a silent replica although it
// cannot be repeated: the retry budget is used up, or there is no other replica.
func TestSilentReplicaKeepsARequestThatCannotBeRepeated(t *testing.T) {
	for name, set := range map[string]func(w *testGateway){
		"no retry budget": func(w *testGateway) {
			budget := &w.pool(plainService).policy.Budget
			budget.Resize(w.budgetSize())
			for budget.Take() {
			}
		},
		"no other replica": func(w *testGateway) {
			for i := range 3 {
				w.Roster.Remove(fmt.Sprint("d", i))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t)
				w.Tables.Current().Routes[3].Aim = 300 * time.Millisecond
				set(w)
				w.Backend.Send = func(ctx context.Context, _ Call) (*Answer, error) {
					if !sleep.For(ctx, 1200*time.Millisecond) {
						return nil, refusal.FromCallError(ctx.Err(), true)
					}
					return plainAnswer(http.StatusOK, "done"), nil
				}
				rec, err := w.request("/read/1")
				require.NoError(t, err)
				require.Equal(t, "done", rec.Body.String())
			})
		})
	}
}

// Guards against a repeatable request that ends with its attempt at a silent replica
// although another replica answers.
func TestRepeatableRequestLeavesASilentReplica(t *testing.T) {
	for name, silent := range map[string]func(ctx context.Context) (*Answer, error){
		"no connection": func(ctx context.Context) (*Answer, error) {
			<-ctx.Done()
			return nil, refusal.FromCallError(ctx.Err(), false)
		},
		"no answer": func(ctx context.Context) (*Answer, error) {
			<-ctx.Done()
			return nil, refusal.FromCallError(ctx.Err(), true)
		},
		"no body": func(ctx context.Context) (*Answer, error) {
			reader, _ := io.Pipe()
			context.AfterFunc(ctx, func() { _ = reader.CloseWithError(errors.New("connection closed")) })
			a := plainAnswer(http.StatusOK, "")
			a.Body, a.Length = reader, 4
			return a, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t)
				w.Tables.Current().Routes[3].Aim = 300 * time.Millisecond
				var calls atomic.Int32
				w.Backend.Send = func(ctx context.Context, _ Call) (*Answer, error) {
					if calls.Add(1) == 1 {
						return silent(ctx)
					}
					return plainAnswer(http.StatusOK, "done"), nil
				}
				begun := time.Now()
				rec, err := w.request("/read/1")
				require.NoError(t, err)
				require.Equal(t, "done", rec.Body.String())
				require.Less(t, time.Since(begun), 300*time.Millisecond)
			})
		})
	}
}

// Guards against an attempt at a slow replica that is ended for a second one, which is then
// sent to nobody: the other replicas have ended, or turn the request away.
func TestSlowReplicaKeepsARequestThatNoOtherTakes(t *testing.T) {
	for name, others := range map[string]func() (*Answer, error){
		"ended":         func() (*Answer, error) { return nil, errors.Mark(dialFailed(), ErrRefused) },
		"no connection": func() (*Answer, error) { return nil, dialFailed() },
		"turned away":   func() (*Answer, error) { return refusedAnswer(), nil },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t)
				w.Tables.Current().Routes[3].Aim = 300 * time.Millisecond
				var calls atomic.Int32
				w.Backend.Send = func(ctx context.Context, _ Call) (*Answer, error) {
					if calls.Add(1) > 1 {
						return others()
					}
					if !sleep.For(ctx, 800*time.Millisecond) {
						return nil, refusal.FromCallError(ctx.Err(), true)
					}
					return plainAnswer(http.StatusOK, "done"), nil
				}
				rec, err := w.request("/read/1")
				require.NoError(t, err)
				require.Equal(t, "done", rec.Body.String())
				require.Greater(t, calls.Load(), int32(1), "no other replica was asked")
			})
		})
	}
}

// Guards against replicas that work on the same request for long.
func TestAttemptsOverlapBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.Tables.Current().Routes[3].Aim = 300 * time.Millisecond
		var sent, ended []time.Time
		w.Backend.Send = func(ctx context.Context, c Call) (*Answer, error) {
			w.mu.Lock()
			sent = append(sent, time.Now())
			w.mu.Unlock()
			c.Sent()
			sleep.For(ctx, time.Second)
			w.mu.Lock()
			defer w.mu.Unlock()
			ended = append(ended, time.Now())
			if ctx.Err() != nil {
				return nil, refusal.FromCallError(ctx.Err(), true)
			}
			return plainAnswer(http.StatusOK, "done"), nil
		}
		rec, err := w.request("/read/1")
		require.NoError(t, err)
		require.Equal(t, "done", rec.Body.String())
		require.Len(t, sent, 2)
		require.LessOrEqual(t, ended[0].Sub(sent[1]), 200*time.Millisecond)
	})
}

// Guards against a panic on the way to a replica that ends the process, as it does outside
// of the request's goroutine, where the server of callers cannot recover it.
func TestPanicOfAnAttemptReachesTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.Tables.Current().Routes[3].Aim = 300 * time.Millisecond
		w.Backend.Send = func(context.Context, Call) (*Answer, error) { panic("odd answer") }
		defer func() { require.Contains(t, fmt.Sprint(recover()), "odd answer") }()
		_, _ = w.request("/read/1")
	})
}
