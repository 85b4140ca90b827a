package claim

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/eelgrassdock/eelgrassdock/process/platform"
)

const countKey = "claim/shards" // the row with the number of shards

// load writes the epoch and then reads all segments, until both succeed or the
// shard is stopped or has a successor.
func (s *shard) load() {
	defer close(s.loaded)
	wait := firstWait
	for {
		err := s.begin()
		if err == nil {
			err = s.readSegments()
		}
		if err == nil {
			return
		}
		if isNotOwner(err) {
			s.stop()
			return
		}
		s.owner.Log.WithError(err).WithField("shard", s.number).Warn("claim shard not loaded yet")
		if !s.sleep(wait) {
			s.stop()
			return
		}
		wait = min(2*wait, callTimeout)
	}
}

// begin writes the fencing token to the epoch row unless it is there. From then
// on the writes of earlier owners are refused.
func (s *shard) begin() error {
	row, err := s.get(epochKey(s.number))
	if err != nil {
		return err
	}
	var found epoch
	if row.Version > 0 {
		if err := decode(row.Value, &found); err != nil {
			return err
		}
	}
	switch {
	case found.Fence > s.fence, found.Fence == s.fence && found.Holder != s.owner.Holder:
		return s.notOwner()
	case found.Fence == s.fence:
		s.epoch = row.Version
		return nil
	}
	value, err := encode(epoch{Fence: s.fence, Holder: s.owner.Holder})
	if err != nil {
		return err
	}
	count, err := s.agree()
	if err != nil {
		return err
	}
	put := platform.Op{Kind: platform.Put, Key: epochKey(s.number), Value: value, Version: row.Version}
	if err := s.call([]platform.Op{count, put}); err != nil {
		// The next attempt reads the row and finds out what became of the write.
		return err
	}
	s.epoch = row.Version + 1
	return nil
}

// agree gives the operation that makes the epoch depend on the number of
// shards. With two numbers in use, a key would have two owners.
func (s *shard) agree() (platform.Op, error) {
	row, err := s.get(countKey)
	if err != nil {
		return platform.Op{}, err
	}
	want := strconv.Itoa(s.owner.Shards)
	if row.Version == 0 {
		return platform.Op{Kind: platform.Put, Key: countKey, Value: []byte(want)}, nil
	}
	if string(row.Value) != want {
		return platform.Op{}, fmt.Errorf("claims are kept in %s shards, not %s", row.Value, want)
	}
	return platform.Op{Kind: platform.Check, Key: countKey, Version: row.Version}, nil
}

func (s *shard) readSegments() error {
	claims := map[Hash]held{}
	var sealed []sealedSegment
	after := ""
	for {
		rows, err := s.list(after)
		if err != nil {
			return err
		}
		for _, row := range rows {
			after = row.Key
			if strings.HasSuffix(row.Key, epochSuffix) {
				continue
			}
			var content segment
			if err := decode(row.Value, &content); err != nil {
				return fmt.Errorf("segment %s: %w", row.Key, err)
			}
			if err := content.replay(claims); err != nil {
				return fmt.Errorf("segment %s: %w", row.Key, err)
			}
			sealed = append(sealed, sealedSegment{key: row.Key, version: row.Version, expiry: content.expiry()})
		}
		if len(rows) < pageRows {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claims, s.sealed = claims, sealed
	counters.Add("loads", 1)
	return nil
}

func (s *shard) list(after string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(s.ctx, listTimeout)
	defer cancel()
	rows, err := s.owner.Platform.List(ctx, prefix(s.number), after, pageRows)
	if err != nil {
		return nil, fmt.Errorf("list claim segments: %w", err)
	}
	return rows, nil
}
