package engine

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/request/stream"
)

var (
	dataField = []byte("data:")
	frameEnd  = []byte("\n\n")
)

// Reader reads the frames of one generation over one connection.
type Reader struct {
	body  io.ReadCloser
	lines lines
	check stream.Check
	codec frames
}

func newReader(body io.ReadCloser, check stream.Check) *Reader {
	return &Reader{body: body, lines: lines{in: body}, check: check}
}

// Next gives the next frame that the reader does not have yet. Errors are
// *refusal.Error: Broken when the connection ended, Garbage when the engine
// broke its protocol.
func (r *Reader) Next() (stream.Frame, error) {
	for {
		line, err := r.line()
		if err != nil {
			return stream.Frame{}, err
		}
		data, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			continue
		}
		f, err := r.codec.decode(data)
		if err != nil {
			return f, refusal.New(refusal.Garbage, refusal.Unknown, "engine sent a malformed frame: "+err.Error())
		}
		pass, err := r.check.Accept(f)
		if err != nil {
			return f, refusal.New(refusal.Garbage, refusal.Unknown, err.Error())
		}
		if pass {
			return f, nil
		}
	}
}

// Buffered tells whether another frame can be read without waiting for the
// network, so that a relay flushes once for frames that arrived together.
func (r *Reader) Buffered() bool {
	return bytes.Contains(r.lines.unread(), frameEnd)
}

// Last gives the number of the last token that was read.
func (r *Reader) Last() int { return r.check.Last }

// Boot gives the engine's boot; it is empty before the first frame.
func (r *Reader) Boot() string { return r.check.Boot }

// Close ends the connection. The generation goes on.
func (r *Reader) Close() error { return r.body.Close() }

// line reads one line of at most maxFrameBytes. The result is valid until the
// next call.
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
