package placement

import "time"

// Work is the work of one entry, or of several, at an endpoint.
type Work struct {
	Endpoint string
	Runs     int
	Tokens   float64 // memory in use
	Copied   float64 // part of Tokens that copies use
	Sent     float64 // prompt tokens sent: since the endpoint was added (Own), or since the last call (SetOthers)
	// Took and Predicted are the seconds that generations took for their tokens while the
	// engine computed no prompt, and the seconds that were predicted for these, since the
	// endpoint was added. They show how fast the engine is. Only Own sets them; see AddPace.
	Took, Predicted float64
}

// Own returns the work of this entry at the endpoints where it has or had some.
func (s *Scheduler) Own() []Work {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Work
	for _, e := range s.list {
		if e.count > 0 || e.sent > 0 {
			list = append(list, Work{Endpoint: e.ID, Runs: e.count, Tokens: e.used, Copied: e.copied, Sent: e.sent, Took: e.took, Predicted: e.predicted})
		}
	}
	return list
}

// SetOthers sets the work of all other entries at an endpoint, as received from
// them. Sent is the number of prompt tokens that they have sent there since the
// last call. Entries that exchange their work need neither reports nor SetPeers.
func (s *Scheduler) SetOthers(w Work, now time.Time) {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	e := s.byID[w.Endpoint]
	if e == nil {
		return
	}
	e.others, e.othersRuns, e.othersCopied = w.Tokens, float64(w.Runs), w.Copied
	e.reportAt = s.nanos
	if w.Sent > 0 {
		s.unseen.record(w.Sent, s.now)
		e.turnover += w.Sent
		e.fill = e.pending(s.nanos, s.fillTime()) + w.Sent
		e.fillAt = s.nanos
	}
}
