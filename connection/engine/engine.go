// Package engine is the client of the engine protocol: HTTP with server-sent
// events.
//
// An engine runs generations whose IDs the entry chooses. A generation outlives
// the connection that started it: until some time after its end, Resume can read
// it from any token on. Every frame carries the engine's boot, the ID of the
// engine process, so that a restarted engine is not mistaken for the one before.
// An engine that rejects a request before executing it sends the header
// X-Not-Run: true; nothing else it sends proves that a request has not run. See
// ProvesNotRun.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/internal/statuscode"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/request/stream"
)

const (
	// NotRunHeader on an answer states that the request was not executed.
	NotRunHeader = "X-Not-Run"
	// BootHeader names the engine process that answers.
	BootHeader = "X-Boot"

	maxRuns        = 1 << 20          // generations in a report
	maxTokens      = 1 << 40          // tokens in a report
	maxStep        = 10 * time.Second // time between tokens in a report
	maxReportBytes = 1 << 20          // longest report accepted from an engine
)

// noUserAgent keeps the User-Agent header out of requests, most of which are small
// polls.
var noUserAgent = []string{""}

type (
	// Request is the body of a request that starts a generation. Max is the limit
	// of output tokens.
	Request struct {
		Gen    string `json:"gen"`
		Prompt string `json:"prompt"`
		Max    int    `json:"max"`
		Rank   int    `json:"rank,omitempty"`
		Model  string `json:"model,omitempty"`
	}

	// Report is the load of an engine, as published by it with some delay.
	Report struct {
		Boot      string   `json:"boot"`
		At        int64    `json:"at"` // Unix time in ms at which the report was made
		Running   int      `json:"running"`
		Waiting   int      `json:"waiting"`
		Used      int64    `json:"used"`  // memory in use, in tokens
		Total     int64    `json:"total"` // size of the memory, in tokens
		Preempted int64    `json:"preempted"`
		Step      int64    `json:"step"` // recent time between tokens in µs
		Leaving   bool     `json:"leaving,omitempty"`
		Models    []string `json:"models,omitempty"`
		Role      string   `json:"role,omitempty"`
		Fence     int64    `json:"fence,omitempty"`
	}

	// Order is the complete desired state of an engine.
	Order struct {
		Fence  int64    `json:"fence"`
		Models []string `json:"models"`
		Role   string   `json:"role,omitempty"`
		Drain  bool     `json:"drain,omitempty"`
	}

	// Event is one change of an engine's prefix cache. Sequence numbers may
	// have gaps.
	Event struct {
		Seq    int64  `json:"seq"`
		Prefix uint64 `json:"prefix"` // hash of the prefix
		Gone   bool   `json:"gone,omitempty"`
	}

	// Conn is a client of one engine. Addr is its IP address and port; HTTP must
	// be set; a Timeout of it would also end streams. Generate and Resume close
	// their connections, but Load, Events and Order keep theirs, so the requests of
	// the two groups should have different clients. AnswerTimeout limits how
	// long Generate and Resume wait for the header of the engine's answer; zero
	// means until the context ends.
	Conn struct {
		Addr          string
		HTTP          *http.Client
		AnswerTimeout time.Duration
	}

	// cancelBody is the body of an answer. Closing it also cancels the request.
	cancelBody struct {
		io.ReadCloser
		cancel context.CancelFunc
	}
)

// errAnswerTimeout is the cause of cancellation of a request that the engine did
// not answer within Conn.AnswerTimeout.
var errAnswerTimeout = fmt.Errorf("engine did not answer in time: %w", context.DeadlineExceeded)

// Close cancels the request and closes the body.
func (b cancelBody) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

// ProvesNotRun reports whether an answer with the header h proves that its request
// was not executed. HTTP matches answers to requests by their order alone, so an
// earlier answer that is sent once more is taken for the answer to the next request on
// the connection. The proof therefore requires that the connection has carried no other
// request, as told by httptrace.GotConnInfo.
func ProvesNotRun(h http.Header, conn httptrace.GotConnInfo) bool {
	return h.Get(NotRunHeader) == "true" && !conn.Reused
}

// Generate starts a generation and returns a reader of its frames. An error is a
// *refusal.Error, with outcome NotRun only if no connection was obtained or
// ProvesNotRun holds. The end of ctx ends the stream but not the generation.
func (c *Conn) Generate(ctx context.Context, req Request) (*Reader, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, refusal.New(refusal.Internal, refusal.NotRun, err.Error())
	}
	return c.open(ctx, http.MethodPost, "/generate", body, stream.Check{Gen: req.Gen})
}

// Resume returns a reader of a generation's frames after token n. An error is a
// *refusal.Error; its reason is GenerationLost if the engine no longer has the
// generation.
func (c *Conn) Resume(ctx context.Context, gen, boot string, n int) (*Reader, error) {
	path := "/generate/" + url.PathEscape(gen) + "?after=" + strconv.Itoa(n)
	return c.open(ctx, http.MethodGet, path, nil, stream.Check{Gen: gen, Boot: boot, Last: n})
}

// Cancel ends a generation. It is no error if the engine no longer has it.
func (c *Conn) Cancel(ctx context.Context, gen string) error {
	res, err := c.do(ctx, http.MethodDelete, "/generate/"+url.PathEscape(gen), nil, true)
	if err != nil {
		return fmt.Errorf("cancel generation: %w", err)
	}
	return res.Body.Close()
}

// CancelIdle ends a generation if no connection reads it. Only the engine can tell:
// a caller that has disconnected from this entry may be reading the generation
// through another one.
func (c *Conn) CancelIdle(ctx context.Context, gen string) error {
	res, err := c.do(ctx, http.MethodDelete, "/generate/"+url.PathEscape(gen)+"?idle=true", nil, true)
	if err != nil {
		return fmt.Errorf("cancel idle generation: %w", err)
	}
	return res.Body.Close()
}

// Load reads the engine's latest report.
func (c *Conn) Load(ctx context.Context) (Report, error) {
	var report Report
	if err := c.readJSON(ctx, http.MethodGet, "/load", nil, &report); err != nil {
		return Report{}, fmt.Errorf("read load: %w", err)
	}
	if err := report.check(); err != nil {
		return Report{}, fmt.Errorf("read load: %w", err)
	}
	return report, nil
}

// check returns an error for the first number that no engine reports. Sums and squares of
// the others do not overflow, and are exact enough for the fit of the step time.
func (r *Report) check() error {
	for _, f := range []struct {
		name    string
		n, most int64
	}{
		{"running", int64(r.Running), maxRuns},
		{"waiting", int64(r.Waiting), maxRuns},
		{"used", r.Used, maxTokens},
		{"total", r.Total, maxTokens},
		{"preempted", r.Preempted, maxTokens},
		{"step", r.Step, maxStep.Microseconds()},
	} {
		if f.n < 0 || f.n > f.most {
			return fmt.Errorf("%s is %d, want a whole number from 0 to %d", f.name, f.n, f.most)
		}
	}
	return nil
}

// Events reads the changes of the prefix cache after sequence number seq.
func (c *Conn) Events(ctx context.Context, seq int64) ([]Event, error) {
	var events []Event
	if err := c.readJSON(ctx, http.MethodGet, "/cache?after="+strconv.FormatInt(seq, 10), nil, &events); err != nil {
		return nil, fmt.Errorf("read cache events: %w", err)
	}
	return events, nil
}

// Order sets the engine's desired state.
func (c *Conn) Order(ctx context.Context, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	if err := c.readJSON(ctx, http.MethodPost, "/order", body, nil); err != nil {
		return fmt.Errorf("send order: %w", err)
	}
	return nil
}

// readJSON sends a request and decodes the answer into v unless it is nil. A status
// other than 200 is an error.
func (c *Conn) readJSON(ctx context.Context, method, path string, body []byte, v any) error {
	res, err := c.do(ctx, method, path, body, false)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxReportBytes))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", res.StatusCode, bytes.TrimSpace(data))
	}
	if v == nil {
		return nil
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

// do sends a request at most once and returns the answer. If last is true, the
// connection is closed after it.
func (c *Conn) do(ctx context.Context, method, path string, body []byte, last bool) (*http.Response, error) {
	var content io.Reader
	if body != nil {
		content = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Addr+path, content)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	// Without GetBody net/http cannot send the body a second time.
	req.GetBody = nil
	req.Close = last
	req.Header["User-Agent"] = noUserAgent
	res, err := c.HTTP.Do(req)
	if err != nil {
		return nil, err
	}
	if err := statuscode.CheckFinal(res.StatusCode); err != nil {
		res.Body.Close()
		return nil, fmt.Errorf("read answer of %s: %w", c.Addr, err)
	}
	return res, nil
}

// open sends a request whose answer is a stream of frames.
func (c *Conn) open(ctx context.Context, method, path string, body []byte, check stream.Check) (*Reader, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	if c.AnswerTimeout > 0 {
		defer time.AfterFunc(c.AnswerTimeout, func() { cancel(errAnswerTimeout) }).Stop()
	}
	var conn httptrace.GotConnInfo
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info },
	})
	res, err := c.do(ctx, method, path, body, true)
	if err != nil {
		if errors.Is(context.Cause(ctx), errAnswerTimeout) {
			err = errAnswerTimeout
		}
		cancel(nil)
		if errors.Is(err, statuscode.ErrInvalid) {
			return nil, refusal.New(refusal.Garbage, refusal.Unknown, err.Error())
		}
		return nil, refusal.FromCallError(err, conn.Conn != nil)
	}
	answer := cancelBody{ReadCloser: res.Body, cancel: func() { cancel(nil) }}
	if res.StatusCode != http.StatusOK {
		defer func() { _ = answer.Close() }()
		return nil, statusError(res, conn)
	}
	if check.Boot == "" {
		check.Boot = res.Header.Get(BootHeader)
	}
	return newReader(answer, check), nil
}

// statusError converts an answer with a status other than 200, received on conn, to a
// refusal.
func statusError(res *http.Response, conn httptrace.GotConnInfo) error {
	text, _ := io.ReadAll(io.LimitReader(res.Body, 512))
	detail := fmt.Sprintf("status %d: %s", res.StatusCode, bytes.TrimSpace(text))
	if res.StatusCode == http.StatusNotFound || res.StatusCode == http.StatusGone {
		return refusal.New(refusal.GenerationLost, refusal.Unknown, detail)
	}
	if ProvesNotRun(res.Header, conn) {
		return refusal.New(refusal.Rejected, refusal.NotRun, detail)
	}
	return refusal.New(refusal.Garbage, refusal.Unknown, detail)
}
