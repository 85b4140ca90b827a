package member

import (
	"bytes"
	"encoding/binary"
	"expvar"
	"fmt"
	"io"
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	maxDatagram = 1200    // bytes; fits the smallest common path MTU
	maxName     = 128     // bytes of an ID, place or region
	maxAddr     = 64      // bytes of an address; an IPv6 zone may be longer and is rejected
	maxRows     = 256     // rows in one datagram
	maxInc      = 1 << 62 // highest incarnation that is accepted; a refutation, one above it, cannot overflow
	bucketCount = 32      // each is one bit of a mask
	headerBytes = 64      // size of the fixed part of a datagram, rounded up
	digestBytes = 8 * bucketCount
)

const (
	kindPing    uint8 = iota + 1 // requests an acknowledgement
	kindAck                      // acknowledges Seq
	kindPingReq                  // requests an indirect probe of Target at Addr
	kindGossip                   // carries rows and payload only
	kindDigest                   // carries bucket hashes
	kindPull                     // requests the rows of the buckets in Mask
	kindRows                     // carries rows of a transfer
	kindLast                     // one above the last kind
)

type (
	// datagram is the wire format of all messages, an array of these fields.
	datagram struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

		Kind    uint8
		Seq     uint64
		From    string
		Inc     uint64
		Target  string
		Addr    string
		Want    bool // the sender lacks the receiver's row
		Mask    uint32
		Payload []byte
		Digest  []byte
		// Body is the concatenation of the encoded rows. It is not a list of
		// rows, because the library allocates a list at the length that the
		// datagram declares, which can be 2^32 in a forged one.
		Body []byte

		encoded []msgpack.RawMessage // rows to send
		rows    []row                // rows received
	}

	// row is one member at one incarnation. Rows of status Suspect, Dead or
	// Left carry no addresses.
	row struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

		Status  Status
		Inc     uint64
		ID      string
		Addr    string
		Probe   string
		RPC     string
		Place   string
		Region  string
		Leaving bool
	}
)

var (
	counts = expvar.NewMap("member")

	errDatagram = errors.New("malformed datagram")
)

func rowOf(m Member, s Status) row {
	r := row{Status: s, Inc: m.Incarnation, ID: m.ID}
	if s == Alive {
		r.Addr, r.Probe, r.RPC, r.Place, r.Region, r.Leaving = m.Addr, m.Probe, m.RPC, m.Place, m.Region, m.Leaving
	}
	return r
}

func (r row) member() Member {
	return Member{
		ID: r.ID, Addr: r.Addr, Probe: r.Probe, RPC: r.RPC, Place: r.Place, Region: r.Region,
		Incarnation: r.Inc, Leaving: r.Leaving,
	}
}

// hash returns a hash of everything that two nodes must agree on for a live
// member.
func (m Member) hash() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{m.ID, m.Addr, m.Probe, m.RPC, m.Place, m.Region} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	var b [9]byte
	binary.LittleEndian.PutUint64(b[:], m.Incarnation)
	if m.Leaving {
		b[8] = 1
	}
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// bucket returns the number of the bucket that holds the member with the ID.
func bucket(id string) int { return int(xxhash.Sum64String(id) % bucketCount) }

func mustEncode(v any) []byte {
	var buf bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		panic(fmt.Errorf("encode datagram: %w", err)) // encoding plain structs to memory cannot fail
	}
	return buf.Bytes()
}

// decode decodes and validates a datagram. All values of the result are within
// their bounds.
func decode(data []byte) (datagram, error) {
	var d datagram
	if len(data) > maxDatagram {
		return d, fmt.Errorf("%d bytes: %w", len(data), errDatagram)
	}
	if err := msgpack.Unmarshal(data, &d); err != nil {
		return d, fmt.Errorf("decode datagram: %w", errors.Mark(err, errDatagram))
	}
	switch {
	case d.Kind == 0 || d.Kind >= kindLast,
		!validName(d.From), d.Inc > maxInc, len(d.Target) > maxName,
		len(d.Payload) > MaxPayload,
		d.Kind == kindDigest && len(d.Digest) != digestBytes,
		d.Kind == kindPingReq && (!validName(d.Target) || !validAddr(d.Addr)):
		return d, fmt.Errorf("header of kind %d: %w", d.Kind, errDatagram)
	}
	return d, d.decodeRows()
}

func (d *datagram) decodeRows() error {
	dec := msgpack.NewDecoder(bytes.NewReader(d.Body))
	for i := 0; ; i++ {
		var r row
		switch err := dec.Decode(&r); {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("decode row: %w", errors.Mark(err, errDatagram))
		case i >= maxRows || !r.valid():
			return fmt.Errorf("row %d: %w", i, errDatagram)
		}
		d.rows = append(d.rows, r)
	}
}

// valid reports whether the values of a row are within their bounds.
func (r row) valid() bool {
	if r.Status < Alive || r.Status > Left || !validName(r.ID) || r.Inc > maxInc {
		return false
	}
	if r.Status != Alive {
		return r.Probe == "" && r.Addr == "" && r.RPC == "" && r.Place == "" && r.Region == ""
	}
	return validAddr(r.Probe) && (r.Addr == "" || validAddr(r.Addr)) && (r.RPC == "" || validAddr(r.RPC)) &&
		len(r.Place) <= maxName && len(r.Region) <= maxName
}

func validName(s string) bool { return s != "" && len(s) <= maxName }

func validAddr(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil && len(s) <= maxAddr
}

func encodeDigest(buckets *[bucketCount]uint64) []byte {
	b := make([]byte, 0, digestBytes)
	for _, h := range buckets {
		b = binary.LittleEndian.AppendUint64(b, h)
	}
	return b
}

// differing returns the mask of the buckets whose hashes differ.
func differing(buckets *[bucketCount]uint64, digest []byte) uint32 {
	var mask uint32
	for i, h := range buckets {
		if binary.LittleEndian.Uint64(digest[8*i:]) != h {
			mask |= 1 << i
		}
	}
	return mask
}

// logScale returns log10 of the number of members, at least 1.
func logScale(members int) float64 { return max(1, math.Log10(float64(members))) }

// gossipTicks returns for how many ticks Nudge sends extra gossip.
func gossipTicks(members int) int { return 2 + int(math.Ceil(math.Log2(float64(members+1))/2)) }
