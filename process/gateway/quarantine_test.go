package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/process/loads"
	"github.com/eelgrassdock/eelgrassdock/process/quarantine"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

const (
	deadly      = "deadly" // part that crashes engines
	restartTime = 3 * time.Second
	thinkTime   = 300 * time.Millisecond // from a send to the head of the answer
)

// fleet is several instances before the same engines. An engine crashes when it
// begins an answer on a part that is deadly.
type fleet struct {
	t         *testing.T
	instances []*testGateway
	stop      chan struct{}

	mu      sync.Mutex
	deadly  map[string]bool
	crashes []time.Time
	reached []time.Time // sends of requests with a deadly part
	n       int         // requests so far
}

// newFleet returns a fleet whose instances exchange suspects until the test ends.
// It must be called in a synctest bubble.
func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, stop: make(chan struct{}), deadly: map[string]bool{deadly: true}}
	for range n {
		f.add()
	}
	return f
}

// add starts one more instance.
func (f *fleet) add() *testGateway {
	w := newTestGateway(f.t)
	w.id = fmt.Sprint("i", len(f.instances))
	w.answer = func(_ int, c Call) (*Answer, error) { return f.send(w, c) }
	w.board.OnSuspects = w.onSuspects
	f.mu.Lock()
	f.instances = append(f.instances, w)
	f.mu.Unlock()
	go f.exchange(w)
	return w
}

func (f *fleet) list() []*testGateway {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.instances)
}

// exchange sends the suspects of one instance to the others.
func (f *fleet) exchange(w *testGateway) {
	ticker := time.NewTicker(loads.RefreshInterval)
	defer ticker.Stop()
	for {
		all := false
		select {
		case <-f.stop:
			return
		case <-ticker.C:
			all = true
			w.quarantine.Expire(time.Now())
		case <-w.suspectsChanged:
		}
		for _, data := range w.suspectUpdates(all) {
			for _, o := range f.list() {
				if o != w {
					_ = o.board.Receive(data, time.Now())
				}
			}
		}
	}
}

// send is an attempt at an engine.
func (f *fleet) send(w *testGateway, c Call) (*Answer, error) {
	if f.isCrashed(c.Endpoint.ID) {
		return nil, dialFailed()
	}
	isDeadly := false
	f.mu.Lock()
	for _, p := range c.Parts[:max(len(c.Parts)-1, 0)] {
		isDeadly = isDeadly || f.deadly[p]
	}
	if isDeadly {
		f.reached = append(f.reached, time.Now())
	}
	f.mu.Unlock()
	if c.Memory != "" {
		return refusedAnswer(), nil
	}
	time.Sleep(thinkTime)
	switch {
	case f.isCrashed(c.Endpoint.ID):
		return nil, connectionLost()
	case isDeadly:
		f.crash(c.Endpoint.ID)
		return eventStream("s", 1, 0, true), nil
	}
	return eventStream("s", 1, 3, false), nil
}

func (f *fleet) isCrashed(engine string) bool {
	w := f.list()[0]
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashed[engine]
}

// crash makes an engine refuse connections for restartTime.
func (f *fleet) crash(engine string) {
	f.mu.Lock()
	f.crashes = append(f.crashes, time.Now())
	f.mu.Unlock()
	f.setCrashed(engine, true)
	time.AfterFunc(restartTime, func() { f.setCrashed(engine, false) })
}

func (f *fleet) setCrashed(engine string, crashed bool) {
	for _, w := range f.list() {
		w.mu.Lock()
		w.crashed[engine] = crashed
		w.mu.Unlock()
	}
}

// request sends a request with a prompt to an instance and returns its error. Its
// last part is its own.
func (f *fleet) request(w *testGateway, path string, parts ...string) error {
	f.mu.Lock()
	f.n++
	id := fmt.Sprint("q", f.n)
	f.mu.Unlock()
	r := promptRequest(path, append(slices.Clone(parts), id)...)
	r.ID = id
	_, err := w.requestWith(f.t.Context(), r)
	return err
}

// promptRequest returns request q with a prompt.
func promptRequest(path string, parts ...string) *Request {
	return &Request{
		ID: "q", Method: http.MethodPost, Host: "h", Path: path, Target: path, Header: http.Header{}, Key: "key", Arrived: time.Now(),
		Prompt: 1000, Max: 400, Parts: parts,
	}
}

// condemn reports as many crashes with a part of a prompt as condemn it.
func (w *testGateway) condemn(part string) {
	id := quarantine.Hash(engineService, []string{part})[0]
	for n := range uint64(quarantine.Crashes) {
		at := time.Now().Add(time.Duration(n) * time.Second)
		w.quarantine.Report(quarantine.Suspect{Crash: n, Request: n, Since: at, Ended: at, Begun: true, Parts: []uint64{id, n}}, at)
	}
}

// reachedSince returns how many requests with a deadly part reached an engine
// after a time.
func (f *fleet) reachedSince(at time.Time) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.reached {
		if t.After(at) {
			n++
		}
	}
	return n
}

// play sends ten requests a second to random instances, a share of them with the
// deadly part. It returns the sound requests with the first part of the deadly ones
// and how many of them were served.
func (f *fleet) play(random *rand.Rand, path string, share float64, d time.Duration) (sound, served int) {
	var (
		mu sync.Mutex
		wg sync.WaitGroup
	)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		list := f.list()
		w := list[random.IntN(len(list))]
		if random.Float64() < share {
			wg.Go(func() { _ = f.request(w, path, "first", "second", deadly) })
			continue
		}
		second := fmt.Sprint("s", random.IntN(4))
		wg.Go(func() {
			err := f.request(w, path, "first", second)
			mu.Lock()
			defer mu.Unlock()
			sound++
			if err == nil {
				served++
			}
		})
	}
	wg.Wait()
	return sound, served
}

// fifth returns the time after which requests with a deadly part must no longer
// reach engines: contact_ms of the users' rules after the fifth crash.
func (f *fleet) fifth() time.Time {
	const contact = 4 * time.Second
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < 5 {
		return time.Now()
	}
	return f.crashes[4].Add(contact)
}

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

// condemn has requests with the deadly part crash engines until all instances refuse
// them, and returns the refusal.
func (f *fleet) condemn() *refusal.Error {
	f.t.Helper()
	for range 20 {
		for _, w := range f.list() {
			_ = f.request(w, "/guide/1", "first", deadly)
		}
		time.Sleep(time.Second)
		if _, held := f.instances[0].quarantine.Held(quarantine.Hash(engineService, []string{deadly, "x"})); held {
			return f.instances[0].refusalOf(f.request(f.instances[0], "/guide/1", "first", deadly))
		}
	}
	f.t.Fatal("the part is not condemned")
	return nil
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

// Guards against evidence from engines that did not crash: a connection that ended
// at an engine that runs on, that cannot be reached or that gave notice.
func TestOnlyCrashesAreEvidence(t *testing.T) {
	for name, prepare := range map[string]func(w *testGateway, id string){
		"runs on":     func(*testGateway, string) {},
		"unreachable": func(w *testGateway, id string) { w.unreachable[id] = true },
		"notice": func(w *testGateway, id string) {
			w.crashed[id] = true
			w.Roster.MarkLeaving(id, roster.FromReport)
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
	w := newTestGateway(t)
	w.answer = func(n int, _ Call) (*Answer, error) {
		if n == 1 {
			return eventStream("s", 3, 5, false), nil
		}
		a := eventStream("s", 1, 2, true)
		body := a.Body
		a.Body = readerFunc(func(p []byte) (int, error) {
			k, err := body.Read(p)
			if err != nil {
				w.condemn("a")
			}
			return k, err
		})
		return a, nil
	}
	rec, err := w.requestWith(t.Context(), promptRequest("/guide/1", "a", "b"))
	require.NoError(t, err)
	require.Len(t, eventIDs(rec.Body.String()), 5)
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

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

	w.crashed = nil
	w.answer = func(int, Call) (*Answer, error) { return eventStream("s", 4, 3, false), nil }
	r := promptRequest("/short/1", "a", "b")
	r.After = "3"
	_, err = w.requestWith(t.Context(), r)
	require.NoError(t, err, "the caller has all events and resumes to learn of the end")
}
