package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/julienschmidt/httprouter"

	"github.com/eelgrassdock/eelgrassdock/connection/intake"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/request/resume"
	"github.com/eelgrassdock/eelgrassdock/request/stream"
	"github.com/eelgrassdock/eelgrassdock/version/config"
)

const (
	defaultMax = 65536 // largest output in tokens if the service sets no limit
)

type (
	// CompletionRequest is the body of POST /v1/completions.
	CompletionRequest struct {
		Model  string `json:"model"`
		Prompt string `json:"prompt"`
		Max    int    `json:"max_tokens,omitempty"`
		Stream bool   `json:"stream,omitempty"`
		User   string `json:"user,omitempty"`
	}

	// Completion is the response to POST /v1/completions: the complete text, or
	// one event of a stream.
	Completion struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Model   string   `json:"model"`
		Choices []Choice `json:"choices"`
		Usage   *Usage   `json:"usage,omitempty"`
	}

	// Choice is the text of a Completion.
	Choice struct {
		Index  int    `json:"index"`
		Text   string `json:"text"`
		Finish string `json:"finish_reason,omitempty"`
	}

	// Usage holds the number of tokens in a complete Completion.
	Usage struct {
		Completion int `json:"completion_tokens"`
	}
)

// complete handles POST /v1/completions.
func (e *Entry) complete(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	c, err := e.authenticate(r)
	if err != nil {
		e.refuse(w, err)
		return
	}
	charges := e.newCharges(r, c)
	defer charges.Release()
	req, service, err := e.readCompletion(w, r, &c, charges)
	if err != nil {
		e.refuse(w, err)
		return
	}
	grant, err := e.admit(c, e.estimateTokens(c, req))
	if err != nil {
		e.refuse(w, err)
		return
	}
	defer e.releaseGrant(grant)
	ctx, act, end, err := e.begin(r.Context(), c, "stream", service.ID)
	if err != nil {
		e.refuse(w, err)
		return
	}
	defer end()
	ctx, q := e.completionCandidate(ctx, c, req, act)
	j := &job{e: e, call: c, req: req, service: service, act: act, candidate: q}
	if req.Stream {
		j.serveStream(ctx, w, r.Header.Get("Last-Event-ID"))
		return
	}
	j.serveWhole(ctx, w)
}

// serveStream responds with server-sent events, from the start or after the
// event with the ID last, if it is not empty.
func (j *job) serveStream(ctx context.Context, w http.ResponseWriter, last string) {
	out := newEventWriter(w, j.service.ID)
	j.out = out
	err := j.resumeFrom(last)
	if err == nil {
		from := j.lastToken
		err = j.run(ctx)
		delivered.Add(int64(j.lastToken - from))
	}
	countRequest(j.service.ID, err)
	if j.resumed {
		resumed.Add(1)
	}
	if err != nil {
		j.e.finishStream(w, out, err)
	}
}

// serveWhole responds with the complete text in one JSON document.
func (j *job) serveWhole(ctx context.Context, w http.ResponseWriter) {
	out := &textCollector{}
	j.out = out
	err := j.run(ctx)
	countRequest(j.service.ID, err)
	if err != nil {
		j.e.refuse(w, err)
		return
	}
	delivered.Add(int64(out.n))
	j.e.writeJSON(w, Completion{
		ID: j.generation, Object: "text_completion", Model: j.service.ID,
		Choices: []Choice{{Text: out.text.String(), Finish: "stop"}}, Usage: &Usage{Completion: out.n},
	})
}

// readCompletion decodes and validates the request body, and finds the
// service. It sets the caller from the body if no header named one.
func (e *Entry) readCompletion(w http.ResponseWriter, r *http.Request, c *call, charges *intake.Account) (CompletionRequest, *config.Service, error) {
	var req CompletionRequest
	body, err := e.readBody(w, r, charges)
	if err != nil {
		return req, nil, err
	}
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(&req); err != nil {
		return req, nil, refusal.New(refusal.BadRequest, refusal.NotRun, "body must be a JSON object: "+err.Error())
	}
	if c.caller == "" {
		c.caller = req.User
	}
	if len(c.caller) > maxCallerName {
		return req, nil, refusal.New(refusal.BadRequest, refusal.NotRun, "user is longer than 128 bytes")
	}
	service, err := e.service(*c, req.Model, config.KindEngine)
	if err != nil {
		return req, nil, err
	}
	limit := service.Max
	if limit == 0 {
		limit = defaultMax
	}
	if req.Max < 0 || req.Max > limit {
		return req, nil, refusal.New(refusal.BadRequest, refusal.NotRun,
			fmt.Sprintf("max_tokens must be from 0 to %d, is %d", limit, req.Max))
	}
	if req.Prompt == "" {
		return req, nil, refusal.New(refusal.BadRequest, refusal.NotRun, "prompt must not be empty")
	}
	if req.Max == 0 {
		req.Max = limit
	}
	return req, service, nil
}

// finishStream sends the reason for which a stream ended early: as an HTTP
// status if nothing was sent yet, otherwise as an event.
func (e *Entry) finishStream(w http.ResponseWriter, out *eventWriter, err error) {
	if !out.begun {
		e.refuse(w, err)
		return
	}
	fault := refusal.From(err)
	refusal.Count(fault.Reason)
	event := "error"
	if fault.Reason == refusal.Stopping {
		event = "moved"
	}
	out.event(event, fault.Problem())
}

// cancelStream handles DELETE /v1/completions/TOKEN: it cancels the generation
// of a resume token. An event ID is accepted in place of the token.
func (e *Entry) cancelStream(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	c, err := e.authenticate(r)
	if err != nil {
		e.refuse(w, err)
		return
	}
	token, err := e.openToken(c, strings.TrimSuffix(p.ByName("token"), "/"))
	if err != nil {
		e.refuse(w, err)
		return
	}
	endpoint := c.index.Endpoint(token.Endpoint)
	if endpoint == nil {
		e.refuse(w, refusal.New(refusal.GenerationLost, refusal.Unknown, "endpoint is no longer configured"))
		return
	}
	if err := e.engine(endpoint).Cancel(r.Context(), token.Generation); err != nil {
		e.refuse(w, refusal.FromCallError(err, true))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// openToken verifies a resume token, or an event ID that contains one, for the
// account and caller of c.
func (e *Entry) openToken(c call, id string) (resume.Token, error) {
	sealed := id
	if s, _, err := resume.Split(id); err == nil {
		sealed = s
	}
	token, err := resume.Sealer{Secrets: c.index.Document.Secrets}.Open(sealed, c.account.ID, c.caller, c.arrived)
	if err != nil {
		return token, refusal.New(refusal.BadToken, refusal.NotRun, err.Error())
	}
	return token, nil
}

// textCollector collects the text of a response that is not streamed.
type textCollector struct {
	text strings.Builder
	n    int
}

func (o *textCollector) open(string, string) error { return nil }

func (o *textCollector) token(f stream.Frame, _ bool) error {
	o.text.WriteString(f.Text)
	o.n++
	return nil
}

func (o *textCollector) end(int) error { return nil }

func (o *textCollector) delivered() bool { return false }

func (o *textCollector) reset() {
	o.text.Reset()
	o.n = 0
}

func (o *textCollector) continueAfter(int) {}
