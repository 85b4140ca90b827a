package client

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

type (
	// Call is one call of a plain service.
	Call struct {
		Service string
		Method  string
		Path    string // with the query, from "/"
		Header  http.Header
		Body    []byte
		// Idempotent calls may run more than once.
		Idempotent bool
		// Key is the caller's own key for a call that is not idempotent. If it
		// is empty the client makes one that works while the platform's store is
		// down; an own key survives the loss of the caller's memory.
		Key      string
		Deadline time.Time // zero means five minutes from now
	}

	// Answer is the result of a call that ran.
	Answer struct {
		Status int
		Header http.Header
		Body   []byte
	}
)

// Call makes a call of a plain service. An error is a *refusal.Error: with
// outcome NotRun the call has not run and will not, with Unknown it may have.
func (c *Client) Call(ctx context.Context, call Call) (Answer, error) {
	if call.Deadline.IsZero() {
		call.Deadline = c.now().Add(defaultTime)
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	a := &attempt{c: c, call: call, key: call.Key}
	return a.run(ctx)
}

// attempt is the state of one call over several entries.
type attempt struct {
	c     *Client
	call  Call
	key   string
	entry Entry // the entry that the key names
	maybe bool  // the call may have run under key
	told  bool  // the last failure was an entry's refusal
}

func (a *attempt) run(ctx context.Context) (Answer, error) {
	var last *refusal.Error
	for n := 0; ; n++ {
		answer, err := a.once(ctx, n)
		if err == nil {
			return answer, nil
		}
		last = refusal.From(err)
		a.note(last)
		if ctx.Err() != nil || !a.again(last) || !pause(ctx, n, last.RetryAt) {
			return Answer{}, a.final(last)
		}
	}
}

// note keeps what is known of the call. A refusal that proves that the call
// has not run settles an earlier doubt only if it is about the same key.
func (a *attempt) note(fault *refusal.Error) {
	switch {
	case fault.Outcome == refusal.Unknown:
		a.maybe = true
	case fault.Reason == refusal.KeyBarred:
		a.maybe = false
	}
}

// again tells whether to ask once more. A call that may have run is asked for
// with the same key, which never runs it twice.
func (a *attempt) again(fault *refusal.Error) bool {
	switch fault.Reason {
	case refusal.Dial, refusal.Broken, refusal.Timeout, refusal.Stopping, refusal.Stale, refusal.Overload,
		refusal.NoEndpoint, refusal.RateLimit, refusal.ActiveLimit, refusal.TokenLimit, refusal.Budget,
		refusal.KeyBarred, refusal.Store, refusal.Rejected:
	default:
		return false
	}
	if a.call.Idempotent || fault.Reason == refusal.Store {
		return true
	}
	// What an entry reports of an endpoint is final for the key. Only a failed
	// connection to an entry is worth another question.
	if fault.Outcome == refusal.Unknown && (a.told || fault.Reason != refusal.Broken && fault.Reason != refusal.Timeout) {
		return false
	}
	if !a.maybe && a.call.Key == "" {
		a.key = "" // the next attempt may use another entry under a new key
	}
	return true
}

// final makes the error for the caller: "not run" only if nothing speaks
// against it.
func (a *attempt) final(fault *refusal.Error) *refusal.Error {
	if a.maybe && !a.call.Idempotent && fault.Outcome == refusal.NotRun {
		return refusal.New(fault.Reason, refusal.Unknown, "an earlier attempt may have run: "+fault.Detail)
	}
	return fault
}

func (a *attempt) once(ctx context.Context, n int) (Answer, error) {
	entries, err := a.c.Locate(ctx, a.call.Service)
	if err != nil {
		return Answer{}, err
	}
	entry := entries[n%min(len(entries), 3)]
	if !a.call.Idempotent && a.key == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return Answer{}, refusal.New(refusal.Internal, refusal.NotRun, err.Error())
		}
		a.key, a.entry = entry.ID+"."+id.String(), entry
	}
	if a.entry.Addr != "" && n < 2 {
		entry = a.entry
	}
	answer, err := a.send(ctx, entry)
	if err != nil {
		a.c.failed(entry.Addr, a.call.Service)
	}
	return answer, err
}

func (a *attempt) send(ctx context.Context, entry Entry) (Answer, error) {
	header := http.Header{}
	if a.call.Header != nil {
		header = a.call.Header.Clone()
	}
	header.Set("X-Deadline", a.call.Deadline.UTC().Format(time.RFC3339Nano))
	if a.key != "" {
		header.Set("Idempotency-Key", a.key)
	}
	path := "/v1/services/" + a.call.Service + a.call.Path
	a.told = false
	res, sent, err := a.c.send(ctx, entry, a.call.Method, path, header, a.call.Body)
	if err != nil {
		return Answer{}, refusal.FromCallError(err, sent)
	}
	defer res.Body.Close()
	if res.Header.Get(refusal.Header) != "" {
		a.told = true
		return Answer{}, readRefusal(res)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return Answer{}, refusal.FromCallError(fmt.Errorf("read answer: %w", err), true)
	}
	return Answer{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}
