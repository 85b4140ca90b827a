package model

import "container/list"

const maxEvents = 4096 // least number of recent events kept for readers that lag behind

type (
	// prefixCache holds the blocks of prompt prefixes by hash. Blocks without
	// references are in idle, ordered by last use with the least recent first.
	prefixCache struct {
		size   int64
		blocks map[uint64]*block
		idle   list.List
		seq    int64
		events []Event
	}

	block struct {
		hash uint64
		refs int
		idle *list.Element
	}
)

func (c *prefixCache) total() int64  { return int64(len(c.blocks)) * c.size }
func (c *prefixCache) pinned() int64 { return int64(len(c.blocks)-c.idle.Len()) * c.size }

// pin adds a reference to each block of the longest cached prefix and returns
// the number of these blocks.
func (c *prefixCache) pin(hashes []uint64) int {
	for i, h := range hashes {
		b := c.blocks[h]
		if b == nil {
			return i
		}
		c.ref(b)
	}
	return len(hashes)
}

func (c *prefixCache) ref(b *block) {
	if b.idle != nil {
		c.idle.Remove(b.idle)
		b.idle = nil
	}
	b.refs++
}

func (c *prefixCache) unpin(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		// The last block of a prefix is released first, so that it is evicted
		// first.
		b := c.blocks[hashes[i]]
		if b.refs--; b.refs == 0 {
			b.idle = c.idle.PushBack(b)
		}
	}
}

// add adds a reference to each block and creates those that are missing.
func (c *prefixCache) add(hashes []uint64) {
	for _, h := range hashes {
		if b := c.blocks[h]; b != nil {
			c.ref(b)
			continue
		}
		c.blocks[h] = &block{hash: h, refs: 1}
		c.record(h, false)
	}
}

// evict removes the least recently used idle block. It returns false if there
// is none.
func (c *prefixCache) evict() bool {
	front := c.idle.Front()
	if front == nil {
		return false
	}
	b := c.idle.Remove(front).(*block)
	delete(c.blocks, b.hash)
	c.record(b.hash, true)
	return true
}

func (c *prefixCache) record(hash uint64, gone bool) {
	c.seq++
	c.events = append(c.events, Event{Seq: c.seq, Prefix: hash, Gone: gone})
	if len(c.events) >= 2*maxEvents {
		c.events = append(c.events[:0], c.events[maxEvents:]...)
	}
}

// after returns the recorded events that follow a sequence number.
func (c *prefixCache) after(seq int64) []Event {
	if len(c.events) == 0 {
		return nil
	}
	skip := min(max(seq-c.events[0].Seq+1, 0), int64(len(c.events)))
	return c.events[skip:]
}
