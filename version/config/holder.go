package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// StaleAfter is the maximum age of the evidence that the version in force is
	// the newest. Beyond it an entry's configuration may be out of date.
	StaleAfter = 9 * time.Second
	// HolderTick is the interval at which Run calls Step.
	HolderTick = 250 * time.Millisecond

	headReadsPerSecond = 4.0             // by all entries together
	minStaleChance     = 1.0 / 32        // minimum chance of a head read per tick while stale
	peerWait           = time.Second     // mean wait for a peer that has a new version, before reading the store
	callTimeout        = 3 * time.Second // of a fetch or store read
	ackRequestPause    = time.Second     // after a change, and between requests for acknowledgements
	ackRequestLimit    = time.Minute     // after a change; later acknowledgements come with the membership payload
	maxAckRequests     = 20              // requests for acknowledgements at once
	maxRecentDeltas    = keepDeltas      // deltas kept for peers
)

type (
	// Evidence proves that Version was the newest version at time At, which is
	// when the proving read of the store began, by the clock of the entry that
	// read.
	Evidence struct {
		Version int64     `json:"version"`
		At      time.Time `json:"at"`
	}

	// Holder keeps the version in force on one entry. The installed version never
	// decreases. The exported fields must be set before use. Callbacks may read
	// the holder, but must not call Change or Step.
	Holder struct {
		Store *Store
		// Fetch calls Deltas of the peer's holder and returns the result.
		Fetch func(ctx context.Context, peer string, after int64) ([]Delta, error)
		// Live returns the number of live entries, which share the reads of the
		// head.
		Live func() int
		// Nudge speeds up the dissemination of Payload, such as member.Node's Nudge.
		Nudge func()
		// SendPayload sends Payload to one entry immediately. It delivers the
		// acknowledgement to the entry where a change was made.
		SendPayload func(id string)
		// Acked is called with each version that this or another entry
		// acknowledges, such as Tracker.Ack.
		Acked func(id string, version int64)
		// Pending returns the IDs of the entries that lack a version, such as
		// Tracker's Pending; RequestPayload requests the payload of one entry.
		// After a change made here, they are used to request lost
		// acknowledgements.
		Pending        func(version int64) []string
		RequestPayload func(id string)
		// Installed is called with each version that is installed.
		Installed func(*Index)
		// Now is the clock, time.Now if nil; Seed seeds the jitter.
		Now  func() time.Time
		Seed uint64
		// Violation is called with the text of a violated invariant. If nil, the
		// violation is counted.
		Violation func(string)

		current   atomic.Pointer[Index]
		installMu sync.Mutex // held while a version is installed

		mu              sync.Mutex
		ready           chan struct{}
		wake            chan struct{}
		random          *rand.Rand
		evidence        Evidence
		nonceHash       uint64 // hash of the nonce of evidence.Version, 0 if not known
		proved          time.Time
		nonce           string // of the version in force
		recent          []Delta
		source          string // peer that has a version that this entry lacks
		storeReadAt     time.Time
		nextHeadCheck   time.Time
		unacked         int64 // newest version made here that some entry may lack; 0 for none
		ackRequestAt    time.Time
		ackRequestUntil time.Time
	}

	// payload is what holders exchange: evidence, and the version in force at the
	// sender.
	payload struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

		Version   int64
		At        int64 // Unix time in ms, 0 without evidence
		NonceHash uint64
		Installed int64
	}
)

// hashNonce returns a short hash of a nonce, or 0 for an empty one.
func hashNonce(nonce string) uint64 {
	if nonce == "" {
		return 0
	}
	return xxhash.Sum64String(nonce)
}

func (h *Holder) now() time.Time {
	if h.Now != nil {
		return h.Now()
	}
	return time.Now()
}

// init initializes the unexported fields of a zero Holder. h.mu must be held.
func (h *Holder) init() {
	if h.ready != nil {
		return
	}
	seed := h.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	h.ready, h.wake = make(chan struct{}), make(chan struct{}, 1)
	h.random = rand.New(rand.NewPCG(seed, seed))
}

// Current returns the version in force, or nil before the first.
func (h *Holder) Current() *Index { return h.current.Load() }

// Ready returns a channel that is closed once the first version is in force.
func (h *Holder) Ready() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	return h.ready
}

// Evidence returns the newest version that is known and when it was last proven
// to be the newest.
func (h *Holder) Evidence() Evidence {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.evidence
}

// Stale reports whether the version in force may be out of date, because it has
// not been proven to be the newest within StaleAfter before now.
func (h *Holder) Stale(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.proved) > StaleAfter
}

// Payload returns the encoded payload for OnPayload of other holders.
func (h *Holder) Payload() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := payload{Version: h.evidence.Version, NonceHash: h.nonceHash, Installed: -1}
	if x := h.current.Load(); x != nil {
		p.Installed = x.Document.Version
	}
	if !h.evidence.At.IsZero() {
		p.At = h.evidence.At.UnixMilli()
	}
	data, err := msgpack.Marshal(&p)
	if err != nil {
		return nil
	}
	return data
}

// OnPayload processes the payload of another entry: its acknowledgement and its
// evidence. If that entry has a newer version in force, Step is to fetch it
// from there.
func (h *Holder) OnPayload(from string, data []byte) {
	var p payload
	if err := msgpack.Unmarshal(data, &p); err != nil || p.Version < 0 || p.At < 0 {
		counters.Add("malformed", 1)
		return
	}
	if h.Acked != nil && p.Installed >= 0 {
		h.Acked(from, p.Installed)
	}
	if p.At > 0 {
		h.mergeEvidence(Evidence{Version: p.Version, At: time.UnixMilli(p.At)}, p.NonceHash)
	}
	h.mu.Lock()
	h.init()
	if p.Installed >= 0 && p.Installed > h.version() {
		h.source = from
		h.signal()
	}
	h.mu.Unlock()
}

// version returns the version in force, or -1 before the first.
func (h *Holder) version() int64 {
	if x := h.current.Load(); x != nil {
		return x.Document.Version
	}
	return -1
}

// signal makes Run call Step at once. h.mu must be held.
func (h *Holder) signal() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// mergeEvidence keeps the greater of e and the present evidence: the higher
// version, and for equal versions the later time. A lower version comes from a
// replica that lags or from a late message. Two nonces for one version violate
// an invariant.
func (h *Holder) mergeEvidence(e Evidence, nonceHash uint64) {
	now := h.now()
	if e.At.After(now) {
		e.At = now // the clock of another entry may run ahead and must not hide staleness
	}
	h.mu.Lock()
	h.init()
	var conflict string
	switch {
	case e.Version < h.evidence.Version:
		counters.Add("old_evidence", 1)
	case e.Version > h.evidence.Version:
		h.evidence, h.nonceHash = e, nonceHash
		h.storeReadAt = now.Add(peerWait/2 + time.Duration(h.random.Int64N(int64(peerWait))))
		h.signal()
	default:
		if nonceHash != 0 && h.nonceHash != 0 && nonceHash != h.nonceHash {
			conflict = fmt.Sprintf("version %d has two documents", e.Version)
		}
		if h.nonceHash == 0 {
			h.nonceHash = nonceHash
		}
		if e.At.After(h.evidence.At) {
			h.evidence.At = e.At
		}
	}
	h.updateProved()
	h.mu.Unlock()
	if conflict != "" {
		h.reportViolation(conflict)
	}
}

// updateProved updates the time at which the version in force was last proven
// to be the newest. h.mu must be held.
func (h *Holder) updateProved() {
	if h.version() >= h.evidence.Version && h.evidence.At.After(h.proved) {
		h.proved = h.evidence.At
	}
}

func (h *Holder) reportViolation(text string) {
	if h.Violation != nil {
		h.Violation(text)
		return
	}
	counters.Add("violations", 1)
}

// Change makes a change through Store.Change and installs the new version. It
// returns the new version, or the current one if nothing changed.
func (h *Holder) Change(ctx context.Context, base int64, edit func(*Document) error, who string) (int64, error) {
	began := h.now()
	doc, d, err := h.Store.change(ctx, base, edit, who)
	if err != nil {
		return 0, err
	}
	if d.Version == 0 {
		return doc.Version, nil // nothing changed
	}
	h.mergeEvidence(Evidence{Version: d.Version, At: began}, hashNonce(d.Nonce))
	h.install(doc, []Delta{d})
	h.mu.Lock()
	h.unacked, h.ackRequestAt, h.ackRequestUntil = d.Version, began.Add(ackRequestPause), began.Add(ackRequestLimit)
	h.mu.Unlock()
	return d.Version, nil
}

// Deltas returns, for a peer, the deltas after a version. If they are no longer
// kept, it returns a single delta that holds the whole document; without a
// newer version it returns none.
func (h *Holder) Deltas(after int64) ([]Delta, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.current.Load()
	if x == nil || x.Document.Version <= after {
		return nil, nil
	}
	for i, d := range h.recent {
		if d.Base == after && after > 0 {
			return h.recent[i:len(h.recent):len(h.recent)], nil
		}
	}
	d := Diff(Document{}, x.Document)
	d.Nonce = h.nonce
	return []Delta{d}, nil
}

// install puts doc in force unless its version is not higher than the current
// one. deltas are the changes that led to doc, ending with the delta of its
// version. For a document that was loaded whole, deltas is a single delta with
// only the version and the nonce. Its Base of 0 makes recordInstall discard the
// recent deltas, and the nonce shows whether another document has the version.
func (h *Holder) install(doc Document, deltas []Delta) {
	h.installMu.Lock()
	defer h.installMu.Unlock()
	nonce := ""
	if len(deltas) > 0 {
		nonce = deltas[len(deltas)-1].Nonce
	}
	if have := h.version(); doc.Version <= have {
		h.mu.Lock()
		conflict := doc.Version == have && nonce != "" && h.nonce != "" && nonce != h.nonce
		h.mu.Unlock()
		if conflict {
			h.reportViolation(fmt.Sprintf("version %d has two documents", have))
		}
		counters.Add("old_documents", 1)
		return
	}
	x := NewIndex(doc)
	if old := h.current.Swap(x); old != nil && old.Document.Version >= doc.Version {
		h.reportViolation(fmt.Sprintf("version went from %d to %d", old.Document.Version, doc.Version))
	}
	origins := h.recordInstall(doc, nonce, deltas)
	if h.Acked != nil {
		h.Acked(h.Store.Origin, doc.Version)
	}
	if h.Installed != nil {
		h.Installed(x)
	}
	if h.Nudge != nil {
		h.Nudge()
	}
	for id := range origins {
		if h.SendPayload != nil && id != h.Store.Origin {
			h.SendPayload(id)
		}
	}
}

// recordInstall updates the state after doc was put in force, and returns the
// IDs of the entries that made the changes.
func (h *Holder) recordInstall(doc Document, nonce string, deltas []Delta) map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	origins := map[string]bool{}
	for _, d := range deltas {
		if n := len(h.recent); d.Base == 0 || n > 0 && h.recent[n-1].Version != d.Base {
			h.recent = nil // a gap: older deltas no longer lead to the version in force
		}
		if d.Base > 0 {
			h.recent = append(h.recent, d)
		}
		if d.Origin != "" {
			origins[d.Origin] = true
		}
	}
	if len(deltas) == 0 {
		h.recent = nil
	}
	if extra := len(h.recent) - maxRecentDeltas; extra > 0 {
		h.recent = append([]Delta(nil), h.recent[extra:]...)
	}
	h.nonce, h.source = nonce, ""
	h.updateProved()
	select {
	case <-h.ready:
	default:
		close(h.ready)
	}
	return origins
}

// applyDeltas applies deltas to the version in force and installs the result.
// If a delta between them is missing, the error wraps ErrGap.
func (h *Holder) applyDeltas(deltas []Delta) error {
	var doc Document
	have := int64(-1)
	if x := h.current.Load(); x != nil {
		doc, have = x.Document, x.Document.Version
	}
	var applied []Delta
	for _, d := range deltas {
		switch {
		case d.Version <= have:
			continue
		case d.Base == 0:
			doc = Apply(Document{}, d)
		case d.Base == doc.Version:
			doc = Apply(doc, d)
		default:
			return fmt.Errorf("delta %d after version %d: %w", d.Version, doc.Version, ErrGap)
		}
		have = doc.Version
		applied = append(applied, d)
	}
	if len(applied) == 0 {
		return errors.Newf("no deltas after version %d", have)
	}
	h.install(doc, applied)
	return nil
}
