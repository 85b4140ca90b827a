// Package stream checks that the tokens of a stream are received exactly once,
// in order and from one generation, and reads server-sent events.
//
// A reader that reconnects may receive frames a second time, or late frames of
// an older connection. Check accepts the next frame, skips a frame that was
// already received, and returns an error for every other frame.
package stream

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrOrder is returned for a frame that belongs to another generation or boot,
// leaves a gap, or follows the end of the stream.
var ErrOrder = errors.New("frame out of order")

type (
	// Frame is one message of an engine: a token of a generation, or its end.
	Frame struct {
		Boot  string `json:"boot"`            // run of the engine process
		Gen   string `json:"gen"`             // ID of the generation
		N     int    `json:"n"`               // number of the token, from 1
		Text  string `json:"text,omitempty"`  // text of the token
		End   bool   `json:"end,omitempty"`   // last frame; it carries no token
		Error string `json:"error,omitempty"` // why the generation ended early
	}

	// Check checks the order of the frames of one stream. Gen and Last are set
	// before use. If Boot is empty, the first frame sets it.
	Check struct {
		Boot  string
		Gen   string
		Last  int  // number of the last token that was accepted
		Ended bool // whether the last frame was accepted
	}
)

// Accept reports whether f is the next frame. It returns false without an error
// for a token that was accepted before, and ErrOrder for a frame out of order.
func (c *Check) Accept(f Frame) (bool, error) {
	if f.Gen != c.Gen {
		return false, fmt.Errorf("frame of generation %q in stream of %q: %w", f.Gen, c.Gen, ErrOrder)
	}
	if c.Boot == "" {
		c.Boot = f.Boot
	}
	if f.Boot != c.Boot || f.Boot == "" {
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
	if f.Error != "" {
		return false, fmt.Errorf("error %q in place of token %d: %w", f.Error, f.N, ErrOrder)
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
