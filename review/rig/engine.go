package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/eelgrassdock/eelgrassdock/platform/wire"
)

const (
	firstEvent = 60 * time.Millisecond // from the begin of a run to its first event
	eventTime  = 10 * time.Millisecond
	copyTime   = 40 * time.Millisecond
	keepTime   = 5 * time.Second // of a copy
)

type (
	// engine is a stand-in of a model replica that works on a request until it is done or
	// its time limit has passed, also after the channel of the request has closed: the pages
	// say that most replicas drop it then. It stops a run before the copy that is ordered
	// with last.
	engine struct {
		id, addr, zone string
		spoils         float64 // share of the answers in which it spoils one event
		// began is called when a run begins, with how it does, and ended when it ends.
		began func(e *engine, id, from string, after int)
		ended func(e *engine, id string, events int)
		peer  func(addr string) *engine

		born   int64
		mu     sync.Mutex
		runs   map[string]*engineRun
		copies map[string]*engineCopy
		orders int
	}

	engineRun struct {
		id     string
		total  int
		limit  time.Time
		mu     sync.Mutex
		events int
		done   bool
		news   chan struct{} // closed at the next event and at the end
	}

	engineCopy struct {
		id     string
		events int
		until  time.Time
	}
)

func (e *engine) start(r *rig) error {
	e.born, e.runs, e.copies = time.Now().UnixMilli(), map[string]*engineRun{}, map[string]*engineCopy{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathReport, e.report)
	mux.HandleFunc("POST "+wire.PathMove, e.move)
	mux.HandleFunc("DELETE "+wire.PathHandle, e.free)
	mux.HandleFunc("/", e.generate)
	var err error
	e.addr, err = r.serve(mux)
	if err != nil {
		return err
	}
	row, err := json.Marshal(wire.Endpoint{
		Service: engineService, Address: e.addr, Zone: e.zone, Version: "v1", Slots: 24, State: "ready", Sequence: 0, Born: e.born,
	})
	if err != nil {
		return fmt.Errorf("encode row: %w", err)
	}
	r.store.Put(wire.TableEndpoints, e.id, row)
	return nil
}

func (e *engine) generate(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(wire.HeaderRequest)
	w.Header().Set(wire.HeaderRequest, id)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	refuse := func(status int) {
		w.Header().Set(wire.HeaderNotRun, "1")
		w.Header().Set(wire.HeaderEndpoint, e.id)
		w.WriteHeader(status)
	}
	if want := req.Header.Get(wire.HeaderExpect); want != "" && want != e.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	var total int
	if _, err := fmt.Sscanf(string(body), "events=%d", &total); err != nil {
		refuse(http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(req.Header.Get(wire.HeaderDeadline))
	after, _ := strconv.Atoi(req.Header.Get(wire.HeaderLastEvent))
	from := req.Header.Get(wire.HeaderFrom)
	if from != "" && !e.take(from, id) {
		refuse(http.StatusServiceUnavailable)
		return
	}
	run := &engineRun{id: id, total: total, limit: time.Now().Add(time.Duration(ms) * time.Millisecond), events: after, news: make(chan struct{})}
	e.mu.Lock()
	e.runs[id] = run
	e.mu.Unlock()
	e.began(e, id, from, after)
	go e.work(run)

	w.Header().Set(wire.HeaderSeal, "seal."+id+"."+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	spoilAt := 0
	if rand.Float64() < e.spoils {
		spoilAt = after + 2 + rand.N(max(total/2-after, 1))
	}
	for sent := after; ; {
		run.mu.Lock()
		events, done, news := run.events, run.done, run.news
		run.mu.Unlock()
		for ; sent < events; sent++ {
			text := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", sent+1, id, sent+1)
			if sent+1 == spoilAt {
				text = "spoilt" + text[len("spoilt"):] // the run itself is sound
			}
			if _, err := io.WriteString(w, text); err != nil || control.Flush() != nil {
				return
			}
		}
		if done && sent == total {
			return
		}
		if done {
			e.breakOff(w) // stopped: the stream is closed without its end
			return
		}
		select {
		case <-news:
		case <-req.Context().Done():
			return
		}
	}
}

// breakOff closes the channel of an answer without its end.
func (e *engine) breakOff(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// work produces the events of a run, whether anybody reads them or not.
func (e *engine) work(run *engineRun) {
	time.Sleep(firstEvent)
	for {
		run.mu.Lock()
		if !run.done {
			run.events++
			run.done = run.events >= run.total || time.Now().After(run.limit)
		}
		done, events := run.done, run.events
		close(run.news)
		run.news = make(chan struct{})
		run.mu.Unlock()
		if done {
			e.mu.Lock()
			if e.runs[run.id] == run {
				delete(e.runs, run.id)
			}
			e.mu.Unlock()
			e.ended(e, run.id, events)
			return
		}
		time.Sleep(eventTime)
	}
}

func (e *engine) take(from, id string) bool {
	_, handle, _ := strings.Cut(from, "/")
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.copies[handle]
	if c == nil || c.id != id || time.Now().After(c.until) {
		return false
	}
	delete(e.copies, handle)
	return true
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	runs := [][]any{}
	for id, run := range e.runs {
		run.mu.Lock()
		runs = append(runs, []any{id, 1000 + 4*run.events, run.events, 5})
		run.mu.Unlock()
	}
	handles := len(e.copies)
	e.mu.Unlock()
	answer(w, map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 0,
		"queued": 0, "active": len(runs), "kv_used": 1000 * len(runs), "kv_total": 34307, "handles": handles, "state": "ready", "born": e.born,
		"next": 0, "runs": runs,
	})
}

func (e *engine) move(w http.ResponseWriter, req *http.Request) {
	var m wire.Move
	if err := json.NewDecoder(req.Body).Decode(&m); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	run := e.runs[m.ID]
	e.mu.Unlock()
	to := e.peer(m.To)
	switch {
	case run == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	case to == nil:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(copyTime)
	run.mu.Lock()
	events := run.events
	run.done = run.done || m.Last
	run.mu.Unlock()
	e.mu.Lock()
	e.orders++
	handle := e.id + "-" + m.ID // the same one when it is called again
	e.mu.Unlock()
	to.mu.Lock()
	to.copies[handle] = &engineCopy{id: m.ID, events: events, until: time.Now().Add(keepTime)}
	to.mu.Unlock()
	answer(w, wire.Moved{Handle: handle, Created: events})
}

func (e *engine) free(w http.ResponseWriter, req *http.Request) {
	handle := strings.TrimPrefix(req.URL.Path, wire.PathHandle)
	e.mu.Lock()
	delete(e.copies, handle)
	e.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
