package engine

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/request/stream"
)

var dataField = []byte("data:")

// Reader reads the frames of one generation over one connection.
type Reader struct {
	body    io.ReadCloser
	lines   lineReader
	check   stream.Check
	decoder frameDecoder
	last    int // number of the last token that Next returned

	// frame and err are what Next returns next, if ahead is set.
	ahead bool
	frame stream.Frame
	err   error
}

func newReader(body io.ReadCloser, check stream.Check) *Reader {
	return &Reader{body: body, lines: lineReader{in: body}, check: check, last: check.Last}
}

// Next returns the next frame that has not been read yet. Errors are *refusal.Error
// with reason Broken if the connection ended, and Garbage if the engine violated
// its protocol.
func (r *Reader) Next() (stream.Frame, error) {
	for !r.ahead {
		r.frame, r.ahead, r.err = r.readLine()
	}
	r.ahead = false
	if r.err == nil && !r.frame.End {
		r.last = r.frame.N
	}
	return r.frame, r.err
}

// readLine reads a line. It reports whether the line is the next frame or an error.
func (r *Reader) readLine() (stream.Frame, bool, error) {
	line, err := r.line()
	if err != nil {
		return stream.Frame{}, true, err
	}
	data, ok := bytes.CutPrefix(line, dataField)
	if !ok {
		return stream.Frame{}, false, nil
	}
	f, err := r.decoder.decode(data)
	if err != nil {
		return f, true, refusal.New(refusal.Garbage, refusal.Unknown, "engine sent a malformed frame: "+err.Error())
	}
	pass, err := r.check.Accept(f)
	if err != nil {
		return f, true, refusal.New(refusal.Garbage, refusal.Unknown, err.Error())
	}
	return f, pass, nil
}

// Buffered reports whether another frame can be read without waiting for the
// network, so that frames that arrived together are passed on with one flush.
func (r *Reader) Buffered() bool {
	for !r.ahead && bytes.IndexByte(r.lines.unread(), '\n') >= 0 {
		r.frame, r.ahead, r.err = r.readLine()
	}
	return r.ahead && r.err == nil
}

// Last returns the number of the last token that was read.
func (r *Reader) Last() int { return r.last }

// Boot returns the engine's boot. It may be empty before the first frame.
func (r *Reader) Boot() string { return r.check.Boot }

// Close closes the connection. It does not end the generation.
func (r *Reader) Close() error { return r.body.Close() }

// line reads one line. One over maxFrameBytes fails with reason Garbage. The result
// is valid until the next call.
func (r *Reader) line() ([]byte, error) {
	line, err := r.lines.next()
	switch {
	case err == nil:
		return line, nil
	case errors.Is(err, errLongLine):
		return nil, refusal.New(refusal.Garbage, refusal.Unknown, "engine sent a frame over 64 KiB")
	}
	return nil, refusal.New(refusal.Broken, refusal.Unknown, "engine stream ended: "+err.Error())
}
