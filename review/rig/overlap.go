package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	engineService = "guide-writer"
	engineCount   = 6
	readerCount   = 24
	overlapTime   = 30 * time.Second
	overlapBound  = 400 * time.Millisecond
	guideTime     = 39 * time.Second

	spoilingShare = 0.5  // of the engines
	spoilShare    = 0.05 // of their answers
)

// stay is the time for which an engine works on a request.
type stay struct {
	engine string
	from   string // memory from which it goes on
	after  int
	begun  time.Time
	ended  time.Time // zero while it works
}

// playOverlap sends streams that may run once at most, and that may go on from a copy of
// their memory. Some engines spoil an event of some answers. The rule is broken if a request goes
// on at another engine while the one before still works on it overlapBound later.
func playOverlap(ctx context.Context, r *rig) (bool, error) {
	var mu sync.Mutex
	stays, engines := map[string][]*stay{}, map[string]*engine{}
	began := func(e *engine, id, from string, after int) {
		mu.Lock()
		defer mu.Unlock()
		stays[id] = append(stays[id], &stay{engine: e.id, from: from, after: after, begun: time.Now()})
		r.note("run", id, "begins at", e.id, fmt.Sprintf("after event %d", after), from)
	}
	ended := func(e *engine, id string, events int) {
		mu.Lock()
		defer mu.Unlock()
		for _, s := range stays[id] {
			if s.engine == e.id && s.ended.IsZero() {
				s.ended = time.Now()
				break
			}
		}
		r.note("run", id, "ends at", e.id, fmt.Sprintf("with event %d", events))
	}
	for n := range engineCount {
		e := &engine{
			id: fmt.Sprintf("i-%d", n), zone: []string{"kurzeme-a", "vidzeme-a", "latgale-a"}[n%3], began: began, ended: ended,
			peer: func(addr string) *engine { return engines[addr] },
		}
		if r.trouble && float64(n) < spoilingShare*engineCount {
			e.spoils = spoilShare
		}
		if err := e.start(r); err != nil {
			return false, err
		}
		engines[e.addr] = e
	}
	if err := r.configure(guideTable()); err != nil {
		return false, err
	}
	if err := r.start(ctx, 3); err != nil {
		return false, err
	}
	until, cancel := context.WithTimeout(ctx, overlapTime)
	defer cancel()
	var readers sync.WaitGroup
	var whole, cut int
	for n := range readerCount {
		readers.Go(func() {
			for k := 0; until.Err() == nil; k++ {
				id := fmt.Sprintf("%08x%04x%04x", rand.Uint32(), n, k)
				ok := r.readStream(ctx, r.instances[n%len(r.instances)], id)
				mu.Lock()
				if ok {
					whole++
				} else {
					cut++
				}
				mu.Unlock()
			}
		})
	}
	readers.Wait()
	time.Sleep(3 * time.Second) // until no engine works any more
	mu.Lock()
	defer mu.Unlock()
	continued, broken := 0, 0
	for id, list := range stays {
		for n := 1; n < len(list); n++ {
			before, next := list[n-1], list[n]
			continued++
			at := next.begun.Add(overlapBound)
			if !before.ended.IsZero() && before.ended.Before(at) || before.engine == next.engine {
				continue
			}
			broken++
			r.note("BROKEN", id, "goes on at", next.engine, "while", before.engine, "works on it for", before.ended.Sub(next.begun).String())
		}
	}
	r.note("result", fmt.Sprintf("%d streams whole, %d not, %d went on elsewhere, TWICE broken %d times", whole, cut, continued, broken))
	fmt.Printf("%d streams whole, %d not, %d went on elsewhere, TWICE broken %d times\n", whole, cut, continued, broken)
	if whole == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return broken > 0, nil
}

// readStream sends one request for a stream to an instance, and reports whether its answer
// was whole.
func (r *rig) readStream(ctx context.Context, i *instance, id string) bool {
	const events = 120
	r.note("sent", id, "to", i.settings.Name)
	status, got, err := readEvents(ctx, http.DefaultClient, i.settings.Callers, id, events)
	ok := err == nil && status == http.StatusOK && got == events
	r.note("answer", id, fmt.Sprintf("status %d, %d events, whole %v", status, got, ok))
	return ok
}
