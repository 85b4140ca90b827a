package config

import (
	"context"
	"slices"
	"sync"
)

// Tracker keeps which entries have which version in force. An entry is in the
// set from when it is observed until it is removed because it deregistered or
// was replaced, or until the list of instances drops it. An entry that is only
// suspected stays: it may be serving callers with an old version.
type Tracker struct {
	// Gone tells that an entry deregistered or was replaced, such as a member
	// of status Left. It is called under a lock; nil means never.
	Gone func(id string) bool

	mu      sync.Mutex
	acked   map[string]int64
	listed  map[string]bool // seen in the list of instances
	dropped map[string]bool // by the list of instances
	changed chan struct{}
}

func (t *Tracker) lock() {
	t.mu.Lock()
	if t.acked == nil {
		t.acked, t.listed, t.dropped = map[string]int64{}, map[string]bool{}, map[string]bool{}
	}
}

// notify wakes those in Wait; the lock is held.
func (t *Tracker) notify() {
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

// Observe adds live entries to the set. It removes none.
func (t *Tracker) Observe(ids ...string) {
	t.lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		if _, ok := t.acked[id]; !ok && !t.dropped[id] {
			t.acked[id] = -1
		}
	}
}

// Remove takes out an entry that deregistered, was replaced, refuses
// connections or answers as another instance.
func (t *Tracker) Remove(id string) {
	t.lock()
	defer t.mu.Unlock()
	delete(t.acked, id)
	delete(t.listed, id)
	t.notify()
}

// Listed takes in the list of instances. An entry that was on an earlier list
// and is not on this one leaves the set. One that was on none yet stays,
// because the list lags.
func (t *Tracker) Listed(ids []string) {
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

// Ack notes that an entry has a version in force. Entries that are not in the
// set are ignored: the message is late.
func (t *Tracker) Ack(id string, version int64) {
	t.lock()
	defer t.mu.Unlock()
	if have, ok := t.acked[id]; ok && version > have {
		t.acked[id] = version
		t.notify()
	}
}

// Pending names the entries that lack the version, in order. The version is
// accepted when there are none.
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

// Wait waits until no entry lacks the version or ctx ends, and names those that
// still do.
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
