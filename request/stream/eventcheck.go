package stream

import (
	"fmt"
	"strconv"
)

// EventCheck checks the order of the events of one stream, which several runs may
// produce one after another. Each event has an ID, a decimal number that is higher
// than the one before. IDs may have gaps, as an event may hold several tokens, but
// the gap where another run continues must not be larger than those before it.
type EventCheck struct {
	Last    uint64 // ID of the last event that was accepted
	Started bool   // whether Last is set
	Step    uint64 // largest difference of the IDs of two events in a row; 0 before two events

	continued bool // the next event is the first one of another run
}

// NewEventCheck returns a check of the events that follow the one with an ID. IDs
// that are not numbers, such as an empty one, stand for the begin of the stream.
func NewEventCheck(after string) *EventCheck {
	last, err := strconv.ParseUint(after, 10, 64)
	return &EventCheck{Last: last, Started: err == nil}
}

// Continue begins the events of another run, which follow those that were accepted.
func (c *EventCheck) Continue() { c.continued = true }

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
	switch step := id - c.Last; {
	case !c.Started, c.continued && c.Step == 0:
	case c.continued && step > c.Step:
		return fmt.Errorf("event %d of another run after event %d: %w", id, c.Last, ErrOrder)
	default:
		c.Step = max(c.Step, step)
	}
	c.Last, c.Started, c.continued = id, true, false
	return nil
}
