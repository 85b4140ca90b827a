// Package delta encodes documents for a receiver that has earlier versions of them.
//
// The encoding is Zstandard (RFC 8878) with an earlier version as raw dictionary, so
// that a small change of a large document takes a few hundred bytes. A document is
// identified by the hash of its content, and a receiver verifies it: versions that a
// store gives out again, or two stores that number differently, do no harm.
package delta

import (
	"fmt"
	"math/bits"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	// MinSize is the size in bytes from which documents are worth encoding.
	MinSize = 4 << 10
	// MaxSize is the largest size of a document in bytes that Decode accepts.
	MaxSize = 16 << 20

	kept         = 3       // documents: the newest, and two that receivers may still have
	maxEncodings = 4       // of the newest document: whole, and against the bases in use
	dictionary   = 1       // number of the dictionary in a frame; which one it is, Encoded.Base tells
	minWindow    = 1 << 18 // bytes; the window holds both documents
)

var (
	// ErrBase means that a document was encoded against one that is not held.
	ErrBase = errors.New("base of the document is not held")
	// ErrCorrupt means that the content is not that of the named document.
	ErrCorrupt = errors.New("content differs from the document's hash")
)

type (
	// Encoded is an encoded document.
	Encoded struct {
		Sum  uint64 // hash of the document
		Base uint64 // hash of the document against which it is encoded; 0 if none
		Data []byte
	}

	// Cache holds the latest documents, and the encodings of the newest, so that each is
	// made once for all receivers. The zero value is ready for use.
	Cache struct {
		mu        sync.Mutex
		documents []document // newest last
		encodings []Encoded  // of the newest
	}

	document struct {
		sum     uint64
		content []byte
	}
)

// Sum returns the hash that identifies a document.
func Sum(content []byte) uint64 { return xxhash.Sum64(content) }

// Add makes a document the newest. The content must not change any more.
func (c *Cache) Add(content []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(Sum(content), content)
}

func (c *Cache) add(sum uint64, content []byte) {
	if n := len(c.documents); n > 0 && c.documents[n-1].sum == sum {
		return
	}
	c.documents = slices.DeleteFunc(c.documents, func(d document) bool { return d.sum == sum })
	c.documents = append(c.documents, document{sum, content})
	c.encodings = nil
	if n := len(c.documents) - kept; n > 0 {
		c.documents = slices.Clone(c.documents[n:])
	}
}

// Sums returns the hashes of the documents that are held, newest last.
func (c *Cache) Sums() []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sums := make([]uint64, 0, len(c.documents))
	for _, d := range c.documents {
		sums = append(sums, d.sum)
	}
	return sums
}

// Drop forgets all documents.
func (c *Cache) Drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.documents, c.encodings = nil, nil
}

// Encode makes a document the newest and encodes it for a receiver that holds the
// documents with these hashes.
func (c *Cache) Encode(content []byte, held []uint64) (Encoded, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := Sum(content)
	c.add(sum, content)
	var base document
	for _, d := range c.documents {
		if slices.Contains(held, d.sum) {
			base = d // the newest
		}
	}
	for _, e := range c.encodings {
		if e.Base == base.sum {
			return e, nil
		}
	}
	encoder, err := zstd.NewWriter(nil, options(base.content, len(content))...)
	if err != nil {
		return Encoded{}, fmt.Errorf("prepare encoder: %w", err)
	}
	e := Encoded{Sum: sum, Base: base.sum, Data: encoder.EncodeAll(content, nil)}
	if c.encodings = append(c.encodings, e); len(c.encodings) > maxEncodings {
		c.encodings = slices.Clone(c.encodings[1:])
	}
	return e, nil
}

func options(base []byte, size int) []zstd.EOption {
	window := max(1<<bits.Len(uint(len(base)+size)), minWindow)
	list := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(min(window, 2*MaxSize)), zstd.WithEncoderCRC(false),
	}
	if len(base) > 0 {
		list = append(list, zstd.WithEncoderDictRaw(dictionary, base))
	}
	return list
}

// Decode decodes a document and makes it the newest. It fails with ErrBase or
// ErrCorrupt, or because the data cannot be decoded or is longer than MaxSize.
func (c *Cache) Decode(e Encoded) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(MaxSize),
		zstd.WithDecoderMaxWindow(2 * MaxSize),
	}
	if e.Base != 0 {
		i := slices.IndexFunc(c.documents, func(d document) bool { return d.sum == e.Base })
		if i < 0 {
			return nil, ErrBase
		}
		list = append(list, zstd.WithDecoderDictRaw(dictionary, c.documents[i].content))
	}
	decoder, err := zstd.NewReader(nil, list...)
	if err != nil {
		return nil, fmt.Errorf("prepare decoder: %w", err)
	}
	defer decoder.Close()
	content, err := decoder.DecodeAll(e.Data, nil)
	if err != nil {
		return nil, fmt.Errorf("decode document: %w", err)
	}
	if Sum(content) != e.Sum {
		return nil, ErrCorrupt
	}
	c.add(e.Sum, content)
	return content, nil
}
