package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
)

const (
	maxListRows = 10000 // returned by one list call
)

// Handler serves m over HTTP with the protocol that Remote uses. In addition,
// POST /faults sets Faults, GET /usage returns Usage and POST /instances replaces
// the list of instances.
func (m *Memory) Handler() http.Handler {
	p := m.Platform()
	router := httprouter.New()
	serveTable(router, p)
	serveObjects(router, p)
	router.GET("/instances", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		list, err := p.Instances(r.Context())
		answer(w, list, err)
	})
	m.serveControls(router)
	return router
}

func serveTable(router *httprouter.Router, p Platform) {
	router.GET("/row", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		row, err := p.Get(r.Context(), r.URL.Query().Get("key"))
		answer(w, row, err)
	})
	router.GET("/rows", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		query := r.URL.Query()
		n, err := strconv.Atoi(query.Get("n"))
		if err != nil || n < 1 || n > maxListRows {
			http.Error(w, "n must be a number from 1 to 10000", http.StatusBadRequest)
			return
		}
		rows, err := p.List(r.Context(), query.Get("prefix"), query.Get("after"), n)
		answer(w, rows, err)
	})
	router.POST("/commit", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var ops []Op
		if decode(w, r, &ops) {
			answer(w, nil, p.Commit(r.Context(), ops))
		}
	})
}

func serveObjects(router *httprouter.Router, p Platform) {
	router.GET("/object", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		data, err := p.GetObject(r.Context(), r.URL.Query().Get("name"))
		answer(w, data, err)
	})
	router.PUT("/object", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var data []byte
		if decode(w, r, &data) {
			answer(w, nil, p.PutObject(r.Context(), r.URL.Query().Get("name"), data))
		}
	})
}

// serveControls serves the calls that only tests and operators of the stand-in
// process use.
func (m *Memory) serveControls(router *httprouter.Router) {
	router.POST("/instances", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var list []Instance
		if decode(w, r, &list) {
			m.SetInstances(list)
		}
	})
	router.POST("/faults", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var f Faults
		if decode(w, r, &f) {
			m.Break(f)
		}
	})
	router.GET("/usage", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		answer(w, m.Usage(), nil)
	})
}

// decode decodes the JSON body of a request into v. If that fails, it responds
// with status 400 and returns false.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxAnswerBytes)).Decode(v); err != nil {
		http.Error(w, "malformed body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// answer responds with v as JSON, or with the status that stands for err.
func answer(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	case errors.Is(err, ErrUnknown):
		// Closes the connection without a response, like a broken link.
		panic(http.ErrAbortHandler)
	case errors.Is(err, ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, ErrLimited):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case errors.Is(err, ErrAbsent):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
