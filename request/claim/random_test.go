package claim

import (
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/eelgrassdock/eelgrassdock/process/platform"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// rejected is the outcome of a run that the endpoint refused.
var rejected = refusal.New(refusal.Rejected, refusal.NotRun, "")

// Guards against a key that runs twice, and against the outcome "not run"
// although an earlier request under the key ran, while owners change without
// notice, entries die or are paused inside a run, the store fails, answers are
// lost, writes arrive late and time passes.
func TestRandomFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 4)
		defer w.close()
		var wg sync.WaitGroup
		var gates []chan struct{}
		open := func() {
			for _, gate := range gates {
				close(gate)
			}
			gates = nil
		}
		defer wg.Wait()
		defer open()
		var keys []string
		entry := rapid.IntRange(0, len(w.entries)-1)
		request := func(t *rapid.T) {
			if len(keys) == 0 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
				instance := rapid.SampledFrom([]string{"", "", "e1", "e2"}).Draw(t, "instance")
				keys = append(keys, w.key(instance))
			}
			key := keys[len(keys)-1-rapid.IntRange(0, min(len(keys)-1, 3)).Draw(t, "key")]
			e := w.entries[entry.Draw(t, "entry")]
			outcome := rapid.SampledFrom([]*refusal.Error{nil, nil, rejected, refusal.New(refusal.Timeout, refusal.Unknown, "")}).Draw(t, "outcome")
			var gate chan struct{}
			if rapid.IntRange(0, 3).Draw(t, "paused") == 0 {
				gate = make(chan struct{})
				gates = append(gates, gate)
			}
			wg.Go(func() { w.check(t, e, key, outcome, gate) })
			if rapid.Bool().Draw(t, "alone") && gate == nil {
				time.Sleep(time.Millisecond)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"request1": request, "request2": request, "request3": request, "request4": request,
			"owner":   func(t *rapid.T) { w.setOwner(w.entries[entry.Draw(t, "owner")]) },
			"stale":   func(t *rapid.T) { w.routeClaims(w.entries[entry.Draw(t, "stale")]) },
			"kill":    func(t *rapid.T) { w.kill(w.entries[rapid.IntRange(1, 3).Draw(t, "killed")]) },
			"resume":  func(*rapid.T) { open() },
			"time":    func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 25).Draw(t, "minutes")) * time.Minute) },
			"healthy": func(*rapid.T) { w.memory.Break(platform.Faults{}); w.withhold(false) },
			"down":    func(t *rapid.T) { w.memory.Break(platform.Faults{Down: rapid.Bool().Draw(t, "down"), Lose: 0.5}) },
			"late":    func(t *rapid.T) { w.withhold(rapid.Bool().Draw(t, "hold")) },
			"arrive":  func(*rapid.T) { w.deliverWithheld() },
		})
	})
}

// routeClaims sends claims to e, which may have a successor or may never have
// been an owner.
func (w *world) routeClaims(e *entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.owner = e
}

// check sends one request and compares its answer with what ran.
func (w *world) check(t *rapid.T, e *entry, key string, outcome *refusal.Error, gate chan struct{}) {
	before := w.runCount(key)
	var mine bool
	r := Request{Account: "a", Key: key, Fingerprint: "f", Deadline: w.clock().Add(300 * time.Millisecond)}
	_, err := e.request(r, func() error {
		if gate != nil {
			<-gate
		}
		mine = outcome != rejected
		if outcome == nil {
			return nil
		}
		return outcome
	})
	if n := w.runCount(key); n > 1 {
		t.Errorf("key %s ran %d times", key, n)
	}
	wrong := mine || before > 0
	if err != nil && err.Outcome == refusal.NotRun && wrong && !w.isDead(e) {
		t.Errorf("key %s ran, but %s says not run", key, err)
	}
	if err == nil && w.runCount(key) == 0 {
		t.Errorf("key %s has a result but did not run", key)
	}
}
