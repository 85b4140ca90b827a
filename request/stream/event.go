package stream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// MaxEvent is the largest event in bytes that Events passes on.
const MaxEvent = 1 << 20

// ErrEventSize says that an event is larger than MaxEvent.
var ErrEventSize = errors.New("event is too large")

type (
	// Event is one server-sent event as it was received, with the empty line that
	// ends it. Its bytes are valid until the next one is read.
	Event struct {
		ID  string
		Raw []byte
	}

	// Events reads whole server-sent events. What follows the last whole event
	// is never given out.
	Events struct {
		r   *bufio.Reader
		raw []byte
	}
)

// NewEvents makes a reader of events.
func NewEvents(r io.Reader) *Events { return &Events{r: bufio.NewReaderSize(r, 4<<10)} }

// Next reads the next event. The error is io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF if it ends inside an event.
func (e *Events) Next() (Event, error) {
	e.raw = e.raw[:0]
	var event Event
	for {
		start := len(e.raw)
		for {
			part, err := e.r.ReadSlice('\n')
			e.raw = append(e.raw, part...)
			if len(e.raw) > MaxEvent {
				return event, ErrEventSize
			}
			if err == nil {
				break
			}
			if errors.Is(err, bufio.ErrBufferFull) {
				continue
			}
			if errors.Is(err, io.EOF) && len(e.raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return event, fmt.Errorf("read event: %w", err)
		}
		line := bytes.TrimRight(e.raw[start:], "\r\n")
		if len(line) == 0 {
			if start == 0 {
				e.raw = e.raw[:0] // an empty line between events
				continue
			}
			event.Raw = e.raw
			return event, nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			event.ID = string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
}

// Pending tells whether bytes of the next event have been received.
func (e *Events) Pending() bool { return e.r.Buffered() > 0 }
