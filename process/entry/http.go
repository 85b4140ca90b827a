package entry

import (
	"context"
	"expvar"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/version/config"
)

const (
	maxBody         = 1 << 20          // largest request body in bytes
	defaultDeadline = 15 * time.Minute // deadline of a request that sets none
	maxDeadline     = 2 * time.Hour    // later deadlines are reduced to this
	maxCallerName   = 128              // longest caller identity in bytes

	// CallerHeader carries the identity of the caller within the account.
	CallerHeader = "X-Caller"
	// DeadlineHeader carries the absolute deadline, RFC 3339.
	DeadlineHeader = "X-Deadline"
	// KeyHeader carries the idempotency key.
	KeyHeader = "Idempotency-Key"
)

// call holds the authenticated parts that are common to all requests.
type call struct {
	index    *config.Index
	account  *config.Account
	caller   string
	deadline time.Time
	arrived  time.Time
}

// answerWriter records whether a part of an answer was written.
type answerWriter struct {
	http.ResponseWriter
	begun bool
}

// Handler returns the HTTP handler for callers and operators.
func (e *Entry) Handler() http.Handler {
	router := httprouter.New()
	// A path that does not match a route exactly is not redirected but refused
	// with a problem document.
	router.RedirectTrailingSlash, router.RedirectFixedPath = false, false
	router.HandleMethodNotAllowed, router.HandleOPTIONS = false, false
	router.GET("/v1/entries", e.locate)
	router.POST("/v1/completions", e.complete)
	router.DELETE("/v1/completions/:token", e.cancelStream)
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	} {
		router.Handle(method, servicesPath+":service/*path", e.callService)
	}
	router.GET("/v1/health", e.health)
	router.Handler(http.MethodGet, "/debug/vars", expvar.Handler())
	e.operatorRoutes(router)
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.refuse(w, refusal.New(refusal.NoService, refusal.NotRun, "no such path: "+r.Method+" "+r.URL.Path))
	})
	return e.recovering(router)
}

// recovering returns a handler that refuses a request for which next panics. If a part
// of the answer was written, it closes the connection instead.
func (e *Entry) recovering(next http.Handler) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, r *http.Request) {
		w := &answerWriter{ResponseWriter: response}
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if v == http.ErrAbortHandler {
				panic(v)
			}
			e.Log.WithField("path", r.URL.Path).WithField("panic", v).WithField("stack", string(debug.Stack())).Error("request handler panicked")
			if w.begun {
				_ = http.NewResponseController(w).Flush() // the connection is closed in any case
				panic(http.ErrAbortHandler)
			}
			clear(w.Header()) // it may hold headers of a replica's answer
			e.refuse(w, refusal.New(refusal.Internal, refusal.Unknown, "internal fault"))
		}()
		next.ServeHTTP(w, r)
	})
}

// WriteHeader writes the status and the header.
func (w *answerWriter) WriteHeader(status int) {
	w.ResponseWriter.WriteHeader(status)
	w.begun = true
}

// Write writes a part of the body.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the writer for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (e *Entry) refuse(w http.ResponseWriter, err error) { refusal.Write(w, err, e.now()) }

// authenticate returns the account, caller and deadline of a request.
func (e *Entry) authenticate(r *http.Request) (call, error) {
	c := call{index: e.config(), arrived: e.now(), caller: r.Header.Get(CallerHeader)}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return c, refusal.New(refusal.BadKey, refusal.NotRun, "header Authorization must be \"Bearer KEY\"")
	}
	if c.account = c.index.Authenticate(key); c.account == nil {
		return c, refusal.New(refusal.BadKey, refusal.NotRun, "account key is not known")
	}
	if len(c.caller) > maxCallerName {
		return c, refusal.New(refusal.BadRequest, refusal.NotRun, "header X-Caller is longer than 128 bytes")
	}
	var err error
	c.deadline, err = e.deadline(r, c.arrived)
	return c, err
}

// deadline parses the deadline header of a request that arrived at now.
func (e *Entry) deadline(r *http.Request, now time.Time) (time.Time, error) {
	text := r.Header.Get(DeadlineHeader)
	if text == "" {
		return now.Add(defaultDeadline), nil
	}
	deadline, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return deadline, refusal.New(refusal.BadRequest, refusal.NotRun,
			"header X-Deadline must be an RFC 3339 time, is \""+text+"\"")
	}
	if !now.Before(deadline) {
		return deadline, refusal.New(refusal.Deadline, refusal.NotRun, "deadline "+text+" has passed")
	}
	if latest := now.Add(maxDeadline); deadline.After(latest) {
		deadline = latest
	}
	return deadline, nil
}

// service returns the service with the given ID and kind. It refuses the
// request if the account may not call the service, or if the service is strict
// and the configuration may be out of date.
func (e *Entry) service(c call, id, kind string) (*config.Service, error) {
	s := c.index.Service(id)
	if s == nil || s.Kind != kind {
		return nil, refusal.New(refusal.NoService, refusal.NotRun, "no "+kind+" service \""+id+"\"")
	}
	if !c.account.Allows(id) {
		return nil, refusal.New(refusal.Forbidden, refusal.NotRun, "account may not call service \""+id+"\"")
	}
	if s.Strict && e.stale() {
		return nil, refusal.New(refusal.Stale, refusal.NotRun, "configuration may be out of date")
	}
	return s, nil
}

// begin registers a request in flight. The returned context ends at the
// deadline, when an operator cancels the request, and at the limit of a
// graceful stop. The caller must call the returned function at the end of the
// request.
//
// A stop waits for every request that begin admits: stop sets refusing before
// it reads the number of requests, and begin registers the request before it
// reads refusing.
func (e *Entry) begin(ctx context.Context, c call, kind, service string) (context.Context, *activity, func(), error) {
	ctx, cancel := e.withDeadline(ctx, c.deadline)
	a := &activity{
		ID: uuid.NewString(), Kind: kind, Account: c.account.ID, Caller: c.caller,
		Service: service, Begun: c.arrived, cancel: cancel,
	}
	e.inFlight.add(a)
	unwatch := context.AfterFunc(e.serving, cancel)
	end := func() {
		unwatch()
		cancel()
		e.inFlight.remove(a)
	}
	if e.refusing.Load() {
		end()
		return ctx, a, end, refusal.New(refusal.Stopping, refusal.NotRun, "entry is stopping; use another entry")
	}
	return ctx, a, end, nil
}

// health handles GET /v1/health.
func (e *Entry) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	e.writeJSON(w, Health{ID: e.id, Stopping: e.stopping.Load(), Stale: e.stale(), Version: e.version()})
}
