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
	// Call is a call of a plain service.
	Call struct {
		Service string
		Method  string
		Path    string // starts with "/" and includes the query
		Header  http.Header
		Body    []byte
		// Idempotent calls may run more than once.
		Idempotent bool
		// Key is the idempotency key of a call that is not idempotent. If it is
		// empty the client generates one bound to an entry, which works even while
		// the platform's store is down. A key of the caller's own can be sent
		// again after the caller has lost its state.
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
// outcome NotRun the call has not run and never will, with Unknown it may have.
func (c *Client) Call(ctx context.Context, call Call) (Answer, error) {
	if call.Deadline.IsZero() {
		call.Deadline = c.now().Add(defaultTimeout)
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	a := &callState{c: c, call: call, key: call.Key}
	return a.run(ctx)
}

// callState is the state of one call across attempts at several entries.
type callState struct {
	c              *Client
	call           Call
	key            string
	keyEntry       Entry // the entry to which a generated key is bound
	mayHaveRun     bool  // an attempt with key may have run the call
	refusedByEntry bool  // the last error is a refusal that an entry sent
}

// run makes attempts until one succeeds or must not be repeated.
func (a *callState) run(ctx context.Context) (Answer, error) {
	var last *refusal.Error
	for n := 0; ; n++ {
		answer, err := a.tryEntry(ctx, n)
		if err == nil {
			return answer, nil
		}
		last = refusal.From(err)
		a.recordOutcome(last)
		if ctx.Err() != nil || !a.shouldRetry(last) || !pause(ctx, n, last.RetryAt) {
			return Answer{}, a.finalError(last)
		}
	}
}

// recordOutcome updates mayHaveRun. A refusal that states that the attempt has not
// run does not clear it, because an earlier attempt may have run. KeyBarred does:
// no call with the key has run or ever will.
func (a *callState) recordOutcome(fault *refusal.Error) {
	switch {
	case fault.Outcome == refusal.Unknown:
		a.mayHaveRun = true
	case fault.Reason == refusal.KeyBarred:
		a.mayHaveRun = false
	}
}

// shouldRetry reports whether to make another attempt. If the call may have run,
// the next attempt uses the same key, under which it never runs twice.
func (a *callState) shouldRetry(fault *refusal.Error) bool {
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
	// An unknown outcome that an entry reports is final for the key. If the
	// connection to the entry failed, another attempt can still return the result.
	if fault.Outcome == refusal.Unknown && (a.refusedByEntry || fault.Reason != refusal.Broken && fault.Reason != refusal.Timeout) {
		return false
	}
	if !a.mayHaveRun && a.call.Key == "" {
		a.key = "" // the next attempt may use another entry and a new key
	}
	return true
}

// finalError returns the error for the caller. It has outcome NotRun only if no
// earlier attempt may have run a call that is not idempotent.
func (a *callState) finalError(fault *refusal.Error) *refusal.Error {
	if a.mayHaveRun && !a.call.Idempotent && fault.Outcome == refusal.NotRun {
		return refusal.New(fault.Reason, refusal.Unknown, "an earlier attempt may have run: "+fault.Detail)
	}
	return fault
}

// tryEntry makes attempt n, counted from 0. The first two attempts with a generated
// key go to the entry that it is bound to.
func (a *callState) tryEntry(ctx context.Context, n int) (Answer, error) {
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
		a.key, a.keyEntry = entry.ID+"."+id.String(), entry
	}
	if a.keyEntry.Addr != "" && n < 2 {
		entry = a.keyEntry
	}
	answer, err := a.send(ctx, entry)
	if err != nil {
		a.c.markFailed(entry.Addr, a.call.Service)
	}
	return answer, err
}

// send sends the call to an entry and reads the answer.
func (a *callState) send(ctx context.Context, entry Entry) (Answer, error) {
	header := http.Header{}
	if a.call.Header != nil {
		header = a.call.Header.Clone()
	}
	header.Set("X-Deadline", a.call.Deadline.UTC().Format(time.RFC3339Nano))
	if a.key != "" {
		header.Set("Idempotency-Key", a.key)
	}
	path := "/v1/services/" + a.call.Service + a.call.Path
	a.refusedByEntry = false
	res, sent, err := a.c.send(ctx, entry, a.call.Method, path, header, a.call.Body)
	if err != nil {
		return Answer{}, refusal.FromCallError(err, sent)
	}
	defer res.Body.Close()
	if res.Header.Get(refusal.Header) != "" {
		a.refusedByEntry = true
		return Answer{}, readRefusal(res)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, refusal.FromCallError(fmt.Errorf("read answer: %w", err), true)
	}
	if len(body) > maxAnswerBytes {
		return Answer{}, refusal.New(refusal.Garbage, refusal.Run, "answer is over 16 MiB")
	}
	return Answer{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}
