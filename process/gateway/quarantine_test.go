package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/process/loads"
	"github.com/eelgrassdock/eelgrassdock/process/quarantine"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// Guards against requests with one part of a prompt that crash one engine after the
// other: later than contact_ms after the fifth crash, at most three more may reach
// engines, sent by any instance, while sound requests with the same first part are
// served.
func TestDeadlyPartStopsReachingEngines(t *testing.T) {
	for _, path := range []string{"/guide/1", "/short/1"} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 3)
			defer close(f.stop)
			sound, served := f.play(rand.New(rand.NewPCG(1, 2)), path, 0.15, 30*time.Second)
			require.LessOrEqual(t, f.reachedSince(f.fifth()), 3, "%s: %d crashes", path, len(f.crashes))
			require.Greater(t, served, sound*2/3)
		})
	}
}

// Guards against the same if the deadly part is followed by one of few sound parts
// that other requests share.
func TestDeadlyPartBeforeSharedPartsStopsReachingEngines(t *testing.T) {
	for _, seconds := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(seconds, " second parts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				defer close(f.stop)
				random := rand.New(rand.NewPCG(1, 2))
				var wg sync.WaitGroup
				for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					w := f.list()[random.IntN(3)]
					parts := []string{"first", fmt.Sprint("s", random.IntN(seconds))}
					if random.Float64() < 0.15 {
						parts = slices.Insert(parts, 1, deadly)
					}
					wg.Go(func() { _ = f.request(w, "/guide/1", parts...) })
				}
				wg.Wait()
				require.LessOrEqual(t, f.reachedSince(f.fifth()), 3, "%d crashes", len(f.crashes))
			})
		})
	}
}

// Guards against a refusal that is no promise: a request with a condemned part has
// not run, is refused at once, and is told when the part is tried again.
func TestCondemnedPartIsRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer close(f.stop)
		fault := f.condemn()
		require.Equal(t, refusal.Quarantined, fault.Reason)
		require.Equal(t, refusal.NotRun, fault.Outcome)
		until, _ := f.instances[0].quarantine.Held(quarantine.Hash(engineService, []string{deadly, "x"}))
		require.Equal(t, until, fault.RetryAt)
		begun := time.Now()
		for _, w := range f.list() {
			require.Equal(t, refusal.Quarantined, w.refusalOf(f.request(w, "/short/1", "other", deadly, "more")).Reason, "another route and prompt")
			require.NoError(t, f.request(w, "/guide/1", "first", "second"), "sound request with the same first part")
		}
		require.Less(t, time.Since(begun), 2*time.Second)
	})
}

// Guards against a verdict that an instance does not know because it started later.
func TestStartedInstanceLearnsTheVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer close(f.stop)
		_ = f.condemn()
		w := f.add()
		time.Sleep(loads.RefreshInterval + time.Millisecond)
		require.Equal(t, refusal.Quarantined, w.refusalOf(f.request(w, "/guide/1", "first", deadly)).Reason)
	})
}

// Guards against a wrong verdict that stays: once the part is sound, one request
// tries it, and all instances serve it then.
func TestSoundPartIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer close(f.stop)
		_ = f.condemn()
		f.mu.Lock()
		f.deadly, f.reached = nil, nil
		f.mu.Unlock()
		time.Sleep(quarantine.FirstHold)
		for _, w := range f.list() {
			_ = f.request(w, "/guide/1", "first", deadly)
		}
		time.Sleep(loads.RefreshInterval)
		for _, w := range f.list() {
			require.NoError(t, f.request(w, "/guide/1", "first", deadly))
		}
	})
}

// Guards against a verdict on sound prompts when many engines fail, together or one
// after the other, while they work on them.
func TestMassCrashCondemnsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer close(f.stop)
		random := rand.New(rand.NewPCG(3, 4))
		done := make(chan struct{})
		go func() {
			defer close(done)
			for n := range 8 {
				time.Sleep(2*time.Second + 70*time.Millisecond)
				for i := range 4 {
					if n%2 == 0 || n%4 == i {
						f.crash(fmt.Sprint("e", i))
					}
				}
			}
		}()
		f.play(random, "/guide/1", 0, 25*time.Second)
		<-done
		require.Len(t, f.crashes, 20)
		for _, w := range f.list() {
			_, _, verdicts := w.quarantine.Size()
			require.Zero(t, verdicts)
		}
	})
}

// Guards against a verdict that stays because its trial was spent on a request that
// no engine ran.
func TestRefusedTrialIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer close(f.stop)
		_ = f.condemn()
		f.mu.Lock()
		f.deadly = nil
		f.mu.Unlock()
		time.Sleep(quarantine.FirstHold + 3*quarantine.TrialStep)
		served := map[*testGateway]func(int, Call) (*Answer, error){}
		for _, w := range f.list() {
			served[w] = w.answer
			w.answer = func(int, Call) (*Answer, error) { return refusedAnswer(), nil }
		}
		require.Error(t, f.request(f.instances[0], "/guide/1", "first", deadly))
		for w, answer := range served {
			w.answer = answer
		}
		time.Sleep(3 * quarantine.TrialStep)
		require.NoError(t, f.request(f.instances[1], "/guide/1", "first", deadly))
	})
}

// Guards against evidence from engines that did not crash: a connection that ended
// at an engine that runs on, that cannot be reached or that gave notice.
func TestOnlyCrashesAreEvidence(t *testing.T) {
	for name, prepare := range map[string]func(w *testGateway, id string){
		"runs on":     func(*testGateway, string) {},
		"unreachable": func(w *testGateway, id string) { w.unreachable[id] = true },
		"notice": func(w *testGateway, id string) {
			w.crashed[id] = true
			w.Roster.MarkLeaving(id, 0, roster.FromReport)
		},
		"removed": func(w *testGateway, id string) {
			w.crashed[id] = true
			w.Roster.Remove(id)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			w.answer = func(_ int, c Call) (*Answer, error) {
				w.mu.Lock()
				defer w.mu.Unlock()
				prepare(w, c.Endpoint.ID)
				return eventStream("s", 1, 0, true), nil
			}
			_, err := w.requestWith(t.Context(), promptRequest("/guide/1", "a", "b"))
			require.Error(t, err)
			suspects, _, _ := w.quarantine.Size()
			require.Zero(t, suspects)
		})
	}
}

// Guards against a request that crashes one engine after the other by being sent
// again: one that had begun when its engine crashed is not repeated, one that only
// waited there is.
func TestSuspectIsNotSentAgain(t *testing.T) {
	for _, begun := range []bool{true, false} {
		w := newTestGateway(t)
		w.answer = func(n int, c Call) (*Answer, error) {
			if n > 0 {
				return eventStream("s", 1, 3, false), nil
			}
			w.mu.Lock()
			w.crashed[c.Endpoint.ID] = true
			w.mu.Unlock()
			if begun {
				return eventStream("s", 1, 0, true), nil
			}
			return nil, connectionLost()
		}
		_, err := w.request("/short/1")
		if !begun {
			require.NoError(t, err)
			require.Len(t, w.calls, 2)
			continue
		}
		require.Equal(t, refusal.Unknown, w.refusalOf(err).Outcome)
		require.Len(t, w.calls, 1)
	}
}

// Guards against a second send of a request whose part was condemned after the
// first: the refusal must not promise that it has not run.
func TestCondemnedPartIsNotSentAgain(t *testing.T) {
	w := newTestGateway(t)
	w.answer = func(int, Call) (*Answer, error) {
		w.condemn("a")
		return nil, connectionLost()
	}
	_, err := w.requestWith(t.Context(), promptRequest("/short/1", "a", "b"))
	fault := w.refusalOf(err)
	require.Equal(t, refusal.Quarantined, fault.Reason)
	require.Equal(t, refusal.Unknown, fault.Outcome)
	require.Len(t, w.calls, 1)
	require.Zero(t, w.testEnginePool().sched.Own()[0].Runs, "the room at the second engine must be free again")
}

// Guards against a sound generation that is cut because a part of its prompt was
// condemned after it began: it continues from its copy.
func TestBegunGenerationContinues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.answer = func(n int, _ Call) (*Answer, error) {
			if n == 1 {
				return eventStream("s", 3, 5, false), nil
			}
			return breakingStream("s", 1, 2), nil
		}
		time.AfterFunc(time.Second/2, func() { w.condemn("a") })
		rec, err := w.requestWith(t.Context(), promptRequest("/guide/1", "a", "b"))
		require.NoError(t, err)
		require.Len(t, eventIDs(rec.Body.String()), 5)
		_, held := w.quarantine.Held(quarantine.Hash(engineService, []string{"a"}))
		require.True(t, held)
	})
}

// Guards against a stream that is cut because a part of its prompt is condemned while
// its first event is written to a slow caller.
func TestStreamIsNotWithdrawnDuringItsFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		reader, writer := io.Pipe()
		w.answer = func(int, Call) (*Answer, error) {
			w.closeWithAttempt(reader)
			a := eventStream("s", 1, 0, false)
			a.Body = reader
			return a, nil
		}
		go func() {
			_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
			time.Sleep(time.Second)
			_, _ = io.WriteString(writer, "id: 2\ndata: x\n\n")
			_ = writer.Close()
		}()
		rec := &hookedCaller{ResponseRecorder: httptest.NewRecorder(), flushed: sync.OnceFunc(func() {
			w.condemn("a")
			time.Sleep(100 * time.Millisecond)
		})}
		require.NoError(t, w.Serve(t.Context(), rec, promptRequest("/guide/1", "a", "b")))
		require.Len(t, eventIDs(rec.Body.String()), 2)
	})
}

// hookedCaller is a caller that calls flushed with each flush.
type hookedCaller struct {
	*httptest.ResponseRecorder
	flushed func()
}

func (c *hookedCaller) FlushError() error {
	c.flushed()
	return nil
}

// Guards against a crash that looks like a complete answer: an answer without length
// and chunks ends with its connection, also if the engine has crashed before the first
// event. The caller must not get an empty success, and the crash is evidence.
func TestCrashBeforeTheFirstEventIsNoAnswer(t *testing.T) {
	w := newTestGateway(t)
	w.answer = func(_ int, c Call) (*Answer, error) {
		w.mu.Lock()
		w.crashed[c.Endpoint.ID] = true
		w.mu.Unlock()
		return eventStream("s", 1, 0, false), nil
	}
	rec, err := w.requestWith(t.Context(), promptRequest("/guide/1", "a", "b"))
	require.Equal(t, refusal.Unknown, w.refusalOf(err).Outcome)
	require.Empty(t, rec.Header().Get("X-Seal"))
	suspects, _, _ := w.quarantine.Size()
	require.Equal(t, 1, suspects)

	w.mu.Lock()
	w.crashed = nil
	w.mu.Unlock()
	w.answer = func(int, Call) (*Answer, error) { return eventStream("s", 4, 3, false), nil }
	r := promptRequest("/short/1", "a", "b")
	r.After = "3"
	_, err = w.requestWith(t.Context(), r)
	require.NoError(t, err, "the caller has all events and resumes to learn of the end")
}

// Guards against engines that crash on requests that were sent before their part was
// condemned: they are withdrawn as long as no answer has begun. The engine did
// nothing wrong and stays in use, and requests without the part stay there.
func TestCondemnedRequestsAreWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.answer = func(int, Call) (*Answer, error) {
			w.mu.Lock()
			ctx := w.attempt
			w.mu.Unlock()
			select {
			case <-ctx.Done():
				return nil, refusal.FromCallError(ctx.Err(), true)
			case <-time.After(time.Second):
				return eventStream("s", 1, 3, false), nil
			}
		}
		results := make(chan error, 2)
		send := func(parts ...string) {
			_, err := w.requestWith(t.Context(), promptRequest("/short/1", parts...))
			results <- err
		}
		go send("a", "b")
		synctest.Wait()
		go send("c", "d")
		synctest.Wait()
		w.condemn("a")
		synctest.Wait()
		fault := w.refusalOf(<-results)
		require.Equal(t, refusal.Quarantined, fault.Reason)
		require.Equal(t, refusal.Unknown, fault.Outcome, "it may have run")
		require.NoError(t, <-results)
		require.Len(t, w.calls, 2)
		require.Empty(t, w.testEnginePool().failures)
	})
}

// Guards against sound requests that lose the answer that they are about to get, because they
// were at the crashes that another one has caused: whoever is condemned beside others is not
// withdrawn.
func TestRequestsCondemnedTogetherAreNotWithdrawn(t *testing.T) {
	for name, others := range map[string]int{"alone": 0, "beside another": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t)
				w.answer = func(_ int, c Call) (*Answer, error) {
					w.mu.Lock()
					ctx := w.attempt
					w.mu.Unlock()
					if !sleep.For(ctx, 2*time.Second) {
						return nil, refusal.FromCallError(ctx.Err(), true)
					}
					return plainAnswer(200, string(c.Body)), nil
				}
				r := promptRequest("/book/1", "a")
				result := make(chan error, 1)
				go func() {
					_, err := w.requestWith(t.Context(), r)
					result <- err
				}()
				time.Sleep(time.Second)
				own := quarantine.Identity(r.Body, r.Method, r.Host, r.Target, "club")
				for n := range uint64(quarantine.RequestCrashes) {
					at := time.Now()
					for request := range uint64(1 + others) {
						// The others report a moment later.
						w.quarantine.Report(quarantine.Suspect{Crash: n, Request: own + request, Since: at, Ended: at, Begun: true}, at)
						time.Sleep(10 * time.Millisecond)
					}
					time.Sleep(300 * time.Millisecond)
				}
				err := <-result
				if others > 0 {
					require.NoError(t, err)
					return
				}
				require.Equal(t, refusal.Quarantined, w.refusalOf(err).Reason)
			})
		})
	}
}
