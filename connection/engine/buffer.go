package engine

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	firstBufferBytes = 512     // a frame has about 150 bytes; memory per stream matters more
	batchBufferBytes = 4 << 10 // size for frames that arrive faster than they are read
	maxFrameBytes    = 64 << 10
)

var errLongLine = errors.New("line over 64 KiB")

// lines splits a stream into lines. Its buffer grows while reads fill it, so
// that a slow stream, of which an entry has thousands, takes little memory.
type lines struct {
	in         io.Reader
	buf        []byte
	start, end int // unread part of buf
	err        error
}

// next gives the next line with its line feed. It is valid until the next call.
func (l *lines) next() ([]byte, error) {
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

// fill reads once, behind the part of a line that is there.
func (l *lines) fill(part int) {
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
	for range 100 { // a reader that gives nothing that often is broken
		n, err := l.in.Read(l.buf[part:])
		l.end += n
		if l.err = err; n > 0 || err != nil {
			return
		}
	}
	l.err = io.ErrNoProgress
}

// unread gives what is in the buffer.
func (l *lines) unread() []byte { return l.buf[l.start:l.end] }
