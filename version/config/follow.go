package config

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Run keeps the version in force up to date until ctx ends, and returns
// ctx.Err().
func (h *Holder) Run(ctx context.Context) error {
	h.Ready() // initializes the channels
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

// Step reads the head if this entry is due to, requests missing
// acknowledgements and installs newer versions.
func (h *Holder) Step(ctx context.Context) {
	if h.shouldReadHead() {
		h.readHead(ctx)
	}
	h.requestMissingAcks()
	if h.current.Load() == nil {
		h.installFirst(ctx)
		return
	}
	if h.version() < h.Evidence().Version {
		h.catchUp(ctx)
	}
}

// requestMissingAcks requests acknowledgements from up to maxAckRequests random
// entries that have not acknowledged the newest version made here.
func (h *Holder) requestMissingAcks() {
	now := h.now()
	h.mu.Lock()
	made := h.unacked
	due := made > 0 && !now.Before(h.ackRequestAt)
	if due {
		h.ackRequestAt = now.Add(ackRequestPause)
	}
	if now.After(h.ackRequestUntil) {
		h.unacked = 0
	}
	h.mu.Unlock()
	if !due || h.Pending == nil || h.RequestPayload == nil {
		return
	}
	ids := h.Pending(made)
	h.mu.Lock()
	h.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	if len(ids) == 0 && h.unacked == made {
		h.unacked = 0
	}
	h.mu.Unlock()
	for _, id := range ids[:min(len(ids), maxAckRequests)] {
		h.RequestPayload(id)
	}
}

// shouldReadHead reports whether to read the head in this tick. The decision is
// random, with a chance for which all entries together make headReadsPerSecond
// reads. An entry without a version always reads. A stale entry may be cut off
// from the entries that read the head, so its chance is at least
// minStaleChance.
func (h *Holder) shouldReadHead() bool {
	now := h.now()
	live := 1
	if h.Live != nil {
		live = max(1, h.Live())
	}
	stale := h.Stale(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	if now.Before(h.nextHeadCheck) {
		return false
	}
	h.nextHeadCheck = now.Add(HolderTick)
	if h.current.Load() == nil {
		return true
	}
	chance := headReadsPerSecond * HolderTick.Seconds() / float64(live)
	if stale {
		chance = max(chance, minStaleChance)
	}
	return h.random.Float64() < chance
}

func (h *Holder) readHead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := h.now()
	head, err := h.Store.ReadHead(ctx)
	if err != nil {
		counters.Add("head_failed", 1)
		return
	}
	counters.Add("head_reads", 1)
	h.mergeEvidence(Evidence{Version: head.Version, At: began}, hashNonce(head.Nonce))
}

// installFirst installs the first version, which must not be older than
// evidence from within StaleAfter. Without such evidence it does nothing.
func (h *Holder) installFirst(ctx context.Context) {
	now := h.now()
	e := h.Evidence()
	if e.At.IsZero() || now.Sub(e.At) > StaleAfter {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if doc, head, err := h.Store.load(ctx); err == nil && doc.Version >= e.Version {
		h.mergeEvidence(Evidence{Version: head.Version, At: now}, hashNonce(head.Nonce))
		h.install(doc, []Delta{{Version: doc.Version, Nonce: head.Nonce}})
		return
	}
	counters.Add("load_failed", 1)
	h.fetch(ctx, 0)
}

// fetch installs deltas from a peer that is known to have a newer version. It
// reports whether it did.
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
			return false // the first version to be installed must be the newest
		}
		err = h.applyDeltas(deltas)
	}
	if err != nil {
		counters.Add("fetch_failed", 1)
		return false
	}
	counters.Add("fetched", 1)
	return true
}

// catchUp installs the versions after the one in force. It fetches them from a
// peer that is known to have them, and from the store if they have not arrived
// within half to one and a half times peerWait.
func (h *Holder) catchUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if h.fetch(ctx, h.version()) && h.version() >= h.Evidence().Version {
		return
	}
	now := h.now()
	h.mu.Lock()
	if now.Before(h.storeReadAt) {
		h.mu.Unlock()
		return
	}
	h.storeReadAt = now.Add(peerWait/2 + time.Duration(h.random.Int64N(int64(peerWait))))
	h.mu.Unlock()
	counters.Add("store_reads", 1)
	deltas, err := h.Store.Deltas(ctx, h.version(), h.Evidence().Version)
	if err == nil {
		err = h.applyDeltas(deltas)
	}
	if !errors.Is(err, ErrGap) {
		return // done, or the store is down and the next step tries again
	}
	if doc, head, err := h.Store.load(ctx); err == nil {
		h.mergeEvidence(Evidence{Version: head.Version, At: now}, hashNonce(head.Nonce))
		h.install(doc, []Delta{{Version: doc.Version, Nonce: head.Nonce}})
	}
}
