package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
	"github.com/eelgrassdock/eelgrassdock/request/stream"
	"github.com/eelgrassdock/eelgrassdock/standin/model"
)

const (
	endedTTL     = 30 * time.Second      // how long an ended generation can still be read
	maxRequest   = 4 << 20               // largest request body in bytes
	samplePeriod = 50 * time.Millisecond // interval between load reports
	gapEvery     = 50                    // cache events whose sequence number is a multiple of this are never published
)

type (
	// Engine is a simulated model engine: it runs the steps of package model in
	// real time and serves them over HTTP. Its exported fields are set before
	// Run.
	Engine struct {
		// Model configures the simulated engine.
		Model model.Config
		// Lag is the age of load reports and cache events.
		Lag time.Duration
		// Fenced makes the engine refuse an order whose fencing token is older
		// than that of the order in force.
		Fenced bool
		// Models lists the models that are loaded at start. If it is empty, the
		// engine accepts requests for any model.
		Models []string
		// Crash is called soon after the engine has begun a prompt with DeadlyText,
		// and must end it. If it is nil, there are no such prompts.
		Crash func()

		start sync.Once
		boot  string
		wake  chan struct{} // wakes Run when work was submitted

		mu       sync.Mutex
		model    *model.Engine
		gens     map[string]*generation
		expiries []expiry      // in order of time
		reports  []datedReport // in order of time
		fault    EngineFaults
		order    engine.Order

		accepted int // generations accepted
		canceled int // generations canceled before their end
	}

	// EngineFaults selects how an Engine misbehaves.
	EngineFaults struct {
		Leaving bool `json:"leaving"` // reports that the engine will leave, and rejects new work
		Stall   bool `json:"stall"`   // produces no tokens
		Garbage bool `json:"garbage"` // sends malformed frames
		Repeat  bool `json:"repeat"`  // sends each frame twice
		Reorder bool `json:"reorder"` // skips token numbers
		Foreign bool `json:"foreign"` // sends frames of another generation
		Close   bool `json:"close"`   // ends each connection before the first frame
		Cut     int  `json:"cut"`     // closes each connection after this many frames
	}

	// expiry is the time at which an ended generation is deleted.
	expiry struct {
		gen string
		at  time.Time
	}

	// datedReport is a load report with the time at which it was taken.
	datedReport struct {
		at     time.Time
		report engine.Report
		seq    int64 // latest cache event at that time
	}
)

// Boot returns the identifier of this run of the engine. The first call
// initializes the engine.
func (e *Engine) Boot() string {
	e.start.Do(func() {
		e.boot = uuid.NewString()
		e.wake = make(chan struct{}, 1)
		e.gens = map[string]*generation{}
		e.order.Models = slices.Clone(e.Models)
		if e.Model.Prefix == 0 {
			e.Model.Prefix = engine.BlockBytes / engine.BytesPerToken
		}
		e.model = model.New(e.Model)
	})
	return e.boot
}

// Break replaces the faults that are in force.
func (e *Engine) Break(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
	e.model.Leaving = f.Leaving
}

// Run produces tokens until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	e.Boot()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		tokens, took := e.step()
		if took == 0 {
			took = samplePeriod // an idle engine still publishes reports
		}
		timer.Reset(took)
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-e.wake:
			if len(tokens) > 0 {
				// The new work starts with the next step, after the running
				// one.
				<-timer.C
			}
		}
		e.publish(tokens)
	}
}

// step runs one step and copies its tokens.
func (e *Engine) step() ([]model.Token, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.Stall {
		return nil, 20 * time.Millisecond
	}
	tokens, took := e.model.Step()
	return slices.Clone(tokens), took
}

// publish makes the tokens of a step available to the readers, takes a load
// report and deletes expired generations.
func (e *Engine) publish(tokens []model.Token) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range tokens {
		g := e.gens[t.Gen]
		if g == nil {
			continue
		}
		g.grow(1)
		if t.End {
			g.end("")
			e.expiries = append(e.expiries, expiry{gen: t.Gen, at: now.Add(endedTTL)})
		}
	}
	e.sample(now)
	for len(e.expiries) > 0 && now.After(e.expiries[0].at) {
		delete(e.gens, e.expiries[0].gen)
		e.expiries = e.expiries[1:]
	}
}

// Handler serves the engine protocol and POST /faults.
func (e *Engine) Handler() http.Handler {
	e.Boot()
	router := httprouter.New()
	router.POST("/generate", e.generate)
	router.GET("/generate/:gen", e.resume)
	router.DELETE("/generate/:gen", e.cancel)
	router.GET("/load", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { reply(w, e.report()) })
	router.GET("/cache", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			http.Error(w, "after must be a number", http.StatusBadRequest)
			return
		}
		reply(w, e.events(after))
	})
	router.POST("/order", e.acceptOrder)
	router.POST("/faults", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var f EngineFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.Break(f)
	})
	return router
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var req engine.Request
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequest)).Decode(&req); err != nil || req.Gen == "" {
		w.Header().Set(engine.NotRunHeader, "true")
		http.Error(w, "malformed request", http.StatusBadRequest)
		return
	}
	g, refused := e.submit(req)
	if refused != "" {
		w.Header().Set(engine.NotRunHeader, "true")
		http.Error(w, refused, http.StatusServiceUnavailable)
		return
	}
	e.send(w, r, req.Gen, g, 0)
}

// submit starts a generation, or returns the reason why it is refused. It
// returns the existing generation if there is one with the same name.
func (e *Engine) submit(req engine.Request) (*generation, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g, ok := e.gens[req.Gen]; ok {
		return g, ""
	}
	switch {
	case e.fault.Leaving || e.order.Drain:
		return nil, "leaving"
	case len(e.order.Models) > 0 && req.Model != "" && !slices.Contains(e.order.Models, req.Model):
		return nil, "model " + req.Model + " is not loaded"
	}
	if e.Crash != nil && strings.Contains(req.Prompt, DeadlyText) {
		return e.startDeadly(req.Gen, req.Prompt), ""
	}
	accepted := e.model.Submit(model.Work{
		Gen: req.Gen, Prompt: int64(engine.EstimateTokens(req.Prompt)), Prefix: engine.PrefixHashes(req.Prompt),
		Max: req.Max, Rank: req.Rank, Length: Length(req.Prompt, req.Max),
	})
	if !accepted {
		return nil, "request can never fit into memory"
	}
	g := newGeneration(req.Prompt)
	e.gens[req.Gen] = g
	e.accepted++
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return g, ""
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	n, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || n < 0 {
		http.Error(w, "after must be a number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	g, ok := e.gens[p.ByName("gen")]
	e.mu.Unlock()
	if !ok {
		http.Error(w, "generation is gone", http.StatusGone)
		return
	}
	e.send(w, r, p.ByName("gen"), g, n)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g, ok := e.gens[p.ByName("gen")]
	if !ok || (r.URL.Query().Get("idle") == "true" && !g.idle()) {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	delete(e.gens, p.ByName("gen"))
	e.model.Cancel(p.ByName("gen"))
	if g.end("canceled") {
		e.canceled++
	}
	w.WriteHeader(http.StatusNoContent)
}

// sample takes a load report unless the latest one is younger than
// samplePeriod. It drops all reports that are older than the newest one that
// may be published, which is at least Lag old. The lock is held.
func (e *Engine) sample(now time.Time) {
	if n := len(e.reports); n > 0 && now.Sub(e.reports[n-1].at) < samplePeriod {
		return
	}
	m := e.model.Report()
	r := engine.Report{
		Boot: e.boot, At: now.UnixMilli(), Running: m.Running, Waiting: m.Waiting, Used: m.Used, Total: m.Total,
		Preempted: m.Preempted, Step: m.StepTime.Microseconds(), Models: e.order.Models, Role: e.order.Role, Fence: e.order.Fence,
	}
	var seq int64
	if events := e.model.Events(0); len(events) > 0 {
		seq = events[len(events)-1].Seq
	}
	e.reports = append(e.reports, datedReport{at: now, report: r, seq: seq})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.Lag {
		e.reports = e.reports[1:]
	}
}

// report returns the load as it was about Lag ago.
func (e *Engine) report() engine.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sample(time.Now())
	r := e.reports[0].report
	// The effects of operators' orders and a notice of leaving are reported
	// without delay.
	r.Leaving, r.Models, r.Fence = e.fault.Leaving || e.order.Drain, e.order.Models, e.order.Fence
	return r
}

// events returns the cache events after a sequence number. The events are as
// old as the load reports, and one in gapEvery is missing.
func (e *Engine) events(after int64) []engine.Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := []engine.Event{}
	if len(e.reports) == 0 {
		return list
	}
	for _, ev := range e.model.Events(after) {
		if ev.Seq > e.reports[0].seq {
			break
		}
		if ev.Seq%gapEvery != 0 {
			list = append(list, engine.Event(ev))
		}
	}
	return list
}

// Preempted returns the number of preemptions so far.
func (e *Engine) Preempted() int64 {
	e.Boot()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.Report().Preempted
}

// Counts returns the numbers of generations that were accepted and that were
// canceled before their end.
func (e *Engine) Counts() (begun, canceled int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.accepted, e.canceled
}

// acceptOrder replaces the order in force. A fenced engine refuses an order with
// an older fencing token.
func (e *Engine) acceptOrder(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var order engine.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequest)).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Fenced && order.Fence < e.order.Fence {
		http.Error(w, "fencing token "+strconv.FormatInt(order.Fence, 10)+" is older than "+
			strconv.FormatInt(e.order.Fence, 10), http.StatusConflict)
		return
	}
	e.order = order
	reply(w, order)
}

// send streams the tokens after the first n until the generation ends or the
// reader disconnects.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, gen string, g *generation, n int) {
	g.attach(1)
	defer g.attach(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(engine.BootHeader, e.boot)
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	_ = control.Flush()
	var sent int
	for {
		have, ended, reason, wake := g.state()
		var out []byte
		cut := false
		for ; n < have && !cut; sent++ {
			f := stream.Frame{Boot: e.boot, Gen: gen, N: n + 1, Text: Token(g.prompt, n+1)}
			if out, cut = e.appendFrame(out, f, sent); !cut {
				n++
			}
		}
		if ended && !cut {
			out, cut = e.appendFrame(out, stream.Frame{Boot: e.boot, Gen: gen, N: n, End: true, Error: reason}, sent)
		}
		if _, err := w.Write(out); err != nil || control.Flush() != nil {
			return
		}
		if cut {
			panic(http.ErrAbortHandler)
		}
		if ended {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-wake:
		}
	}
}

// appendFrame appends an encoded frame, changed by the faults in force. It
// reports whether the connection must be cut before this frame. sent is the
// number of frames that were sent on the connection.
func (e *Engine) appendFrame(out []byte, f stream.Frame, sent int) ([]byte, bool) {
	e.mu.Lock()
	fault := e.fault
	e.mu.Unlock()
	switch {
	case fault.Close, fault.Cut > 0 && sent > 0 && sent%fault.Cut == 0:
		return out, true
	case fault.Garbage:
		return append(out, "data: {\"gen\":\n\n"...), false
	case fault.Foreign:
		f.Gen = "another"
	case fault.Reorder:
		f.N++
	}
	data, err := json.Marshal(f)
	if err != nil {
		return out, true
	}
	for range 1 + btoi(fault.Repeat) {
		out = append(out, "data: "...)
		out = append(out, data...)
		out = append(out, "\n\n"...)
	}
	return out, false
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
