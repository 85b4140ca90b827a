package config

import (
	"context"
	"slices"
	"sync"
)

// Tracker records which version each entry has in force. An entry is tracked
// from when it is observed until it deregisters, is replaced, or disappears
// from the list of instances. An entry that is merely suspected stays: it may
// be serving callers with an old version.
type Tracker struct {
	// Gone reports whether an entry has deregistered or was replaced, such as a
	// member of status Left. It is called under a lock; nil means never.
	Gone func(id string) bool

	mu      sync.Mutex
	acked   map[string]int64 // version by entry, -1 before the first acknowledgement
	listed  map[string]bool  // in the last list of instances
	dropped map[string]bool  // missing from a list after having been in the one before
	changed chan struct{}    // closed by notify; nil if nothing waits
}

func (t *Tracker) lock() {
	t.mu.Lock()
	if t.acked == nil {
		t.acked, t.listed, t.dropped = map[string]int64{}, map[string]bool{}, map[string]bool{}
	}
}

// notify wakes the callers of Wait. t.mu must be held.
func (t *Tracker) notify() {
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

// Observe starts to track live entries. It ignores those that the list of
// instances has dropped.
func (t *Tracker) Observe(ids ...string) {
	t.lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		if _, ok := t.acked[id]; !ok && !t.dropped[id] {
			t.acked[id] = -1
		}
	}
}

// Remove stops tracking an entry that deregistered, was replaced, refuses
// connections or answers as another instance.
func (t *Tracker) Remove(id string) {
	t.lock()
	defer t.mu.Unlock()
	delete(t.acked, id)
	delete(t.listed, id)
	t.notify()
}

// OnInstanceList processes the list of instances. An entry that was in the
// previous list and is not in this one is no longer tracked. An entry that has
// been in no list yet stays, because the list lags.
func (t *Tracker) OnInstanceList(ids []string) {
	t.lock()
	defer t.mu.Unlock()
	now := make(map[string]bool, len(ids))
	for _, id := range ids {
		now[id] = true
		delete(t.dropped, id)
	}
	for id := range t.listed {
		if !now[id] {
			t.dropped[id] = true
			delete(t.acked, id)
		}
	}
	t.listed = now
	t.notify()
}

// Ack records that an entry has a version in force. An acknowledgement from an
// entry that is not tracked is late and ignored.
func (t *Tracker) Ack(id string, version int64) {
	t.lock()
	defer t.mu.Unlock()
	if have, ok := t.acked[id]; ok && version > have {
		t.acked[id] = version
		t.notify()
	}
}

// Pending returns the sorted IDs of the tracked entries that lack the version.
// The version is accepted when there are none.
func (t *Tracker) Pending(version int64) []string {
	t.lock()
	defer t.mu.Unlock()
	return t.pending(version)
}

func (t *Tracker) pending(version int64) []string {
	var ids []string
	for id, have := range t.acked {
		switch {
		case have >= version:
		case t.Gone != nil && t.Gone(id):
			delete(t.acked, id)
		default:
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Wait blocks until no tracked entry lacks the version or ctx ends, and returns
// the IDs of those that still do.
func (t *Tracker) Wait(ctx context.Context, version int64) []string {
	for {
		t.lock()
		ids := t.pending(version)
		if t.changed == nil {
			t.changed = make(chan struct{})
		}
		changed := t.changed
		t.mu.Unlock()
		if len(ids) == 0 || ctx.Err() != nil {
			return ids
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}
