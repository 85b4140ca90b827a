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
	maxEventBytes     = 128 << 10        // size of the largest event that is accepted
	streamIdleTimeout = 25 * time.Second // a stream without an event for this long is resumed on a new connection
)

type (
	// Prompt is a request for the completion of a text.
	Prompt struct {
		Service  string
		Text     string
		Max      int       // largest output in tokens; 0 means the service's limit
		Deadline time.Time // zero means five minutes from now
		// After is the ID of the last token received, to resume a stream that was
		// read before; empty for a new one.
		After string
	}

	// Token is one token of a completion. N is its number, counted from 1.
	Token struct {
		N    int
		Text string
		ID   string // for Prompt.After
	}

	// completion is the data of a token's event.
	completion struct {
		ID      string `json:"id"` // ID of the generation
		Choices []struct {
			Text   string `json:"text"`
			Finish string `json:"finish_reason"`
		} `json:"choices"`
	}

	// completionState is the state of one completion across several connections.
	completionState struct {
		c          *Client
		prompt     Prompt
		id         string // ID of the last event, from which the stream is resumed
		n          int    // number of the last token delivered
		received   int    // number of the last event with one on this connection
		gen        string // ID of the generation that the tokens belong to
		mayHaveRun bool   // an earlier attempt may have run
		done       bool   // the completion has ended
		stopped    bool   // the loop over the tokens was left
		// canceled means that an operator ended the stream.
		canceled bool
		yield    func(Token, error) bool
	}
)

// errMoved is returned for an event of type moved: the entry is stopping, and the
// stream is resumed at another one without a pause.
var errMoved = errors.New("entry has stopped")

// Complete streams the completion of a prompt. The sequence ends after the last
// token or with an error, which comes with the number and ID of the last token
// received. If the loop is left early, the generation is canceled after a few
// seconds unless it is resumed with Prompt.After.
func (c *Client) Complete(ctx context.Context, prompt Prompt) iter.Seq2[Token, error] {
	return func(yield func(Token, error) bool) {
		if prompt.Deadline.IsZero() {
			prompt.Deadline = c.now().Add(defaultTimeout)
		}
		ctx, cancel := context.WithDeadline(ctx, prompt.Deadline)
		defer cancel()
		r := &completionState{c: c, prompt: prompt, id: prompt.After, yield: yield}
		if prompt.After != "" {
			_, n, err := resume.Split(prompt.After)
			if err != nil {
				yield(Token{}, refusal.New(refusal.BadToken, refusal.NotRun, err.Error()))
				return
			}
			r.n = n
		}
		if err := r.run(ctx); err != nil && !r.stopped {
			if fault := refusal.From(err); r.mayHaveRun && fault.Outcome == refusal.NotRun {
				err = refusal.New(fault.Reason, refusal.Unknown, "an earlier attempt may have run: "+fault.Detail)
			}
			yield(Token{N: r.n, ID: r.id}, err)
		}
	}
}

// run reads the stream, and reconnects until it has ended or an error is final.
func (r *completionState) run(ctx context.Context) error {
	for attempt := 0; ; attempt++ {
		before := r.n
		entries, err := r.c.Locate(ctx, r.prompt.Service)
		if err == nil {
			entry := entries[0]
			if err = r.connect(ctx, entry); err == nil || r.done || r.stopped {
				return nil
			}
			r.c.markFailed(entry.Addr, r.prompt.Service)
			r.mayHaveRun = r.mayHaveRun || r.id != "" || refusal.From(err).Outcome != refusal.NotRun
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

// repeatable reports whether the rest of the stream may be requested again. A
// completion is idempotent: it only has to be ensured that tokens of another
// generation never follow those already delivered, and the resume token does that.
// If the generation is lost before the first token, a new one may start.
func (r *completionState) repeatable(err error) bool {
	var fault *refusal.Error
	if !errors.As(err, &fault) {
		return true
	}
	if r.canceled {
		return false
	}
	// refusal.Canceled in this list is not a cancellation that handleEvent received,
	// for which r.canceled is set. It arises when the connection was canceled after
	// streamIdleTimeout without an event, or an entry refused the request with it
	// before the stream began.
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

// connect reads the stream from one entry until it ends or the connection breaks.
func (r *completionState) connect(ctx context.Context, entry Entry) error {
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
	r.received = 0
	watch := time.AfterFunc(streamIdleTimeout, cancel)
	defer watch.Stop()
	for event, err := range sse.Read(res.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return refusal.FromCallError(err, true)
		}
		watch.Reset(streamIdleTimeout)
		if err := r.handleEvent(event); err != nil || r.done || r.stopped {
			return err
		}
	}
	return refusal.FromCallError(io.ErrUnexpectedEOF, true)
}

// handleEvent processes one event of the stream.
func (r *completionState) handleEvent(event sse.Event) error {
	switch event.Type {
	case "open":
		sealed, n, err := resume.Split(event.LastEventID)
		if err != nil {
			return refusal.New(refusal.Garbage, refusal.Unknown, err.Error())
		}
		r.received = n
		// The position is kept: resuming from an earlier one would allow tokens of
		// another generation to follow those already delivered.
		r.id = resume.Join(sealed, r.n)
		return nil
	case "moved":
		return errMoved
	case "error":
		fault := refusal.Parse([]byte(event.Data))
		// The only cancellation that an entry reports to a connected caller is one
		// by an operator.
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
	return r.deliver(event.LastEventID, part.Choices[0].Text)
}

// deliver yields a token if it is the next one. It skips tokens that were already
// delivered on another connection, and fails if one is missing. An event without an
// ID has that of the event before it, so it fails as one that comes twice.
func (r *completionState) deliver(id, text string) error {
	_, n, err := resume.Split(id)
	if err != nil {
		return refusal.New(refusal.Garbage, refusal.Unknown, err.Error())
	}
	if n <= r.received {
		return refusal.New(refusal.Garbage, refusal.Unknown, fmt.Sprintf("token %d follows event %d", n, r.received))
	}
	r.received = n
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
