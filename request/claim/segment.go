package claim

import (
	"fmt"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	maxSegment  = 16 << 10 // size limit of a segment in bytes
	lineBytes   = 48       // upper bound of a line's encoded size without its names
	pageRows    = 99       // rows of one list call, which counts as one read of the store
	spareBytes  = 512      // room for a line with long names; a segment with less room is sealed
	epochSuffix = "epoch"
)

type (
	// segment is the value of a row claim/SHARD/SEGMENT. Seq makes the value of
	// every write distinct, so that a row read back identifies the write that
	// produced it.
	segment struct {
		Seq   uint64
		Names []string
		Lines lines
	}

	lines []line

	// line is one claim or release. A later line replaces earlier ones of the
	// same key. Holder and Account are indexes into Names.
	line struct {
		Hash     []byte
		Nonce    uint64
		Holder   int
		Account  int
		Expiry   int64 // Unix seconds, rounded up
		Released bool
	}

	// epoch is the value of the row claim/SHARD/epoch.
	epoch struct {
		Fence  int64
		Holder string
	}

	// held is the claim of a key in the memory of the shard's owner.
	held struct {
		holder string
		nonce  uint64
		expiry int64 // Unix seconds
	}
)

func prefix(shard int) string { return "claim/" + strconv.Itoa(shard) + "/" }

func epochKey(shard int) string { return prefix(shard) + epochSuffix }

// segmentKey returns the row key of segment n of an epoch. The fencing token
// keeps row keys from being reused, and row keys sort in the order of the
// segments' writes.
func segmentKey(shard int, fence int64, n int) string {
	return fmt.Sprintf("%s%016d-%08d", prefix(shard), fence, n)
}

func encode(v any) ([]byte, error) {
	data, err := msgpack.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode claim row: %w", err)
	}
	return data, nil
}

func decode(data []byte, v any) error {
	if err := msgpack.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode claim row: %w", err)
	}
	return nil
}

// decodeSegment decodes the value of a segment's row and checks its lines.
func decodeSegment(data []byte) (segment, error) {
	var s segment
	if err := decode(data, &s); err != nil {
		return s, err
	}
	return s, s.check()
}

// DecodeMsgpack reads a list of lines. The library would allocate it at the length that
// the row states.
func (l *lines) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	for range max(n, 0) {
		var x line
		if err := x.DecodeMsgpack(d); err != nil {
			return err
		}
		*l = append(*l, x)
	}
	return nil
}

// EncodeMsgpack writes a line without field names, to save space.
func (l line) EncodeMsgpack(e *msgpack.Encoder) error {
	return e.EncodeMulti(l.Hash, l.Nonce, l.Holder, l.Account, l.Expiry, l.Released)
}

// DecodeMsgpack reads a line that EncodeMsgpack wrote.
func (l *line) DecodeMsgpack(d *msgpack.Decoder) error {
	return d.DecodeMulti(&l.Hash, &l.Nonce, &l.Holder, &l.Account, &l.Expiry, &l.Released)
}

// name returns the index of a name in Names, and adds the name if it is new.
func (s *segment) name(text string) int {
	for i, name := range s.Names {
		if name == text {
			return i
		}
	}
	s.Names = append(s.Names, text)
	return len(s.Names) - 1
}

func (s *segment) add(c Claim, released bool) {
	s.Lines = append(s.Lines, line{
		Hash: c.Hash[:], Nonce: c.Nonce, Holder: s.name(c.Holder), Account: s.name(c.Account),
		Expiry: seconds(c.Expiry), Released: released,
	})
}

// size is an upper bound of the encoded size.
func (s *segment) size() int {
	n := len(s.Lines)*lineBytes + lineBytes
	for _, name := range s.Names {
		n += len(name) + 5
	}
	return n
}

// clone copies s so that lines can be added to the copy.
func (s *segment) clone() segment {
	return segment{
		Seq:   s.Seq,
		Names: append([]string(nil), s.Names...),
		Lines: append(lines(nil), s.Lines...),
	}
}

// expiry returns the Unix time in seconds at which the last line of s expires.
func (s *segment) expiry() int64 {
	var last int64
	for _, l := range s.Lines {
		last = max(last, l.Expiry)
	}
	return last
}

// check returns an error for a line that no owner of a shard writes.
func (s *segment) check() error {
	for i, l := range s.Lines {
		if len(l.Hash) != len(Hash{}) || l.Holder < 0 || l.Holder >= len(s.Names) {
			return fmt.Errorf("line %d of the claim segment is malformed: %d bytes of hash, holder %d of %d", i, len(l.Hash), l.Holder, len(s.Names))
		}
	}
	return nil
}

// replay applies the lines of s to claims, in order.
func (s *segment) replay(claims map[Hash]held) {
	for _, l := range s.Lines {
		if l.Released {
			delete(claims, Hash(l.Hash))
			continue
		}
		claims[Hash(l.Hash)] = held{holder: s.Names[l.Holder], nonce: l.Nonce, expiry: l.Expiry}
	}
}

// seconds returns t as Unix seconds, rounded up.
func seconds(t time.Time) int64 { return t.Add(time.Second - 1).Unix() }
