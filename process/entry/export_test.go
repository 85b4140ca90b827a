package entry

// Active gives the number of requests in flight, for tests.
func (e *Entry) Active() int64 { return e.streams.active() }
