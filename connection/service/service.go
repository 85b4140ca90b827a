// Package service makes calls to plain services and reports the outcome of each.
//
// A call is sent at most once: the body cannot be rewound, so net/http never
// repeats it, and redirects are not followed. An answer that was read in full has
// outcome Run, even if its status is an error or a redirect. A failure before a
// connection was obtained, or an answer with the header X-Not-Run: true for which
// engine.ProvesNotRun holds, has outcome NotRun. Everything else has outcome Unknown,
// also an answer with a status outside 200 to 599.
package service

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
	"github.com/eelgrassdock/eelgrassdock/internal/direct"
	"github.com/eelgrassdock/eelgrassdock/internal/statuscode"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/request/uri"
)

const (
	// KeyHeader carries the request's idempotency key to the service. It is not
	// Idempotency-Key, because net/http repeats requests with that header.
	KeyHeader = "X-Request-Key"
	// DeadlineHeader carries the absolute deadline in the format of RFC 3339.
	DeadlineHeader = "X-Deadline"

	maxAnswerBytes = 8 << 20 // largest answer passed on to a caller
)

type (
	// Call is a call of a plain service. Deadline must be set: the zero time counts
	// as passed.
	Call struct {
		Method   string
		Path     string // with the query
		Header   http.Header
		Body     []byte
		Key      string
		Deadline time.Time
	}

	// Answer is the result of a call that ran.
	Answer struct {
		Status int
		Header http.Header
		Body   []byte
	}

	// Health is the state that a replica reports. Boot differs after each start of its
	// process; it is empty if the replica does not tell.
	Health struct {
		Leaving bool   `json:"leaving"`
		Boot    string `json:"boot,omitempty"`
	}

	// Conn is a client of one replica. Addr is its IP address and port; HTTP is
	// http.DefaultClient if nil. Do closes its connections, but Health keeps them,
	// so the two should have different clients.
	Conn struct {
		Addr string
		HTTP *http.Client
		// WithDeadline limits a call; context.WithDeadline if nil.
		WithDeadline func(ctx context.Context, at time.Time) (context.Context, context.CancelFunc)
	}

	// oneShotBody hides the type of a body, so that the transport cannot rewind it.
	oneShotBody struct{ io.Reader }
)

// Do sends the call once and reads the answer. An error is a *refusal.Error.
func (c *Conn) Do(ctx context.Context, call Call) (Answer, error) {
	limit := c.WithDeadline
	if limit == nil {
		limit = context.WithDeadline
	}
	ctx, cancel := limit(ctx, call.Deadline)
	defer cancel()
	var conn httptrace.GotConnInfo
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info },
	})
	target, err := uri.New(c.Addr, call.Path)
	if err != nil {
		return Answer{}, refusal.New(refusal.BadRequest, refusal.NotRun, err.Error())
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+c.Addr, oneShotBody{bytes.NewReader(call.Body)})
	if err != nil {
		return Answer{}, refusal.New(refusal.BadRequest, refusal.NotRun, err.Error())
	}
	req.URL = target
	req.ContentLength = int64(len(call.Body))
	req.Close = true
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	req.Header.Set(KeyHeader, call.Key)
	req.Header.Set(DeadlineHeader, call.Deadline.UTC().Format(time.RFC3339Nano))
	res, err := direct.Client(c.HTTP).Do(req)
	if err != nil {
		return Answer{}, refusal.FromCallError(err, conn.Conn != nil)
	}
	defer res.Body.Close()
	if err := statuscode.CheckFinal(res.StatusCode); err != nil {
		return Answer{}, refusal.New(refusal.Garbage, refusal.Unknown, err.Error())
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if res.Header.Get(engine.NotRunHeader) == "true" {
		detail := fmt.Sprintf("status %d: %.200s", res.StatusCode, body)
		if !engine.ProvesNotRun(res.Header, conn) {
			return Answer{}, refusal.New(refusal.Garbage, refusal.Unknown, "rejection without proof: "+detail)
		}
		return Answer{}, refusal.New(refusal.Rejected, refusal.NotRun, detail)
	}
	if err != nil {
		return Answer{}, refusal.FromCallError(err, true)
	}
	if len(body) > maxAnswerBytes {
		return Answer{}, refusal.New(refusal.Garbage, refusal.Run, "answer is over 8 MiB")
	}
	return Answer{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}

// Health reads the replica's state.
func (c *Conn) Health(ctx context.Context) (Health, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Addr+"/health", nil)
	if err != nil {
		return Health{}, fmt.Errorf("make health request: %w", err)
	}
	res, err := direct.Client(c.HTTP).Do(req)
	if err != nil {
		return Health{}, fmt.Errorf("read health: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return Health{}, fmt.Errorf("read health: status %d", res.StatusCode)
	}
	var h Health
	if err := json.NewDecoder(io.LimitReader(res.Body, 1<<16)).Decode(&h); err != nil {
		return Health{}, fmt.Errorf("decode health: %w", err)
	}
	return h, nil
}
