package intake

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	firstPart = 32 << 10 // for which a buffer is allocated before anything has arrived; most bodies are shorter
	// growth of the buffer when it is full: it is at most so many times what has arrived. A
	// body of 4 MB is copied once, when 512 KB of it have arrived; with a growth of 4, the
	// smaller buffers are two thirds of its length in garbage.
	growth = 16

	bodyGrace = time.Second // after which the rate of a body counts
	bodyRate  = 32 << 10    // bytes per second below which a body is slow: 40 callers at once on a link of 10 Mbit/s
)

var (
	// ErrFull means that the budget has no room for a body.
	ErrFull = errors.New("no memory for the body")
	// ErrSlow means that a body arrived slowly while others had no room.
	ErrSlow = errors.New("body arrived too slowly")
	// ErrLong means that a body is longer than its limit.
	ErrLong = errors.New("body is longer than the limit")
)

// receipt is the state of a body that is being received.
type receipt struct {
	begun     time.Time
	received  atomic.Int64
	slow      atomic.Bool // was interrupted because it is slow
	interrupt func()
}

func (r *receipt) isSlow(now time.Time) bool {
	took := now.Sub(r.begun)
	return took >= bodyGrace && !r.slow.Load() && float64(r.received.Load()) < took.Seconds()*bodyRate
}

// ReadBody reads a body up to its end. The length is -1 if it is not known, the limit 0 if
// there is none. The buffer grows with what arrives, and its size is charged to a before
// it is allocated; the caller releases a when the body is no longer used. The function
// interrupt must make reads fail. Other errors than ErrFull, ErrSlow and ErrLong are those
// of reading.
func ReadBody(body io.Reader, length, limit int64, a *Account, interrupt func()) ([]byte, error) {
	if limit > 0 && length > limit {
		counters.Add("bodies_long", 1)
		return nil, ErrLong
	}
	r := &receipt{begun: time.Now(), interrupt: interrupt}
	defer a.Budget.register(r)()
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			if length >= 0 && int64(len(buffer)) == length {
				// The end is read too, so that net/http sees it.
				return buffer, readEnd(body)
			}
			if limit > 0 && int64(len(buffer)) > limit {
				counters.Add("bodies_long", 1)
				return nil, ErrLong
			}
			size := max(int64(cap(buffer))*growth, firstPart)
			if length >= 0 {
				size = min(size, length)
			} else if limit > 0 {
				size = min(size, limit+1)
			}
			if !a.Charge(size) {
				counters.Add("bodies_refused", 1)
				return nil, ErrFull
			}
			larger := make([]byte, len(buffer), size)
			copy(larger, buffer)
			a.Credit(int64(cap(buffer)))
			buffer = larger
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		r.received.Add(int64(n))
		switch {
		case err == io.EOF && limit > 0 && int64(len(buffer)) > limit:
			counters.Add("bodies_long", 1)
			return nil, ErrLong
		case err == io.EOF:
			return buffer, nil
		case err != nil && r.slow.Load():
			return nil, ErrSlow
		case err != nil:
			return nil, err //nolint:wrapcheck // the caller looks for kinds of errors
		}
	}
}

func readEnd(body io.Reader) error {
	var b [1]byte
	for {
		n, err := body.Read(b[:])
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err //nolint:wrapcheck // as ReadBody
		case n > 0:
			return ErrLong
		}
	}
}

// register makes a body known to relieve until the result is called.
func (b *Budget) register(r *receipt) func() {
	if b == nil {
		return func() {}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bodies == nil {
		b.bodies = map[*receipt]struct{}{}
	}
	b.bodies[r] = struct{}{}
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.bodies, r)
	}
}

// Buffer reads up to most bytes of an answer, of a length that is -1 if it is not known.
// The buffer is charged to a. It reports whether the answer ended. If there is no room
// for more, it returns what it has read so far.
func Buffer(answer io.Reader, length int64, most int, a *Account) (_ []byte, ended bool, _ error) {
	size := 4 << 10
	if length >= 0 {
		size = int(min(length+1, int64(most)))
	}
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			if len(buffer) >= most {
				return buffer, false, nil
			}
			if size = min(max(size, 2*cap(buffer)), most); !a.Charge(int64(size)) {
				counters.Add("answers_unbuffered", 1)
				return buffer, false, nil
			}
			larger := make([]byte, len(buffer), size)
			copy(larger, buffer)
			a.Credit(int64(cap(buffer)))
			buffer = larger
		}
		n, err := answer.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return buffer, true, nil
		}
		if err != nil {
			return nil, false, err //nolint:wrapcheck // the caller looks for kinds of errors
		}
	}
}
