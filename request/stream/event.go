package stream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"regexp"

	"github.com/cockroachdb/errors"
)

// MaxEvent is the size in bytes of the largest event that EventReader returns.
const MaxEvent = 1 << 20

var (
	// ErrEventSize is returned for an event larger than MaxEvent.
	ErrEventSize = errors.New("event is too large")
	// ErrNoEvent is returned for a line that is not part of an event.
	ErrNoEvent = errors.New("not an event")

	// annotation matches the line that may precede the fields of an event: the
	// name of a header in lower case and a number.
	annotation = regexp.MustCompile(`^[a-z][a-z0-9-]*: ?[0-9]+$`)
)

type (
	// Event is one server-sent event as it was received, including the empty
	// line that ends it. Raw is valid until the next event is read.
	Event struct {
		ID  string
		Raw []byte
		// Comment is set for lines that a reader of events ignores: comments, and
		// times to wait before a reconnection.
		Comment bool
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
// io.ErrUnexpectedEOF if the stream ends inside an event, and ErrNoEvent for a line
// that is neither a comment nor a field of an event. The first line of an event may
// also be the name of a header in lower case with a number.
func (e *EventReader) Next() (Event, error) {
	e.raw = e.raw[:0]
	event := Event{Comment: true}
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
		if line[0] == ':' {
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "retry":
			continue
		case "id":
			event.ID = string(bytes.TrimPrefix(value, []byte(" ")))
		case "data", "event":
		default:
			if start > 0 || !annotation.Match(line) {
				return event, fmt.Errorf("line %.40q: %w", line, ErrNoEvent)
			}
		}
		event.Comment = false
	}
}

// Pending reports whether the next event has been received whole.
func (e *EventReader) Pending() bool {
	data, _ := e.r.Peek(e.r.Buffered())
	data = bytes.TrimLeft(data, "\r\n") // empty lines end no event
	return bytes.Contains(data, []byte("\n\n")) || bytes.Contains(data, []byte("\n\r\n"))
}
