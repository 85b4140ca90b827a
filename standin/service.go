package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
)

// BodyKey is the prefix of the name under which a Service counts the executions
// of a body. This count reveals a call that was executed twice under two keys.
const BodyKey = "body:"

// Service is a simulated plain service. It counts the executions for each key,
// so that a test can detect a request that was executed twice. The zero value
// is ready to use.
type Service struct {
	// Delay returns how long the next request takes; nil means no delay.
	Delay func() time.Duration
	// Crash is called soon after the service has begun a call with DeadlyText, and
	// must end it. If it is nil, there are no such calls.
	Crash func()

	mu    sync.Mutex
	boot  string // differs after each start
	fault ServiceFaults
	runs  map[string]int
}

type (
	// ServiceFaults selects how a Service misbehaves.
	ServiceFaults struct {
		Leaving  bool `json:"leaving"`  // reports that the service will leave, and rejects new work
		Reject   bool `json:"reject"`   // rejects every call before executing it
		Hang     bool `json:"hang"`     // executes calls and closes the connection without an answer
		Redirect bool `json:"redirect"` // executes calls and answers with a redirect
		Lie      bool `json:"lie"`      // executes calls and answers that they were not executed

		// Status, if set, is the status of the answers to calls that are executed, as it is
		// written on the wire: 000 for one that no answer can have.
		Status string `json:"status"`
	}

	// Receipt is the answer to a call that was executed.
	Receipt struct {
		Key  string `json:"key"`
		Path string `json:"path"`
		Echo string `json:"echo"`
		Runs int    `json:"runs"`
	}
)

// Break replaces the faults that are in force.
func (s *Service) Break(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Runs returns the number of executions by key, and by body under BodyKey.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for key, n := range s.runs {
		runs[key] = n
	}
	return runs
}

// Handler serves GET /health, GET /runs and POST /faults. Every other path is a
// call.
func (s *Service) Handler() http.Handler {
	router := httprouter.New()
	s.boot = uuid.NewString()
	router.GET("/health", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"leaving": s.fault.Leaving, "boot": s.boot})
	})
	router.GET("/runs", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		_ = json.NewEncoder(w).Encode(s.Runs())
	})
	router.POST("/faults", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var f ServiceFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Break(f)
	})
	router.NotFound = http.HandlerFunc(s.call)
	return router
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if s.fault.Leaving || s.fault.Reject {
		s.mu.Unlock()
		w.Header().Set("X-Not-Run", "true")
		http.Error(w, "rejected before execution", http.StatusServiceUnavailable)
		return
	}
	key := r.Header.Get("X-Request-Key")
	if s.runs == nil {
		s.runs = map[string]int{}
	}
	s.runs[key]++
	s.runs[BodyKey+string(body)]++
	receipt := Receipt{Key: key, Path: r.URL.Path, Echo: string(body), Runs: s.runs[key]}
	fault := s.fault
	s.mu.Unlock()
	if s.isDeadly(r, body) {
		s.runDeadly()
	}
	if s.Delay != nil {
		time.Sleep(s.Delay())
	}
	if fault.Hang {
		panic(http.ErrAbortHandler)
	}
	if fault.Lie {
		w.Header().Set("X-Not-Run", "true")
		http.Error(w, "rejected before execution", http.StatusServiceUnavailable)
		return
	}
	if fault.Status != "" {
		writeStatus(w, fault.Status)
		return
	}
	if fault.Redirect {
		http.Redirect(w, r, "/stock", http.StatusSeeOther)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(receipt)
}

// writeStatus writes an answer with a status that http.ResponseWriter may not accept.
func writeStatus(w http.ResponseWriter, status string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Status\r\nContent-Length: 2\r\n\r\nok") // the caller may have left
}
