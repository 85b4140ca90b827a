package entry

import "github.com/eelgrassdock/eelgrassdock/process/locate"

// Active gives the number of requests in flight, for tests.
func (e *Entry) Active() int64 { return e.streams.active() }

// Candidates gives the list in which owners are looked up, for tests.
func (e *Entry) Candidates() []locate.Entry { return e.candidates() }
