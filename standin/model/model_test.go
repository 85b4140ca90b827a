package model_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/eelgrassdock/eelgrassdock/standin/model"
)

func ExampleEngine() {
	e := model.New(model.Config{Memory: 10_000, Seed: 1})
	e.Submit(model.Work{Gen: "g", Prompt: 100, Length: 3})
	for !e.Idle() {
		tokens, _ := e.Step()
		fmt.Println(tokens[0].N, tokens[0].End)
	}
	// Output:
	// 1 false
	// 2 false
	// 3 true
}

// run steps until the engine is idle and returns the generations in the order
// in which they ended.
func run(t *testing.T, e *model.Engine) (ends []string, took time.Duration) {
	for range 100_000 {
		tokens, d := e.Step()
		took += d
		for _, token := range tokens {
			if token.End {
				ends = append(ends, token.Gen)
			}
		}
		if e.Idle() {
			return ends, took
		}
	}
	t.Fatal("engine does not become idle")
	return nil, 0
}

// Guards against preemption of the wrong generation and against the loss of a
// preempted one.
func TestPreemptsLowestRankThenYoungest(t *testing.T) {
	e := model.New(model.Config{Memory: 1600, Seed: 1})
	e.Submit(model.Work{Gen: "old", Prompt: 400, Length: 400})
	e.Submit(model.Work{Gen: "low", Prompt: 400, Length: 400, Rank: -1})
	e.Submit(model.Work{Gen: "young", Prompt: 400, Length: 400})
	ends, _ := run(t, e)
	if !slices.Equal(ends, []string{"old", "young", "low"}) {
		t.Errorf("ended in the order %v", ends)
	}
	if r := e.Report(); r.Preempted == 0 || r.Used != 0 {
		t.Errorf("report %+v", r)
	}
}

// Guards against a step time that does not grow with the batch, and against
// cached prompts that cost as much as new ones.
func TestCosts(t *testing.T) {
	one := model.New(model.Config{Seed: 1, Jitter: 1e-9})
	one.Submit(model.Work{Gen: "a", Prompt: 4096, Prefix: prefix(16), Length: 1})
	_, cold := run(t, one)
	one.Submit(model.Work{Gen: "b", Prompt: 4096, Prefix: prefix(16), Length: 1})
	_, cached := run(t, one)
	if cached*2 > cold {
		t.Errorf("cached prompt took %v, new one %v", cached, cold)
	}
	many := model.New(model.Config{Seed: 1, Jitter: 1e-9})
	for i := range 100 {
		many.Submit(model.Work{Gen: strconv.Itoa(i), Prompt: 1, Length: 10})
	}
	_, _ = many.Step()
	if _, took := many.Step(); took < 30*time.Millisecond {
		t.Errorf("step of 100 generations took %v", took)
	}
}

func prefix(n int) (hashes []uint64) {
	for i := range n {
		hashes = append(hashes, uint64(i+1))
	}
	return hashes
}

// Guards against lost or repeated tokens, memory beyond the total, memory that
// is not released, and cache events that don't add up to the cache.
func TestRandomWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := model.New(model.Config{Memory: 4000, Batch: 16, Seed: 7})
		last, want, cached := map[string]int{}, map[string]int{}, map[uint64]bool{}
		seq := int64(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			gen := strconv.Itoa(i)
			w := model.Work{
				Gen: gen, Prompt: rapid.Int64Range(1, 1500).Draw(t, "prompt"), Prefix: prefix(5),
				Rank: rapid.IntRange(0, 1).Draw(t, "rank"), Length: rapid.IntRange(1, 600).Draw(t, "length"),
			}
			if e.Submit(w) {
				want[gen] = w.Length
			}
			if victim := strconv.Itoa(i / 2); rapid.IntRange(0, 9).Draw(t, "cancel") == 0 && e.Cancel(victim) {
				delete(want, victim)
			}
			for range rapid.IntRange(0, 20).Draw(t, "n") {
				tokens, _ := e.Step()
				check(t, e, tokens, last)
			}
		}
		for range 100_000 {
			if e.Idle() {
				break
			}
			tokens, _ := e.Step()
			check(t, e, tokens, last)
		}
		for gen, n := range want {
			if last[gen] != n {
				t.Fatalf("generation %s ended after %d of %d tokens", gen, last[gen], n)
			}
		}
		for _, event := range e.Events(0) {
			if event.Seq != seq+1 || cached[event.Prefix] == !event.Gone {
				t.Fatalf("event %+v after %d", event, seq)
			}
			seq, cached[event.Prefix] = event.Seq, !event.Gone
		}
		if r := e.Report(); r.Used != 0 || r.Running+r.Waiting != 0 {
			t.Fatalf("idle engine reports %+v", r)
		}
	})
}

func check(t *rapid.T, e *model.Engine, tokens []model.Token, last map[string]int) {
	for _, token := range tokens {
		if token.N != last[token.Gen]+1 {
			t.Fatalf("token %d of %s follows %d", token.N, token.Gen, last[token.Gen])
		}
		last[token.Gen] = token.N
	}
	if r := e.Report(); r.Used > r.Total || r.Used < 0 {
		t.Fatalf("memory %d of %d", r.Used, r.Total)
	}
}
