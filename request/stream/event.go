package stream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// MaxEvent is the size in bytes of the largest event that EventReader returns.
const MaxEvent = 1 << 20

// ErrEventSize is returned for an event larger than MaxEvent.
var ErrEventSize = errors.New("event is too large")

type (
	// Event is one server-sent event as it was received, including the empty
	// line that ends it. Raw is valid until the next event is read.
	Event struct {
		ID  string
		Raw []byte
	}

	// EventReader reads complete server-sent events from a stream. An incomplete
	// event at the end of the stream is never returned.
	EventReader struct {
		r   *bufio.Reader
		raw []byte
	}
)

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader { return &EventReader{r: bufio.NewReaderSize(r, 4<<10)} }

// Next reads the next event. The error wraps io.EOF at the end of the stream,
// and io.ErrUnexpectedEOF if the stream ends inside an event.
func (e *EventReader) Next() (Event, error) {
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

// Pending reports whether the next event has been received completely.
func (e *EventReader) Pending() bool {
	data, err := e.r.Peek(e.r.Buffered())
	data = bytes.TrimLeft(data, "\r\n") // empty lines between events
	return err == nil && (bytes.Contains(data, []byte("\n\n")) || bytes.Contains(data, []byte("\n\r\n")))
}
