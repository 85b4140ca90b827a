package standin

import (
	"net/http"
	"strings"
	"time"
)

// DeadlyText in a prompt, or in the query or the body of a call, crashes the endpoint
// that begins to run it, if its Crash is set.
const DeadlyText = "deadly"

const crashDelay = 100 * time.Millisecond // from the start of a deadly run to the crash

// startDeadly starts a generation that yields no token and crashes the engine. The lock
// is held.
func (e *Engine) startDeadly(gen, prompt string) *generation {
	g := newGeneration(prompt)
	e.gens[gen] = g
	e.accepted++
	time.AfterFunc(crashDelay, e.Crash)
	return g
}

// isDeadly reports whether a call crashes the service.
func (s *Service) isDeadly(r *http.Request, body []byte) bool {
	return s.Crash != nil && (strings.Contains(r.URL.RawQuery, DeadlyText) || strings.Contains(string(body), DeadlyText))
}

// runDeadly crashes the service in the middle of a call.
func (s *Service) runDeadly() {
	time.Sleep(crashDelay)
	s.Crash()
	panic(http.ErrAbortHandler)
}
