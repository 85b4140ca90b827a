// Package stream checks that a token stream reaches its reader once, in order
// and from one generation.
//
// A reader that connects again may see frames a second time, or frames of an
// older connection late. Check passes the next frame, tells the reader to skip
// one it already has, and fails on everything else.
package stream

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrOrder reports a frame that belongs to another generation, leaves a gap,
// or follows the end of the stream.
var ErrOrder = errors.New("frame out of order")

type (
	// Frame is one token of a generation as an engine sends it.
	Frame struct {
		Boot  string `json:"boot"`            // the engine process
		Gen   string `json:"gen"`             // the generation
		N     int    `json:"n"`               // number of the token, from 1
		Text  string `json:"text,omitempty"`  // the token
		End   bool   `json:"end,omitempty"`   // last frame; it carries no token
		Error string `json:"error,omitempty"` // why the generation ended early
	}

	// Check is the order check of one stream. Gen and Last are set before use;
	// Boot may be empty, then the first frame sets it.
	Check struct {
		Boot  string
		Gen   string
		Last  int // number of the last token that was passed
		Ended bool
	}
)

// Pass tells whether the frame is the next one. It is false without an error
// for a token that was passed before.
func (c *Check) Pass(f Frame) (bool, error) {
	if f.Gen != c.Gen {
		return false, fmt.Errorf("frame of generation %q in stream of %q: %w", f.Gen, c.Gen, ErrOrder)
	}
	if c.Boot == "" {
		c.Boot = f.Boot
	}
	if f.Boot != c.Boot {
		return false, fmt.Errorf("frame of engine boot %q in stream of boot %q: %w", f.Boot, c.Boot, ErrOrder)
	}
	if c.Ended {
		return false, fmt.Errorf("frame %d after the end: %w", f.N, ErrOrder)
	}
	if f.End {
		if f.N != c.Last && f.Error == "" {
			return false, fmt.Errorf("end after token %d, last received %d: %w", f.N, c.Last, ErrOrder)
		}
		c.Ended = true
		return true, nil
	}
	if f.N <= c.Last {
		return false, nil
	}
	if f.N != c.Last+1 {
		return false, fmt.Errorf("token %d after token %d: %w", f.N, c.Last, ErrOrder)
	}
	c.Last = f.N
	return true, nil
}
