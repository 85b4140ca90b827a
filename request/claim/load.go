package claim

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/eelgrassdock/eelgrassdock/process/platform"
)

const shardCountKey = "claim/shards" // the row with the number of shards

// load writes the epoch and then reads all segments, until both succeed or the
// shard is stopped or has a successor.
func (s *shard) load() {
	defer close(s.loaded)
	wait := firstWait
	for {
		err := s.writeEpoch()
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
		s.owner.Log.WithError(err).WithField("shard", s.number).Warn("cannot load claim shard, retrying")
		if !s.sleep(wait) {
			s.stop()
			return
		}
		wait = min(2*wait, callTimeout)
	}
}

// writeEpoch writes the fencing token to the epoch row unless the row already
// contains it. From then on the store refuses the writes of earlier owners.
func (s *shard) writeEpoch() error {
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
	count, err := s.shardCountOp()
	if err != nil {
		return err
	}
	put := platform.Op{Kind: platform.Put, Key: epochKey(s.number), Value: value, Version: row.Version}
	if err := s.call([]platform.Op{count, put}); err != nil {
		// The next attempt reads the row, and so finds out whether this write
		// took effect.
		return err
	}
	s.epoch = row.Version + 1
	return nil
}

// shardCountOp returns the store operation that makes the write of the epoch
// conditional on the number of shards. With two numbers in use, a key would have
// two owners.
func (s *shard) shardCountOp() (platform.Op, error) {
	row, err := s.get(shardCountKey)
	if err != nil {
		return platform.Op{}, err
	}
	want := strconv.Itoa(s.owner.Shards)
	if row.Version == 0 {
		return platform.Op{Kind: platform.Put, Key: shardCountKey, Value: []byte(want)}, nil
	}
	if string(row.Value) != want {
		return platform.Op{}, fmt.Errorf("store has %s claim shards, this entry is set to %s", row.Value, want)
	}
	return platform.Op{Kind: platform.Check, Key: shardCountKey, Version: row.Version}, nil
}

// readSegments reads the claims of all segments. Segments of earlier epochs
// count as sealed.
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
			content, err := decodeSegment(row.Value)
			if err != nil {
				return fmt.Errorf("segment %s: %w", row.Key, err)
			}
			content.replay(claims)
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
