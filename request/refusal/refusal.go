// Package refusal keeps apart what is known of a request that gave no answer.
//
// An outcome is one of three: NotRun (nothing was sent, or the endpoint said
// that it rejected the request before executing it), Run (the result is known)
// and Unknown (everything else, including any timeout after a connection to
// the endpoint was obtained). Only a NotRun request may be repeated when it is
// not idempotent. Each refusal carries a typed Reason; every reason has a
// counter in the expvar map "refusals", and every repeated attempt has one in
// the expvar map "retries".
package refusal

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// Outcome says what is known of a request's execution.
	Outcome int

	// Reason is the cause of a refusal or of a repeated attempt.
	Reason string

	// Error is a refusal. It is sent to callers as application/problem+json.
	Error struct {
		Reason  Reason
		Outcome Outcome
		// Detail is one sentence for people.
		Detail string
		// RetryAt is when to try again; zero means that trying again is useless.
		RetryAt time.Time
	}

	problem struct {
		Type   string `json:"type"`
		Title  string `json:"title"`
		Status int    `json:"status"`
		Detail string `json:"detail,omitempty"`
		Ran    string `json:"ran"`
		Retry  string `json:"retry,omitempty"`
	}
)

// Header marks an answer as a refusal of an entry, so that the answer of a
// plain service in the same format is never mistaken for one.
const Header = "X-Refusal"

// Outcomes.
const (
	Unknown Outcome = iota // the request may have run
	NotRun                 // the request has not run and will not
	Run                    // the request ran and its result is known
)

// Reasons.
const (
	BadRequest     Reason = "bad_request"     // malformed or oversized body, bad header
	TooLarge       Reason = "too_large"       // body over the configured limit
	LongHeader     Reason = "long_header"     // header over the configured limit
	BadKey         Reason = "bad_key"         // account key missing or wrong
	BadToken       Reason = "bad_token"       // resume token forged, foreign or expired
	Forbidden      Reason = "forbidden"       // account may not call the service
	NoService      Reason = "no_service"      // service or route does not exist
	NoKey          Reason = "no_key"          // non-idempotent call without Idempotency-Key
	KeyExpired     Reason = "key_expired"     // Idempotency-Key older than is remembered
	KeyBarred      Reason = "key_barred"      // key was barred before it could run
	KeyReused      Reason = "key_reused"      // key was used with a different request
	KeyTaken       Reason = "key_taken"       // claimed elsewhere, result not known
	RateLimit      Reason = "rate_limit"      // account rate
	ActiveLimit    Reason = "active_limit"    // account concurrency
	TokenLimit     Reason = "token_limit"     // account tokens in flight
	Deadline       Reason = "deadline"        // deadline passed before dispatch
	Overload       Reason = "overload"        // queue full
	NoEndpoint     Reason = "no_endpoint"     // no endpoint can be used
	Leaving        Reason = "leaving"         // endpoint is leaving
	Rejected       Reason = "rejected"        // endpoint rejected before executing
	Dial           Reason = "dial"            // connection to the endpoint failed
	Broken         Reason = "broken"          // connection ended before the answer
	Timeout        Reason = "timeout"         // no answer in time
	Garbage        Reason = "garbage"         // endpoint broke its protocol
	GenerationLost Reason = "generation_lost" // generation gone after tokens were delivered
	Budget         Reason = "budget"          // retry budget exhausted
	Store          Reason = "store"           // platform store unavailable
	Stale          Reason = "stale"           // configuration too old for a strict service
	Stopping       Reason = "stopping"        // entry is stopping
	Canceled       Reason = "canceled"        // the caller left
	Internal       Reason = "internal"        // a fault of the entry itself
)

var (
	// All lists every reason, for docs and counters.
	All = []Reason{
		BadRequest, TooLarge, LongHeader, BadKey, BadToken, Forbidden, NoService, NoKey, KeyExpired, KeyBarred, KeyReused, KeyTaken,
		RateLimit, ActiveLimit, TokenLimit, Deadline, Overload, NoEndpoint, Leaving, Rejected, Dial, Broken,
		Timeout, Garbage, GenerationLost, Budget, Store, Stale, Stopping, Canceled, Internal,
	}

	refusals = newCounters("refusals")
	retries  = newCounters("retries")

	statuses = map[Reason]int{
		TooLarge:   http.StatusRequestEntityTooLarge,
		LongHeader: http.StatusRequestHeaderFieldsTooLarge,
		BadRequest: http.StatusBadRequest, NoKey: http.StatusBadRequest, BadKey: http.StatusUnauthorized,
		BadToken: http.StatusForbidden, Forbidden: http.StatusForbidden, NoService: http.StatusNotFound,
		KeyExpired: http.StatusConflict, KeyBarred: http.StatusConflict, KeyReused: http.StatusUnprocessableEntity,
		KeyTaken: http.StatusConflict, RateLimit: http.StatusTooManyRequests, ActiveLimit: http.StatusTooManyRequests,
		TokenLimit: http.StatusTooManyRequests, Deadline: http.StatusGatewayTimeout, Timeout: http.StatusGatewayTimeout,
		Garbage: http.StatusBadGateway, Broken: http.StatusBadGateway, GenerationLost: http.StatusGone,
		Internal: http.StatusInternalServerError,
	}
)

func newCounters(name string) *expvar.Map {
	m := expvar.NewMap(name)
	for _, reason := range All {
		m.Add(string(reason), 0)
	}
	return m
}

// String gives the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"unknown", "not run", "run"}[o]
}

// Ran gives the value of the "ran" member of a problem: "no", "yes" or "maybe".
func (o Outcome) Ran() string {
	return [...]string{"maybe", "no", "yes"}[o]
}

// New makes a refusal.
func New(reason Reason, outcome Outcome, detail string) *Error {
	return &Error{Reason: reason, Outcome: outcome, Detail: detail}
}

// Error gives reason, outcome and detail in one line.
func (e *Error) Error() string {
	return string(e.Reason) + " (" + e.Outcome.String() + "): " + e.Detail
}

// Status gives the HTTP status code for the refusal.
func (e *Error) Status() int {
	if status, ok := statuses[e.Reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// From finds the refusal in err. An error of another kind becomes an Internal
// refusal with an unknown outcome, because nothing is known of the request.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, Unknown, err.Error())
}

// Failed makes the refusal for a call that failed with err. Sent tells whether
// a connection had been obtained: from then on the endpoint may have read the
// request, and only before that it has certainly not run.
func Failed(err error, sent bool) *Error {
	switch {
	case !sent && errors.Is(err, context.Canceled):
		return New(Canceled, NotRun, err.Error())
	case !sent:
		return New(Dial, NotRun, err.Error())
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
		return New(Timeout, Unknown, err.Error())
	case errors.Is(err, context.Canceled):
		return New(Canceled, Unknown, err.Error())
	default:
		return New(Broken, Unknown, err.Error())
	}
}

// Count counts a refusal that is given to a caller.
func Count(reason Reason) { refusals.Add(string(reason), 1) }

// CountRetry counts an attempt that is repeated for the reason.
func CountRetry(reason Reason) { retries.Add(string(reason), 1) }

// Problem encodes the refusal as application/problem+json (RFC 9457).
func (e *Error) Problem() []byte {
	p := problem{
		Type: "urn:eelgrassdock:" + string(e.Reason), Title: string(e.Reason),
		Status: e.Status(), Detail: e.Detail, Ran: e.Outcome.Ran(),
	}
	if !e.RetryAt.IsZero() {
		p.Retry = e.RetryAt.UTC().Format(time.RFC3339Nano)
	}
	data, err := json.Marshal(p)
	if err != nil {
		return []byte(`{"type":"urn:eelgrassdock:internal","ran":"maybe"}`)
	}
	return data
}

// Write sends the refusal to a caller and counts it.
func Write(w http.ResponseWriter, err error, now time.Time) {
	e := From(err)
	Count(e.Reason)
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(Header, string(e.Reason))
	if !e.RetryAt.IsZero() {
		seconds := int(e.RetryAt.Sub(now)/time.Second) + 1
		w.Header().Set("Retry-After", strconv.Itoa(max(seconds, 1)))
	}
	w.WriteHeader(e.Status())
	_, _ = w.Write(e.Problem())
}

// Parse decodes a problem that Write sent. Anything else is an Internal refusal
// with an unknown outcome.
func Parse(data []byte) *Error {
	var p problem
	if err := json.Unmarshal(data, &p); err != nil || p.Title == "" {
		return New(Internal, Unknown, "answer is not a problem document")
	}
	e := &Error{Reason: Reason(p.Title), Detail: p.Detail}
	switch p.Ran {
	case NotRun.Ran():
		e.Outcome = NotRun
	case Run.Ran():
		e.Outcome = Run
	}
	if at, err := time.Parse(time.RFC3339Nano, p.Retry); err == nil {
		e.RetryAt = at
	}
	return e
}

// Doubt takes "not run" out of a refusal if an earlier attempt may have run.
func Doubt(err error, maybe bool) error {
	fault := From(err)
	if !maybe || fault.Outcome != NotRun {
		return err
	}
	doubtful := *fault
	doubtful.Outcome = Unknown
	return &doubtful
}
