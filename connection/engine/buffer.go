package engine

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	firstBufferBytes = 512      // a frame has about 150 bytes; little memory per stream matters more than few reads
	batchBufferBytes = 4 << 10  // grown to this if frames arrive faster than they are read
	maxFrameBytes    = 64 << 10 // a longer line without its end is an error
)

var errLongLine = errors.New("line over 64 KiB")

// lineReader splits a stream into lines. Its buffer starts small and grows only if
// a read fills it or a line does not fit, so that a slow stream, of which an entry
// has thousands, takes little memory.
type lineReader struct {
	in         io.Reader
	buf        []byte
	start, end int // unread part of buf
	err        error
}

// next returns the next line including its line feed. The slice is valid until the
// next call.
func (l *lineReader) next() ([]byte, error) {
	for seen := 0; ; {
		if i := bytes.IndexByte(l.buf[l.start+seen:l.end], '\n'); i >= 0 {
			line := l.buf[l.start : l.start+seen+i+1]
			l.start += len(line)
			return line, nil
		}
		if l.err != nil {
			return nil, l.err
		}
		seen = l.end - l.start
		if seen > maxFrameBytes {
			return nil, errLongLine
		}
		l.fill(seen)
	}
}

// fill moves the part of a line that is in the buffer to its start, grows the
// buffer if needed and reads once. part is the length of that part.
func (l *lineReader) fill(part int) {
	size := max(len(l.buf), firstBufferBytes)
	if part == size || l.end == size && size < batchBufferBytes {
		size *= 2
	}
	into := l.buf
	if size > len(l.buf) {
		into = make([]byte, size)
	}
	copy(into, l.buf[l.start:l.end])
	l.buf, l.start, l.end = into, 0, part
	for range 100 { // a reader that returns no data and no error this often is broken
		n, err := l.in.Read(l.buf[part:])
		l.end += n
		if l.err = err; n > 0 || err != nil {
			return
		}
	}
	l.err = io.ErrNoProgress
}

// unread returns the bytes that are buffered but not yet returned by next.
func (l *lineReader) unread() []byte { return l.buf[l.start:l.end] }
