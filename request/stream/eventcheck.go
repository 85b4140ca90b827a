package stream

import (
	"fmt"
	"strconv"
)

// EventCheck checks the order of the events of one stream, which several runs may
// produce one after another. Each event has an ID, a decimal number that is higher
// than the one before. IDs may have gaps.
type EventCheck struct {
	Last    uint64 // ID of the last event that was accepted
	Started bool   // whether Last is set
}

// NewEventCheck returns a check of the events that follow the one with an ID. IDs
// that are not numbers, such as an empty one, stand for the begin of the stream.
func NewEventCheck(after string) *EventCheck {
	last, err := strconv.ParseUint(after, 10, 64)
	return &EventCheck{Last: last, Started: err == nil}
}

// Accept returns ErrOrder unless e may be the next event.
func (c *EventCheck) Accept(e Event) error {
	if e.ID == "" {
		return fmt.Errorf("event without an ID after event %d: %w", c.Last, ErrOrder)
	}
	id, err := strconv.ParseUint(e.ID, 10, 64)
	if err != nil {
		return fmt.Errorf("ID %.40q of an event is not a number: %w", e.ID, ErrOrder)
	}
	if c.Started && id <= c.Last {
		return fmt.Errorf("event %d after event %d: %w", id, c.Last, ErrOrder)
	}
	c.Last, c.Started = id, true
	return nil
}
