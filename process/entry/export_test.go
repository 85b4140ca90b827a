package entry

import "github.com/eelgrassdock/eelgrassdock/process/locate"

// Active returns the number of requests in flight, for tests.
func (e *Entry) Active() int64 { return e.inFlight.active() }

// Candidates returns the list from which owners are chosen, for tests.
func (e *Entry) Candidates() []locate.Entry { return e.candidates() }
