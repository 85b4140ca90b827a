package claim

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/process/platform"
)

const (
	writeAttempts = 4 // attempts of one write before its claims are refused
	firstWait     = 20 * time.Millisecond
	callTimeout   = time.Second // a slower answer counts as lost
	listTimeout   = 10 * time.Second
	deleteRows    = 10 // most rows that one commit deletes; a larger commit might never pass the store's rate limit
)

// errEarlierWrite reports that an earlier write, whose answer was lost, had
// taken effect, so that the operations must be decided again.
var errEarlierWrite = errors.New("an earlier write took effect late")

// batch is one write: the new content of the open segment, the operations that
// it settles, and their grants. The content starts as a copy of the open segment,
// to which plan adds lines.
type batch struct {
	content    segment
	operations []*operation
	grants     []Grant
}

// plan decides every operation, given the current claims and the operations
// before it, and adds lines to the segment for those that need a write. It
// returns the operations that do not fit, and whether the segment has changed.
func (s *shard) plan(b *batch) (rest []*operation, changed bool) {
	overlay := map[Hash]held{}
	for i, o := range b.operations {
		c := o.claim
		if h, ok := s.claims[c.Hash]; ok && !contains(overlay, c.Hash) {
			overlay[c.Hash] = h
		}
		g, known := s.decide(overlay, c, o.release)
		if !known {
			if changed && b.content.size()+len(c.Holder)+len(c.Account)+2*lineBytes > maxSegment {
				rest = b.operations[i:]
				b.operations = b.operations[:i]
				return rest, changed
			}
			changed = true
			if o.release {
				// The release must not expire before the claim that it ends.
				c.Expiry = later(c.Expiry, time.Unix(overlay[c.Hash].expiry, 0))
			}
			b.content.add(c, o.release)
			if o.release {
				overlay[c.Hash] = held{}
			} else {
				overlay[c.Hash] = held{holder: c.Holder, nonce: c.Nonce, expiry: seconds(c.Expiry)}
				g = Grant{Holder: c.Holder, Nonce: c.Nonce}
			}
		}
		b.grants = append(b.grants, g)
	}
	return nil, changed
}

func contains(m map[Hash]held, h Hash) bool {
	_, ok := m[h]
	return ok
}

// write writes a batch to the store and ends its operations.
func (s *shard) write(b *batch) {
	s.mu.Lock()
	rest, changed := s.plan(b)
	s.seq++
	b.content.Seq = s.seq
	version := s.version
	s.mu.Unlock()
	if len(rest) > 0 {
		s.requeue(rest)
	}
	var err error
	if changed {
		err = s.commit(b, version)
	}
	switch {
	case err == nil && changed:
		s.adopt(b.content, version+1)
	case errors.Is(err, errEarlierWrite):
		s.requeue(b.operations)
		return
	case isNotOwner(err):
		s.stop()
	case err != nil && s.ctx.Err() != nil:
		// A stopped shard may have a successor that has granted other claims.
		err = s.notOwner()
	case err != nil:
		err = s.refuse(err.Error())
	}
	for i, o := range b.operations {
		if err != nil {
			o.end(Grant{}, err)
		} else {
			o.end(b.grants[i], nil)
		}
	}
}

// commit writes the open segment, and repeats the same write until it has
// succeeded, has been superseded, or the attempts are used up. After a failure,
// the write may still take effect.
func (s *shard) commit(b *batch, version int64) error {
	value, err := encode(b.content)
	if err != nil {
		return err
	}
	key := segmentKey(s.number, s.fence, s.count)
	ops := []platform.Op{
		{Kind: platform.Check, Key: epochKey(s.number), Version: s.epoch},
		{Kind: platform.Put, Key: key, Value: value, Version: version},
	}
	wait := firstWait
	for range writeAttempts {
		err = s.call(ops)
		counters.Add("writes", 1)
		switch {
		case err == nil:
			s.raisePace()
			return nil
		case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrUnknown):
			if settled, e := s.readBack(key, value, version, errors.Is(err, platform.ErrConflict)); settled {
				return e
			}
		case errors.Is(err, platform.ErrLimited):
			s.reducePace()
		}
		if !s.sleep(wait) {
			break
		}
		wait *= 2
	}
	return fmt.Errorf("write claims: %w", err)
}

func (s *shard) call(ops []platform.Op) error {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	err := s.owner.Platform.Commit(ctx, ops)
	if err != nil {
		return fmt.Errorf("commit: %w", err)
	}
	return nil
}

// sleep waits for a random time between d/2 and 3d/2, and reports whether it was
// not cut short by the end of the shard.
func (s *shard) sleep(d time.Duration) bool {
	timer := time.NewTimer(d/2 + rand.N(d))
	defer timer.Stop()
	select {
	case <-s.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// readBack reads the row after a write that failed or whose answer was lost. It
// reports whether the outcome of the write is settled, and the outcome: written
// (nil), superseded by a new epoch (ErrNotOwner), or preceded by an earlier
// write of this owner whose answer was lost (errEarlierWrite). The content of
// that earlier write is adopted.
func (s *shard) readBack(key string, value []byte, version int64, conflict bool) (bool, error) {
	if conflict {
		row, err := s.get(epochKey(s.number))
		if err != nil {
			return false, nil
		}
		if row.Version != s.epoch {
			return true, s.notOwner()
		}
	}
	row, err := s.get(key)
	switch {
	case err != nil:
		return false, nil
	case bytes.Equal(row.Value, value) && row.Version == version+1:
		return true, nil
	case row.Version == version:
		return false, nil
	}
	earlier, err := decodeSegment(row.Value)
	if err != nil {
		return true, err
	}
	s.adopt(earlier, row.Version)
	return true, errEarlierWrite
}

func (s *shard) get(key string) (platform.Row, error) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	row, err := s.owner.Platform.Get(ctx, key)
	if err != nil {
		return row, fmt.Errorf("read %s: %w", key, err)
	}
	return row, nil
}

// adopt replaces the open segment and its version, and applies its lines to the
// claims.
func (s *shard) adopt(content segment, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkHolders(content)
	s.open, s.version = content, version
	content.replay(s.claims)
}

// checkHolders asserts that no unexpired claim changes its holder without a
// release.
func (s *shard) checkHolders(content segment) {
	now := s.owner.Now().Unix()
	last, released := map[Hash]string{}, map[Hash]bool{}
	for _, l := range content.Lines {
		last[Hash(l.Hash)] = content.Names[l.Holder]
		released[Hash(l.Hash)] = released[Hash(l.Hash)] || l.Released
	}
	for h, holder := range last {
		old, ok := s.claims[h]
		if ok && old.holder != holder && old.expiry > now && !released[h] {
			violate(s.owner.Violation, "claim of "+old.holder+" granted to "+holder)
		}
	}
}

// expire deletes segments whose claims have all expired.
func (s *shard) expire(ctx context.Context) {
	if !s.isLoaded() {
		return // the epoch may still be written, and the segments are not read yet
	}
	if s.superseded() {
		s.stop()
		return
	}
	old, epochVersion := s.removeExpired()
	for len(old) > 0 && ctx.Err() == nil {
		n := min(len(old), deleteRows)
		ops := []platform.Op{{Kind: platform.Check, Key: epochKey(s.number), Version: epochVersion}}
		for _, x := range old[:n] {
			ops = append(ops, platform.Op{Kind: platform.Delete, Key: x.key, Version: x.version})
		}
		if s.pace.Wait(ctx) != nil {
			return
		}
		if err := s.call(ops); err != nil {
			s.owner.Log.WithError(err).Debug("cannot delete expired claim segments")
			s.recheck(old[:n])
			return
		}
		s.removeSealed(old[:n])
		old = old[n:]
	}
}

// superseded reports whether the shard's lease has ended and a successor has
// written its epoch.
func (s *shard) superseded() bool {
	s.mu.Lock()
	lapsed, version := s.lapsed, s.epoch
	s.mu.Unlock()
	if !lapsed {
		return false
	}
	row, err := s.get(epochKey(s.number))
	return err == nil && row.Version != version
}

// removeExpired removes from memory the claims that expired more than retention
// ago. It returns the sealed segments to delete, none if the shard has failed or
// its lease has ended, and the version of the epoch row.
func (s *shard) removeExpired() ([]sealedSegment, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.owner.Now().Unix() - int64(retention/time.Second)
	for h, c := range s.claims {
		if c.expiry < now {
			delete(s.claims, h)
		}
	}
	var old []sealedSegment
	if s.failed == nil && !s.lapsed {
		for _, x := range s.sealed {
			if x.expiry < now {
				old = append(old, x)
			}
		}
	}
	return old, s.epoch
}

// recheck reads the segments of a failed delete, removes from memory those that
// the store no longer has, and updates the versions of the others.
func (s *shard) recheck(list []sealedSegment) {
	for _, x := range list {
		row, err := s.get(x.key)
		if err != nil {
			return
		}
		if row.Version == 0 {
			s.removeSealed([]sealedSegment{x})
		} else {
			s.setVersion(x.key, row.Version)
		}
	}
}

// setVersion records the version of a sealed segment that a late write changed,
// so that the next delete can succeed. The content is not applied: the claims of
// that write were refused, so their holders do not dispatch the keys without
// another claim. If this owner grants such a key, it writes the claim to a later
// segment, which replaces the late claim when the segments are loaded.
func (s *shard) setVersion(key string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.sealed {
		if s.sealed[i].key == key {
			s.sealed[i].version = version
		}
	}
}

// removeSealed removes deleted segments from memory.
func (s *shard) removeSealed(list []sealedSegment) {
	gone := map[string]bool{}
	for _, x := range list {
		gone[x.key] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.sealed[:0]
	for _, x := range s.sealed {
		if !gone[x.key] {
			kept = append(kept, x)
		}
	}
	s.sealed = kept
}
