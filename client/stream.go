package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"iter"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/request/resume"
)

const (
	maxEvent = 128 << 10        // longest event accepted
	silence  = 25 * time.Second // a stream that is silent for this long is read over a new connection
)

type (
	// Prompt asks a model for an answer.
	Prompt struct {
		Service  string
		Text     string
		Max      int       // largest output in tokens; 0 means the service's limit
		Deadline time.Time // zero means five minutes from now
		// After is the ID of the last token that was received, to go on with a
		// stream that was read before.
		After string
	}

	// Token is one token of an answer. N counts from 1.
	Token struct {
		N    int
		Text string
		ID   string // for Prompt.After
	}

	completion struct {
		ID      string `json:"id"` // the generation
		Choices []struct {
			Text   string `json:"text"`
			Finish string `json:"finish_reason"`
		} `json:"choices"`
	}

	// reading is the state of one answer over several connections.
	reading struct {
		c       *Client
		prompt  Prompt
		id      string // ID of the last event
		n       int    // number of the last token
		gen     string // the generation that the tokens are from
		maybe   bool   // an earlier attempt may have run
		done    bool
		stopped bool // the reader wants no more
		// canceled tells that an operator ended the stream.
		canceled bool
		yield    func(Token, error) bool
	}
)

var errMoved = errors.New("entry has stopped")

// Complete streams the answer to a prompt. The sequence ends after the last
// token, or with an error; ending the loop early leaves the answer, which the
// system cancels after a few seconds unless it is resumed.
func (c *Client) Complete(ctx context.Context, prompt Prompt) iter.Seq2[Token, error] {
	return func(yield func(Token, error) bool) {
		if prompt.Deadline.IsZero() {
			prompt.Deadline = c.now().Add(defaultTime)
		}
		ctx, cancel := context.WithDeadline(ctx, prompt.Deadline)
		defer cancel()
		r := &reading{c: c, prompt: prompt, id: prompt.After, yield: yield}
		if prompt.After != "" {
			_, n, err := resume.Split(prompt.After)
			if err != nil {
				yield(Token{}, refusal.New(refusal.BadToken, refusal.NotRun, err.Error()))
				return
			}
			r.n = n
		}
		if err := r.run(ctx); err != nil && !r.stopped {
			if fault := refusal.From(err); r.maybe && fault.Outcome == refusal.NotRun {
				err = refusal.New(fault.Reason, refusal.Unknown, "an earlier attempt may have run: "+fault.Detail)
			}
			yield(Token{N: r.n, ID: r.id}, err)
		}
	}
}

// run reads the answer over as many connections as it takes.
func (r *reading) run(ctx context.Context) error {
	for attempt := 0; ; attempt++ {
		before := r.n
		entries, err := r.c.Locate(ctx, r.prompt.Service)
		if err == nil {
			entry := entries[0]
			if err = r.connect(ctx, entry); err == nil || r.done || r.stopped {
				return nil
			}
			r.c.failed(entry.Addr, r.prompt.Service)
			r.maybe = r.maybe || r.id != "" || refusal.From(err).Outcome != refusal.NotRun
		}
		if ctx.Err() != nil {
			return refusal.New(refusal.Deadline, refusal.Unknown, "deadline passed or canceled: "+err.Error())
		}
		if !r.repeatable(err) {
			return err
		}
		if r.n > before {
			attempt = 0
		}
		if errors.Is(err, errMoved) {
			continue
		}
		if !pause(ctx, attempt, refusal.From(err).RetryAt) {
			return refusal.From(err)
		}
	}
}

// repeatable tells whether another entry may serve the rest. A completion is
// idempotent: what counts is that delivered tokens are never followed by those
// of another generation, and the resume token sees to that.
func (r *reading) repeatable(err error) bool {
	var fault *refusal.Error
	if !errors.As(err, &fault) {
		return true
	}
	if r.canceled {
		return false
	}
	switch fault.Reason {
	case refusal.Dial, refusal.Broken, refusal.Timeout, refusal.Stopping, refusal.Stale, refusal.Overload,
		refusal.NoEndpoint, refusal.RateLimit, refusal.ActiveLimit, refusal.TokenLimit, refusal.Budget, refusal.Canceled:
		return true
	case refusal.GenerationLost:
		if r.n == 0 {
			r.id = ""
			return true
		}
	}
	return false
}

// connect reads from one entry until the answer ends or the connection does.
func (r *reading) connect(ctx context.Context, entry Entry) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, err := json.Marshal(map[string]any{
		"model": r.prompt.Service, "prompt": r.prompt.Text, "max_tokens": r.prompt.Max, "stream": true,
	})
	if err != nil {
		return fmt.Errorf("encode prompt: %w", err)
	}
	header := http.Header{
		"Content-Type": {"application/json"},
		"X-Deadline":   {r.prompt.Deadline.UTC().Format(time.RFC3339Nano)},
	}
	if r.id != "" {
		header.Set("Last-Event-ID", r.id)
	}
	res, sent, err := r.c.send(ctx, entry, http.MethodPost, "/v1/completions", header, body)
	if err != nil {
		return refusal.FromCallError(err, sent)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return readRefusal(res)
	}
	watch := time.AfterFunc(silence, cancel)
	defer watch.Stop()
	for event, err := range sse.Read(res.Body, &sse.ReadConfig{MaxEventSize: maxEvent}) {
		if err != nil {
			return refusal.FromCallError(err, true)
		}
		watch.Reset(silence)
		if err := r.event(event); err != nil || r.done || r.stopped {
			return err
		}
	}
	return refusal.FromCallError(io.ErrUnexpectedEOF, true)
}

// event takes one event.
func (r *reading) event(event sse.Event) error {
	switch event.Type {
	case "open":
		sealed, _, err := resume.Split(event.LastEventID)
		if err != nil {
			return refusal.New(refusal.Garbage, refusal.Unknown, err.Error())
		}
		// A resumption from an earlier position would let another generation follow.
		r.id = resume.Join(sealed, r.n)
		return nil
	case "moved":
		return errMoved
	case "error":
		fault := refusal.Parse([]byte(event.Data))
		// An entry tells a caller that is still there only of an operator's cancel.
		r.canceled = fault.Reason == refusal.Canceled
		return fault
	}
	if event.Data == "[DONE]" {
		r.done = true
		return nil
	}
	var part completion
	if err := json.Unmarshal([]byte(event.Data), &part); err != nil || len(part.Choices) != 1 {
		return refusal.New(refusal.Garbage, refusal.Unknown, "entry sent a malformed event")
	}
	if part.Choices[0].Finish != "" {
		return nil
	}
	if r.n == 0 || r.gen == "" {
		r.gen = part.ID
	}
	if part.ID != r.gen {
		return refusal.New(refusal.Garbage, refusal.Unknown, "tokens of generation "+part.ID+" follow those of "+r.gen)
	}
	return r.token(event.LastEventID, part.Choices[0].Text)
}

// token passes one token on if it is the next one.
func (r *reading) token(id, text string) error {
	_, n, err := resume.Split(id)
	if err != nil {
		return refusal.New(refusal.Garbage, refusal.Unknown, err.Error())
	}
	if n <= r.n {
		return nil
	}
	if n != r.n+1 {
		return refusal.New(refusal.Garbage, refusal.Unknown, fmt.Sprintf("token %d follows token %d", n, r.n))
	}
	r.id, r.n = id, n
	if !r.yield(Token{N: n, Text: text, ID: id}, nil) {
		r.stopped = true
	}
	return nil
}
