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
	// StaleAfter is the age of the newest evidence above which an entry's
	// configuration may be out of date.
	StaleAfter = 9 * time.Second
	// HolderTick is the interval at which Run calls Step.
	HolderTick = 250 * time.Millisecond

	headReads  = 4.0             // reads of the head per second by all entries together
	lonelyRate = 1.0 / 32        // least chance of a read per tick while stale
	sourceWait = time.Second     // wait for a peer that has a new version, before reading the store
	callLimit  = 3 * time.Second // of one fetch or store read
	askPause   = time.Second     // before entries are asked for an acknowledgement, and between
	askLimit   = time.Minute     // later ones come with the membership payload
	askAtOnce  = 20
	keepRecent = keepDeltas // deltas that are kept for peers
)

type (
	// Evidence says what the newest version was at a time. At is when the read
	// of the store began that proved it, by the clock of the entry that read.
	Evidence struct {
		Version int64     `json:"version"`
		At      time.Time `json:"at"`
	}

	// Holder keeps the version in force on one entry. Installed versions only
	// grow. Fields are set before use. Callbacks may read the holder, but must
	// not call Change or Step.
	Holder struct {
		Store *Store
		// Fetch gets the deltas after a version from a peer's Deltas.
		Fetch func(ctx context.Context, peer string, after int64) ([]Delta, error)
		// Live gives the number of live entries, which share the reads of the head.
		Live func() int
		// Nudge speeds up the spread of Payload, such as member.Node's Nudge.
		Nudge func()
		// Tell sends Payload to one entry at once: the acknowledgement to the
		// entry where a change was made.
		Tell func(id string)
		// Acked gets what this and other entries acknowledge, such as Tracker.Ack.
		Acked func(id string, version int64)
		// Pending names the entries that lack a version, such as Tracker's
		// Pending; Ask makes one entry send its payload. After a change made
		// here, entries whose acknowledgement got lost are asked for it.
		Pending func(version int64) []string
		Ask     func(id string)
		// Installed gets each version that comes into force.
		Installed func(*Index)
		// Now is the clock, time.Now if nil; Seed seeds the jitter.
		Now  func() time.Time
		Seed uint64
		// Violation gets a broken invariant; nil counts it.
		Violation func(string)

		current atomic.Pointer[Index]
		install sync.Mutex // held while a version is put in force

		mu       sync.Mutex
		ready    chan struct{}
		wake     chan struct{}
		random   *rand.Rand
		evidence Evidence
		mark     uint64 // of evidence.Version, 0 if not known
		proved   time.Time
		nonce    string // of the installed version
		recent   []Delta
		source   string // peer that has a version that this entry lacks
		fallback time.Time
		nextRoll time.Time
		made     int64 // newest version made here that some entry may lack
		askFrom  time.Time
		askUntil time.Time
	}

	// report is the payload: evidence, and the version in force at the sender.
	report struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

		Version   int64
		At        int64 // milliseconds
		Mark      uint64
		Installed int64
	}
)

// markOf is a short form of a nonce.
func markOf(nonce string) uint64 {
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

// init makes what the zero value lacks; the lock is held.
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

// Current gives the version in force, nil before the first.
func (h *Holder) Current() *Index { return h.current.Load() }

// Ready is closed when the first version is in force.
func (h *Holder) Ready() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	return h.ready
}

// Evidence gives the newest version known and when it was proven.
func (h *Holder) Evidence() Evidence {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.evidence
}

// Stale tells whether the version in force may be out of date: it has not been
// proven the newest within StaleAfter.
func (h *Holder) Stale(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.proved) > StaleAfter
}

// Payload gives the bytes that OnPayload of other holders takes.
func (h *Holder) Payload() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := report{Version: h.evidence.Version, Mark: h.mark, Installed: -1}
	if x := h.current.Load(); x != nil {
		r.Installed = x.Document.Version
	}
	if !h.evidence.At.IsZero() {
		r.At = h.evidence.At.UnixMilli()
	}
	data, err := msgpack.Marshal(&r)
	if err != nil {
		return nil
	}
	return data
}

// OnPayload takes in what another entry knows.
func (h *Holder) OnPayload(from string, data []byte) {
	var r report
	if err := msgpack.Unmarshal(data, &r); err != nil || r.Version < 0 || r.At < 0 {
		counts.Add("malformed", 1)
		return
	}
	if h.Acked != nil && r.Installed >= 0 {
		h.Acked(from, r.Installed)
	}
	if r.At > 0 {
		h.merge(Evidence{Version: r.Version, At: time.UnixMilli(r.At)}, r.Mark)
	}
	h.mu.Lock()
	h.init()
	if r.Installed >= 0 && r.Installed > h.version() {
		h.source = from
		h.rouse()
	}
	h.mu.Unlock()
}

// version gives the version in force, -1 before the first.
func (h *Holder) version() int64 {
	if x := h.current.Load(); x != nil {
		return x.Document.Version
	}
	return -1
}

// rouse makes Run call Step at once; the lock is held.
func (h *Holder) rouse() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// merge takes in evidence and keeps the greater: the higher version, and for
// one version the later time. A lower version is from an old replica or a late
// message.
func (h *Holder) merge(e Evidence, mark uint64) {
	now := h.now()
	if e.At.After(now) {
		e.At = now // a clock that runs ahead must not hide staleness
	}
	h.mu.Lock()
	h.init()
	var clash string
	switch {
	case e.Version < h.evidence.Version:
		counts.Add("old_evidence", 1)
	case e.Version > h.evidence.Version:
		h.evidence, h.mark = e, mark
		h.fallback = now.Add(sourceWait/2 + time.Duration(h.random.Int64N(int64(sourceWait))))
		h.rouse()
	default:
		if mark != 0 && h.mark != 0 && mark != h.mark {
			clash = fmt.Sprintf("version %d has two documents", e.Version)
		}
		if h.mark == 0 {
			h.mark = mark
		}
		if e.At.After(h.evidence.At) {
			h.evidence.At = e.At
		}
	}
	h.prove()
	h.mu.Unlock()
	if clash != "" {
		h.violated(clash)
	}
}

// prove notes that the version in force is the newest known; the lock is held.
func (h *Holder) prove() {
	if h.version() >= h.evidence.Version && h.evidence.At.After(h.proved) {
		h.proved = h.evidence.At
	}
}

func (h *Holder) violated(text string) {
	if h.Violation != nil {
		h.Violation(text)
		return
	}
	counts.Add("violations", 1)
}

// Change makes a change through the store and puts it in force here.
func (h *Holder) Change(ctx context.Context, base int64, edit func(*Document) error, who string) (int64, error) {
	began := h.now()
	doc, d, err := h.Store.change(ctx, base, edit, who)
	if err != nil {
		return 0, err
	}
	if d.Version == 0 {
		return doc.Version, nil // nothing changed
	}
	h.merge(Evidence{Version: d.Version, At: began}, markOf(d.Nonce))
	h.put(doc, []Delta{d})
	h.mu.Lock()
	h.made, h.askFrom, h.askUntil = d.Version, began.Add(askPause), began.Add(askLimit)
	h.mu.Unlock()
	return d.Version, nil
}

// Deltas serves peers: the deltas after a version, or a single one that holds
// the whole document if those are no longer kept.
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

// put puts a document in force that the last of the deltas leads to. Deltas
// may be empty for a document that was loaded whole.
func (h *Holder) put(doc Document, deltas []Delta) {
	h.install.Lock()
	defer h.install.Unlock()
	nonce := ""
	if len(deltas) > 0 {
		nonce = deltas[len(deltas)-1].Nonce
	}
	if have := h.version(); doc.Version <= have {
		h.mu.Lock()
		clash := doc.Version == have && nonce != "" && h.nonce != "" && nonce != h.nonce
		h.mu.Unlock()
		if clash {
			h.violated(fmt.Sprintf("version %d has two documents", have))
		}
		counts.Add("old_documents", 1)
		return
	}
	x := NewIndex(doc)
	if old := h.current.Swap(x); old != nil && old.Document.Version >= doc.Version {
		h.violated(fmt.Sprintf("version went from %d to %d", old.Document.Version, doc.Version))
	}
	origins := h.record(doc, nonce, deltas)
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
		if h.Tell != nil && id != h.Store.Origin {
			h.Tell(id)
		}
	}
}

// record notes what was put in force and gives the entries that made the
// changes.
func (h *Holder) record(doc Document, nonce string, deltas []Delta) map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	origins := map[string]bool{}
	for _, d := range deltas {
		if n := len(h.recent); d.Base == 0 || n > 0 && h.recent[n-1].Version != d.Base {
			h.recent = nil // a gap: older deltas lead nowhere
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
	if extra := len(h.recent) - keepRecent; extra > 0 {
		h.recent = append([]Delta(nil), h.recent[extra:]...)
	}
	h.nonce, h.source = nonce, ""
	h.prove()
	select {
	case <-h.ready:
	default:
		close(h.ready)
	}
	return origins
}

// extend applies deltas to the version in force and installs the result.
func (h *Holder) extend(deltas []Delta) error {
	var doc Document
	have := int64(-1)
	if x := h.current.Load(); x != nil {
		doc, have = x.Document, x.Document.Version
	}
	var used []Delta
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
		used = append(used, d)
	}
	if len(used) == 0 {
		return errors.Newf("peer has nothing after version %d", have)
	}
	h.put(doc, used)
	return nil
}
