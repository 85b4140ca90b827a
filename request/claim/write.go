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
	writeAttempts = 4 // of one write; after that its claims are refused
	firstWait     = 20 * time.Millisecond
	callTimeout   = time.Second // a slower answer counts as lost
	listTimeout   = 10 * time.Second
	deleteRows    = 10 // most rows that one commit deletes; more might never pass the store's rate limit
)

// errEarlier reports that an earlier write, whose answer was lost, had taken
// effect, so that the orders must be decided again.
var errEarlier = errors.New("an earlier write took effect late")

// batch is one write on its way: the content of the open segment after it, and
// the orders that it settles.
type batch struct {
	base   segment
	orders []*order
	grants []Grant
}

// plan decides every order against what is claimed and against the orders
// before it, and adds lines for those that need one. Orders that do not fit are
// returned.
func (s *shard) plan(b *batch) (rest []*order, changed bool) {
	overlay := map[Hash]held{}
	for i, o := range b.orders {
		c := o.claim
		if h, ok := s.claims[c.Hash]; ok && !in(overlay, c.Hash) {
			overlay[c.Hash] = h
		}
		g, known := s.known(overlay, c, o.release)
		if !known {
			if changed && b.base.size()+len(c.Holder)+len(c.Account)+2*lineBytes > maxSegment {
				rest = b.orders[i:]
				b.orders = b.orders[:i]
				return rest, changed
			}
			changed = true
			if o.release {
				// The release must not expire before the claim that it ends.
				c.Expiry = later(c.Expiry, time.Unix(overlay[c.Hash].expiry, 0))
			}
			b.base.add(c, o.release)
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

func in(m map[Hash]held, h Hash) bool {
	_, ok := m[h]
	return ok
}

// write makes a batch durable and ends its orders.
func (s *shard) write(b *batch) {
	s.mu.Lock()
	rest, changed := s.plan(b)
	s.seq++
	b.base.Seq = s.seq
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
		s.adopt(b.base, version+1)
	case errors.Is(err, errEarlier):
		s.requeue(b.orders)
		return
	case isNotOwner(err):
		s.stop()
	case err != nil && s.ctx.Err() != nil:
		// A stopped shard may have a successor that knows more.
		err = s.notOwner()
	case err != nil:
		err = s.refuse(err.Error())
	}
	for i, o := range b.orders {
		if err != nil {
			o.end(Grant{}, err)
		} else {
			o.end(b.grants[i], nil)
		}
	}
}

// commit writes the open segment, and repeats the same write until it has
// succeeded, has been superseded, or the attempts are used up. A failure leaves
// open whether the write takes effect.
func (s *shard) commit(b *batch, version int64) error {
	value, err := encode(b.base)
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
			s.faster()
			return nil
		case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrUnknown):
			if settled, e := s.settle(key, value, version, errors.Is(err, platform.ErrConflict)); settled {
				return e
			}
		case errors.Is(err, platform.ErrLimited):
			s.slower()
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

// settle reads back what a write left. It tells whether its fate is settled:
// done (nil), superseded by a new epoch (ErrNotOwner), or preceded by an
// earlier write of this owner whose answer was lost, which is adopted.
func (s *shard) settle(key string, value []byte, version int64, conflict bool) (bool, error) {
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
	var earlier segment
	if err := decode(row.Value, &earlier); err != nil {
		return true, err
	}
	s.adopt(earlier, row.Version)
	return true, errEarlier
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

// adopt makes the content of the open segment known.
func (s *shard) adopt(content segment, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inspect(content)
	s.open, s.version = content, version
	if err := content.replay(s.claims); err != nil {
		s.owner.Log.WithError(err).Error("claim segment not understood")
	}
}

// inspect asserts that no claim changes hands without a release.
func (s *shard) inspect(content segment) {
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
		return // epoch is not settled, and the segments are not known yet
	}
	if s.superseded() {
		s.stop()
		return
	}
	old, epochVersion := s.expired()
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
			s.owner.Log.WithError(err).Debug("expired claim segments not deleted")
			s.recheck(old[:n])
			return
		}
		s.forget(old[:n])
		old = old[n:]
	}
}

// superseded tells whether a shard whose lease has ended has a successor.
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

func (s *shard) expired() ([]sealedSegment, int64) {
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

// recheck finds out which segments a failed delete removed after all.
func (s *shard) recheck(list []sealedSegment) {
	for _, x := range list {
		row, err := s.get(x.key)
		if err != nil {
			return
		}
		if row.Version == 0 {
			s.forget([]sealedSegment{x})
		} else {
			s.correct(x.key, row.Version)
		}
	}
}

// correct notes the version of a sealed segment that a late write changed. Its
// claims were refused, so nothing else has to be learned from it.
func (s *shard) correct(key string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.sealed {
		if s.sealed[i].key == key {
			s.sealed[i].version = version
		}
	}
}

func (s *shard) forget(list []sealedSegment) {
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
