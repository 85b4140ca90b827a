// Package model simulates an inference engine deterministically. It has no
// clock: each Step returns how long it would take.
//
// The engine uses continuous batching. Each Step admits waiting work while
// memory and batch size allow, spends a budget of prompt tokens on work whose
// prompt is not yet computed, and decodes one token for every other running
// generation. The duration of a step is a base time plus a share for each
// running generation, each token of context and each prompt token computed.
// Memory is allocated in blocks. When a decode finds no free block, the running
// generation with the lowest rank, and among equals the youngest, is preempted:
// its memory is freed, and its prompt and output so far are computed again
// later. Prompt prefixes stay in memory after use and are evicted in order of
// last use.
package model

import (
	"math/rand/v2"
	"slices"
	"time"
)

type (
	// Config holds the parameters of an engine. Zero fields get the defaults.
	Config struct {
		Memory  int64 // capacity in tokens; default 100,000
		Block   int64 // tokens in a memory block; default 16
		Prefix  int64 // prompt tokens for each prefix hash; default 256
		Batch   int   // maximum number of running generations; default 256
		Prefill int64 // maximum number of prompt tokens computed in one step; default 2,048

		Base    time.Duration // duration of an empty step; default 25 ms
		PerGen  time.Duration // added for each running generation; default 100 µs
		PerUsed time.Duration // added for each 1,000 tokens of context; default 80 µs
		PerFill time.Duration // added for each 1,000 prompt tokens computed; default 30 ms
		Jitter  float64       // relative spread of the step duration; default 0.03

		Seed uint64
	}

	// Work is one generation to run. Length is the number of tokens that it
	// will produce; schedulers have no access to it.
	Work struct {
		Gen    string
		Prompt int64
		Prefix []uint64 // hash i covers the first (i+1)*Config.Prefix tokens
		Max    int
		Rank   int // higher is more important
		Length int
	}

	// Token is one token produced by a step.
	Token struct {
		Gen string
		N   int // counted from 1
		End bool
	}

	// Report is the load of an engine. Memory is counted in tokens.
	Report struct {
		Running, Waiting       int
		Used, Total, Preempted int64
		Leaving                bool
		StepTime               time.Duration // duration of the latest step
	}

	// Event is an addition to the prefix cache, or a removal if Gone is set.
	Event struct {
		Seq    int64
		Prefix uint64
		Gone   bool
	}

	// Engine is one simulated engine. It is not safe for concurrent use.
	Engine struct {
		Config Config
		// Leaving makes Submit reject new work.
		Leaving bool

		works     map[string]*work
		running   []*work
		waiting   []*work // by rank, then by order of arrival
		cache     prefixCache
		private   int64 // tokens in blocks that are not in the prefix cache
		preempted int64
		arrivals  uint64
		lastStep  time.Duration
		rand      *rand.Rand
		tokens    []Token
	}

	work struct {
		Work
		order  uint64
		done   int
		held   int64 // private tokens allocated, in whole blocks
		shared int   // blocks of the prefix cache in use
		fill   int64 // prompt tokens still to be computed; -1 if this step computed the last ones
		active bool
	}
)

// New returns an idle engine.
func New(cfg Config) *Engine {
	setDefault(&cfg.Memory, 100_000)
	setDefault(&cfg.Block, 16)
	setDefault(&cfg.Prefix, 256)
	setDefault(&cfg.Batch, 256)
	setDefault(&cfg.Prefill, 2048)
	setDefault(&cfg.Base, 25*time.Millisecond)
	setDefault(&cfg.PerGen, 100*time.Microsecond)
	setDefault(&cfg.PerUsed, 80*time.Microsecond)
	setDefault(&cfg.PerFill, 30*time.Millisecond)
	setDefault(&cfg.Jitter, 0.03)
	return &Engine{
		Config: cfg, works: map[string]*work{}, lastStep: cfg.Base,
		cache: prefixCache{size: cfg.Prefix, blocks: map[uint64]*block{}},
		rand:  rand.New(rand.NewPCG(cfg.Seed, 0x656e67696e65)),
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Submit queues work. It returns false if the engine is leaving, already has
// the generation, or has too little memory in total for the work.
func (e *Engine) Submit(w Work) bool {
	if e.Leaving || e.works[w.Gen] != nil || w.Prompt+int64(w.Length)+2*e.Config.Block > e.Config.Memory {
		return false
	}
	w.Length = max(w.Length, 1)
	if w.Max > 0 {
		w.Length = min(w.Length, w.Max)
	}
	w.Prefix = w.Prefix[:min(int64(len(w.Prefix)), w.Prompt/e.Config.Prefix)]
	e.arrivals++
	item := &work{Work: w, order: e.arrivals}
	e.works[w.Gen] = item
	e.enqueue(item)
	return true
}

// Cancel ends a generation. It returns false if the engine does not have it.
func (e *Engine) Cancel(gen string) bool {
	w := e.works[gen]
	if w == nil {
		return false
	}
	e.release(w)
	e.waiting = slices.DeleteFunc(e.waiting, func(o *work) bool { return o == w })
	e.running = slices.DeleteFunc(e.running, func(o *work) bool { return o == w })
	delete(e.works, gen)
	return true
}

// Idle reports whether the engine has no work.
func (e *Engine) Idle() bool { return len(e.works) == 0 }

// Report returns the load. Cached prefixes that no generation uses do not count
// as used, because they are evicted on demand.
func (e *Engine) Report() Report {
	return Report{
		Running: len(e.running), Waiting: len(e.waiting),
		Used: e.used(), Total: e.Config.Memory, Preempted: e.preempted,
		Leaving: e.Leaving, StepTime: e.lastStep,
	}
}

// Events returns the cache events after a sequence number. The engine keeps a
// bounded number of events, so the first one returned may follow a gap.
func (e *Engine) Events(after int64) []Event { return e.cache.after(after) }

// Step runs one step and returns its tokens and its duration, which is 0 if the
// engine is idle. The tokens are valid until the next step.
func (e *Engine) Step() (tokens []Token, took time.Duration) {
	e.tokens = e.tokens[:0]
	e.admit()
	if len(e.running) == 0 {
		return nil, 0
	}
	filled := e.prefill()
	e.decode()
	took = e.cost(filled)
	e.lastStep = took
	e.running = slices.DeleteFunc(e.running, func(w *work) bool { return !w.active })
	return e.tokens, took
}

// cost returns the duration of a step that computed some number of prompt
// tokens.
func (e *Engine) cost(filled int64) time.Duration {
	c := &e.Config
	context := e.private
	for _, w := range e.running {
		context += int64(w.shared) * c.Prefix
	}
	t := float64(c.Base) + float64(c.PerGen)*float64(len(e.running)) +
		float64(c.PerUsed)*float64(context)/1000 + float64(c.PerFill)*float64(filled)/1000
	return time.Duration(t * (1 + c.Jitter*(2*e.rand.Float64()-1)))
}

func (e *Engine) used() int64 { return e.private + e.cache.pinned() }

// reserve evicts unused prefixes until n tokens are free. It returns false if
// there are too few to evict.
func (e *Engine) reserve(n int64) bool {
	for e.private+e.cache.total()+n > e.Config.Memory {
		if !e.cache.evict() {
			return false
		}
	}
	return true
}

// enqueue inserts work into the queue, ordered by rank and then by arrival.
func (e *Engine) enqueue(w *work) {
	i, _ := slices.BinarySearchFunc(e.waiting, w, func(a, b *work) int {
		if a.Rank != b.Rank {
			return b.Rank - a.Rank
		}
		return int(int64(a.order) - int64(b.order))
	})
	e.waiting = slices.Insert(e.waiting, i, w)
}

// admit moves waiting work into the batch in order. Work that does not fit
// blocks the work behind it, so that large prompts do not starve.
func (e *Engine) admit() {
	n := 0
	for _, w := range e.waiting {
		if len(e.running) >= e.Config.Batch || !e.startWork(w) {
			break
		}
		n++
	}
	e.waiting = slices.Delete(e.waiting, 0, n)
}

// startWork allocates memory for the prompt and the output so far and adds the
// work to the batch. One more block must be free. It returns false if there is
// too little memory.
func (e *Engine) startWork(w *work) bool {
	size := e.Config.Prefix
	context := w.Prompt + int64(w.done)
	cached := e.cache.pin(w.Prefix)
	fresh := w.Prefix[cached:]
	private := e.blocks(context - int64(len(w.Prefix))*size)
	if !e.reserve(private + int64(len(fresh))*size + e.Config.Block) {
		e.cache.unpin(w.Prefix[:cached])
		return false
	}
	e.cache.add(fresh)
	w.shared, w.held = len(w.Prefix), private
	w.fill = max(context-int64(cached)*size, 1)
	w.active = true
	e.private += private
	e.running = append(e.running, w)
	return true
}

// blocks rounds a number of tokens up to whole blocks.
func (e *Engine) blocks(tokens int64) int64 {
	b := e.Config.Block
	return (tokens + b - 1) / b * b
}

// prefill computes prompt tokens within the budget of one step and returns
// their number.
func (e *Engine) prefill() (filled int64) {
	for _, w := range e.running {
		if w.fill > 0 {
			n := min(w.fill, e.Config.Prefill-filled)
			w.fill -= n
			filled += n
			if w.fill > 0 {
				break
			}
			// -1 means that this step completed the prompt. The same step also
			// produces a token: decode skips only a positive fill, and sets it to 0.
			w.fill = -1
		}
	}
	return filled
}

// decode produces one token for each generation whose prompt is computed.
func (e *Engine) decode() {
	for _, w := range e.running {
		if !w.active || w.fill > 0 {
			continue
		}
		w.fill = 0
		if !e.grow(w) {
			continue
		}
		w.done++
		end := w.done >= w.Length
		e.tokens = append(e.tokens, Token{Gen: w.Gen, N: w.done, End: end})
		if end {
			e.release(w)
			delete(e.works, w.Gen)
		}
	}
}

// grow allocates a block if the next token needs one, preempting other work if
// memory is full. It returns false if w itself was preempted.
func (e *Engine) grow(w *work) bool {
	context := w.Prompt + int64(w.done) + 1 - int64(w.shared)*e.Config.Prefix
	if context <= w.held {
		return true
	}
	for !e.reserve(e.Config.Block) {
		victim := e.victim()
		e.preempt(victim)
		if victim == w {
			return false
		}
	}
	w.held += e.Config.Block
	e.private += e.Config.Block
	return true
}

// victim returns the generation to preempt: the one of the lowest rank, and
// among equals the youngest.
func (e *Engine) victim() *work {
	var v *work
	for _, w := range e.running {
		if w.active && (v == nil || w.Rank < v.Rank || w.Rank == v.Rank && w.order > v.order) {
			v = w
		}
	}
	return v
}

// preempt frees the memory of work and queues it again.
func (e *Engine) preempt(w *work) {
	e.release(w)
	e.preempted++
	e.enqueue(w)
}

// release frees the memory of running work.
func (e *Engine) release(w *work) {
	if !w.active {
		return
	}
	e.private -= w.held
	e.cache.unpin(w.Prefix[:w.shared])
	w.held, w.shared, w.active = 0, 0, false
}
