package config

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Run keeps the version in force up to date until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	h.Ready() // makes the channels
	ticker := time.NewTicker(HolderTick)
	defer ticker.Stop()
	for {
		h.Step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-h.wake:
		}
	}
}

// Step reads the head if it is this entry's turn, and gets what is missing.
func (h *Holder) Step(ctx context.Context) {
	if h.turn() {
		h.poll(ctx)
	}
	h.askPending()
	if h.current.Load() == nil {
		h.begin(ctx)
		return
	}
	if h.version() < h.Evidence().Version {
		h.catchUp(ctx)
	}
}

// askPending asks some of the entries that have not acknowledged the newest
// version made here.
func (h *Holder) askPending() {
	now := h.now()
	h.mu.Lock()
	made := h.made
	due := made > 0 && !now.Before(h.askFrom)
	if due {
		h.askFrom = now.Add(askPause)
	}
	if now.After(h.askUntil) {
		h.made = 0
	}
	h.mu.Unlock()
	if !due || h.Pending == nil || h.Ask == nil {
		return
	}
	ids := h.Pending(made)
	h.mu.Lock()
	h.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	if len(ids) == 0 && h.made == made {
		h.made = 0
	}
	h.mu.Unlock()
	for _, id := range ids[:min(len(ids), askAtOnce)] {
		h.Ask(id)
	}
}

// turn tells, with a chance that makes all entries together read the head at
// the intended rate, whether to read it now. Without a version, it is always
// this entry's turn. A stale entry may be cut off from those whose turn it is
// and reads more often.
func (h *Holder) turn() bool {
	now := h.now()
	live := 1
	if h.Live != nil {
		live = max(1, h.Live())
	}
	stale := h.Stale(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	if now.Before(h.nextRoll) {
		return false
	}
	h.nextRoll = now.Add(HolderTick)
	if h.current.Load() == nil {
		return true
	}
	chance := headReads * HolderTick.Seconds() / float64(live)
	if stale {
		chance = max(chance, lonelyRate)
	}
	return h.random.Float64() < chance
}

func (h *Holder) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	began := h.now()
	head, err := h.Store.ReadHead(ctx)
	if err != nil {
		counts.Add("head_failed", 1)
		return
	}
	counts.Add("head_reads", 1)
	h.merge(Evidence{Version: head.Version, At: began}, markOf(head.Nonce))
}

// begin installs the first version. It must not be older than fresh evidence
// says, so without that the entry waits.
func (h *Holder) begin(ctx context.Context) {
	now := h.now()
	e := h.Evidence()
	if e.At.IsZero() || now.Sub(e.At) > StaleAfter {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if doc, head, err := h.Store.load(ctx); err == nil && doc.Version >= e.Version {
		h.merge(Evidence{Version: head.Version, At: now}, markOf(head.Nonce))
		h.put(doc, []Delta{{Version: doc.Version, Nonce: head.Nonce}})
		return
	}
	counts.Add("load_failed", 1)
	h.fetch(ctx, 0)
}

// fetch gets deltas from the peer that is known to have more.
func (h *Holder) fetch(ctx context.Context, after int64) bool {
	h.mu.Lock()
	peer := h.source
	h.source = ""
	h.mu.Unlock()
	if peer == "" || h.Fetch == nil {
		return false
	}
	deltas, err := h.Fetch(ctx, peer, after)
	if err == nil {
		if h.current.Load() == nil && (len(deltas) == 0 || deltas[len(deltas)-1].Version < h.Evidence().Version) {
			return false // not the newest: keep waiting
		}
		err = h.extend(deltas)
	}
	if err != nil {
		counts.Add("fetch_failed", 1)
		return false
	}
	counts.Add("fetched", 1)
	return true
}

// catchUp gets the versions after the one in force, from a peer if one is known
// to have them, and from the store if that takes too long.
func (h *Holder) catchUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if h.fetch(ctx, h.version()) && h.version() >= h.Evidence().Version {
		return
	}
	now := h.now()
	h.mu.Lock()
	if now.Before(h.fallback) {
		h.mu.Unlock()
		return
	}
	h.fallback = now.Add(sourceWait/2 + time.Duration(h.random.Int64N(int64(sourceWait))))
	h.mu.Unlock()
	counts.Add("store_reads", 1)
	deltas, err := h.Store.Deltas(ctx, h.version(), h.Evidence().Version)
	if err == nil {
		err = h.extend(deltas)
	}
	if !errors.Is(err, ErrGap) {
		return // done, or the store is down and the next step tries again
	}
	if doc, head, err := h.Store.load(ctx); err == nil {
		h.merge(Evidence{Version: head.Version, At: now}, markOf(head.Nonce))
		h.put(doc, []Delta{{Version: doc.Version, Nonce: head.Nonce}})
	}
}
