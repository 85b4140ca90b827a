package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/eelgrassdock/eelgrassdock/platform/wire"
)

const (
	eventGap  = 100 * time.Millisecond // between two events of a stream
	moveTime  = 150 * time.Millisecond // of the copy of a run's memory
	streamLen = 150                    // events of a stream
)

type (
	// engineSet is all model servers of a rig.
	engineSet struct {
		mu     sync.Mutex
		byAddr map[string]*engine
		spans  []*span
	}

	engine struct {
		*server
		set     *engineSet
		runs    map[string]*span  // by request
		copies  map[string]string // requests by the memory that is kept
		worksOn bool              // does not drop a request when its channel closes
		pauseAt time.Time         // from which streams make one pause
		pause   time.Duration
	}

	// span is the work of one engine on one request.
	span struct {
		request, engine string
		begun, ended    time.Time
		from            string // memory that it went on from
		made            int    // events
		stop            chan struct{}
	}
)

func (r *rig) addEngine(set *engineSet, id, place string) (*engine, error) {
	e := &engine{set: set, runs: map[string]*span{}, copies: map[string]string{}}
	s, err := r.addServer(id, engines, place, 24, e.serve)
	if err != nil {
		return nil, err
	}
	set.mu.Lock()
	defer set.mu.Unlock()
	e.server = s
	set.byAddr[s.addr] = e
	return e, nil
}

func writeJSON(c net.Conn, status int, body any) bool {
	data, err := json.Marshal(body)
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(data), data)
	return err == nil
}

func (e *engine) serve(c net.Conn, in *bufio.Reader, q *http.Request, body []byte) bool {
	switch {
	case q.URL.Path == wire.PathReport:
		e.set.mu.Lock()
		n := len(e.runs)
		e.set.mu.Unlock()
		return writeJSON(c, http.StatusOK, map[string]any{
			"stage": "both", "models": []any{}, "busy": false, "sequence": 0, "queued": 0, "active": n, "kv_used": 1000 * n, "kv_total": 34307,
			"handles": 0, "state": e.state, "born": e.born,
		})
	case q.URL.Path == wire.PathMove:
		return e.move(c, body)
	case strings.HasPrefix(q.URL.Path, wire.PathHandle):
		return writeJSON(c, http.StatusOK, map[string]any{})
	}
	return e.generate(c, in, q)
}

// move copies the memory of a run to another engine.
func (e *engine) move(c net.Conn, body []byte) bool {
	var m wire.Move
	if err := json.Unmarshal(body, &m); err != nil {
		return writeJSON(c, http.StatusBadRequest, map[string]any{})
	}
	e.set.mu.Lock()
	run, to := e.runs[m.ID], e.set.byAddr[m.To]
	if run != nil && m.Last {
		close(run.stop)
		delete(e.runs, m.ID)
	}
	e.set.mu.Unlock()
	if run == nil {
		return writeJSON(c, http.StatusNotFound, map[string]any{})
	}
	time.Sleep(moveTime)
	if to == nil {
		return writeJSON(c, http.StatusServiceUnavailable, map[string]any{"handle": "h-" + m.ID})
	}
	e.set.mu.Lock()
	handle := "h-" + m.ID
	to.copies[e.addr+"/"+handle] = m.ID
	made := run.made
	e.set.mu.Unlock()
	e.r.record.note("%s copies %s to %s, last %v", e.id, m.ID, to.id, m.Last)
	return writeJSON(c, http.StatusOK, map[string]any{"handle": handle, "created": made})
}

// generate runs a request.
func (e *engine) generate(c net.Conn, in *bufio.Reader, q *http.Request) bool {
	id, from := q.Header.Get(wire.HeaderRequest), q.Header.Get(wire.HeaderFrom)
	refuse := func(status int) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), wire.HeaderRequest, id, wire.HeaderNotRun)
		return err == nil
	}
	if q.Header.Get(wire.HeaderExpect) != e.id {
		return refuse(http.StatusMisdirectedRequest)
	}
	after, _ := strconv.Atoi(q.Header.Get(wire.HeaderLastEvent))
	e.set.mu.Lock()
	if from != "" && e.copies[from] != id {
		e.set.mu.Unlock()
		return refuse(http.StatusServiceUnavailable)
	}
	delete(e.copies, from)
	run := &span{request: id, engine: e.id, begun: time.Now(), from: from, made: after, stop: make(chan struct{})}
	e.runs[id] = run
	e.set.spans = append(e.set.spans, run)
	e.set.mu.Unlock()
	e.r.record.note("%s runs %s after event %d, from memory %q", e.id, id, after, from)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n", wire.HeaderRequest, id, wire.HeaderSeal, sealOf(id, e.id))
	closed := make(chan struct{})
	go func() {
		_, _ = in.Peek(1) // the client of a channel sends nothing before the answer
		close(closed)
	}()
	left := (<-chan struct{})(closed)
	paused := false
	for n := after + 1; n <= streamLen; n++ {
		wait := eventGap
		e.set.mu.Lock()
		if !paused && !e.pauseAt.IsZero() && time.Now().After(e.pauseAt) {
			paused, wait = true, e.pause
		}
		e.set.mu.Unlock()
		select {
		case <-run.stop:
			e.finish(run, "stopped by an order")
			return false
		case <-left:
			if left = nil; !e.worksOn {
				e.finish(run, "dropped, as its channel has closed")
				return false
			}
			e.r.record.note("%s: channel of %s has closed; it works on", e.id, id)
			n--
			continue
		case <-e.r.stop:
			return false
		case <-time.After(wait):
		}
		e.set.mu.Lock()
		run.made = n
		e.set.mu.Unlock()
		if err == nil {
			event := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n)
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		}
	}
	if err == nil {
		_, _ = fmt.Fprint(c, "0\r\n\r\n")
	}
	e.finish(run, "complete")
	return false
}

func (e *engine) finish(run *span, how string) {
	e.set.mu.Lock()
	run.ended = time.Now()
	delete(e.runs, run.request)
	e.set.mu.Unlock()
	e.r.record.note("%s ends %s at event %d, %s", e.id, run.request, run.made, how)
}

// overlap returns what breaks TWICE: the work on a request that goes on elsewhere while an
// earlier engine still works on it limit later.
func (x *engineSet) overlap(limit time.Duration) (n int, text string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, later := range x.spans {
		for _, earlier := range x.spans {
			if earlier.request != later.request || !earlier.begun.Before(later.begun) {
				continue
			}
			both := time.Since(later.begun)
			if !earlier.ended.IsZero() {
				both = earlier.ended.Sub(later.begun)
			}
			if both > limit {
				n++
				text = fmt.Sprintf("%s goes on at %s while %s works on it for %d ms more", later.request, later.engine, earlier.engine, both.Milliseconds())
			}
		}
	}
	return n, text
}
