// Package refusal defines the errors that are returned to callers, and how
// they are sent over HTTP.
//
// Each error, called a refusal, states whether the request was executed. The
// Outcome is NotRun (nothing was sent, or the endpoint reported that it
// rejected the request before executing it), Run (the result is known) or
// Unknown (everything else, including any timeout after a connection to the
// endpoint was obtained). A request that is not idempotent may be repeated
// only if its outcome is NotRun. Each refusal also carries a typed Reason.
// Refusals are counted by reason in the expvar map "refusals", and repeated
// attempts in the expvar map "retries".
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
	// Outcome states whether a request was executed, as far as is known.
	Outcome int

	// Reason is the cause of a refusal or of a repeated attempt.
	Reason string

	// Error is a refusal. It is sent to callers as application/problem+json.
	Error struct {
		Reason  Reason
		Outcome Outcome
		// Detail is one sentence that describes the error to a person.
		Detail string
		// RetryAt is the earliest time for a retry, sent as Retry-After; zero
		// means that no time is stated. Whether a retry is useful depends on
		// Reason and Outcome.
		RetryAt time.Time
	}

	// problem is the JSON form of an Error, a problem document of RFC 9457.
	problem struct {
		Type   string `json:"type"`
		Title  string `json:"title"`
		Status int    `json:"status"`
		Detail string `json:"detail,omitempty"`
		Ran    string `json:"ran"`
		Retry  string `json:"retry,omitempty"`
	}
)

// Header is the response header that carries the reason of a refusal. It
// distinguishes a refusal of an entry from the response of a plain service
// that uses the same format.
const Header = "X-Refusal"

// The possible outcomes.
const (
	Unknown Outcome = iota // the request may have run
	NotRun                 // the request has not run and will not
	Run                    // the request ran and its result is known
)

// The possible reasons.
const (
	BadRequest     Reason = "bad_request"     // malformed body or header, or a body over the fixed limit of an entry
	TooLarge       Reason = "too_large"       // body over a limit of the gateway, fixed or in the routing table
	LongHeader     Reason = "long_header"     // header over the limit in the routing table
	BadKey         Reason = "bad_key"         // account key missing or wrong
	BadToken       Reason = "bad_token"       // resume token forged, foreign or expired
	Forbidden      Reason = "forbidden"       // account may not call the service
	NoService      Reason = "no_service"      // service or route does not exist
	NoKey          Reason = "no_key"          // non-idempotent call without Idempotency-Key
	KeyExpired     Reason = "key_expired"     // Idempotency-Key is older than the retention of keys
	KeyBarred      Reason = "key_barred"      // another entry queried the key before its request ran, so it will never run
	KeyReused      Reason = "key_reused"      // key was used with a different request
	KeyTaken       Reason = "key_taken"       // key is claimed by another call, result not available
	RateLimit      Reason = "rate_limit"      // account rate
	ActiveLimit    Reason = "active_limit"    // account concurrency
	TokenLimit     Reason = "token_limit"     // account tokens in flight
	Deadline       Reason = "deadline"        // deadline passed before dispatch
	Overload       Reason = "overload"        // queue full
	NoEndpoint     Reason = "no_endpoint"     // no endpoint is usable
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
	Quarantined    Reason = "quarantined"     // a part of the prompt has crashed engines
	EndpointLimit  Reason = "endpoint_limit"  // every usable endpoint has named a limit or asked for a pause, and no request to one is due in time
	Region         Reason = "region"          // the service has endpoints, but none in the regions that the request may use
	Memory         Reason = "memory"          // no memory for the request, or for its body
	Canceled       Reason = "canceled"        // the caller left
	Internal       Reason = "internal"        // error in the entry itself
)

var (
	// All lists every reason, for the docs and the counters.
	All = []Reason{
		BadRequest, TooLarge, LongHeader, BadKey, BadToken, Forbidden, NoService, NoKey, KeyExpired, KeyBarred, KeyReused, KeyTaken,
		RateLimit, ActiveLimit, TokenLimit, Deadline, Overload, NoEndpoint, Leaving, Rejected, Dial, Broken,
		Timeout, Garbage, GenerationLost, Budget, Store, Stale, Stopping, Quarantined, EndpointLimit, Region, Memory, Canceled, Internal,
	}

	refusals = newCounters("refusals")
	retries  = newCounters("retries")

	// statuses maps reasons to HTTP status codes. A reason that is missing is
	// sent as 503 Service Unavailable.
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

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"unknown", "not run", "run"}[o]
}

// Ran returns the value of the "ran" member of a problem document: "no", "yes"
// or "maybe".
func (o Outcome) Ran() string {
	return [...]string{"maybe", "no", "yes"}[o]
}

// New returns a refusal without a retry time.
func New(reason Reason, outcome Outcome, detail string) *Error {
	return &Error{Reason: reason, Outcome: outcome, Detail: detail}
}

// Error returns reason, outcome and detail in one line.
func (e *Error) Error() string {
	return string(e.Reason) + " (" + e.Outcome.String() + "): " + e.Detail
}

// Status returns the HTTP status code for the refusal.
func (e *Error) Status() int {
	if status, ok := statuses[e.Reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// From returns the refusal that err wraps. An error of another kind is
// converted to an Internal refusal with an unknown outcome, because the state
// of the request is not known.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, Unknown, err.Error())
}

// FromCallError converts the error of a call to an endpoint to a refusal. The
// parameter sent reports whether a connection had been obtained: from then on
// the endpoint may have read the request, so the outcome is NotRun only if it
// is false.
func FromCallError(err error, sent bool) *Error {
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

// FromContext converts the error of the context of a request that ended before
// anything was sent.
func FromContext(err error) *Error {
	if errors.Is(err, context.DeadlineExceeded) {
		return New(Deadline, NotRun, err.Error())
	}
	return New(Canceled, NotRun, err.Error())
}

// Count counts a refusal that is sent to a caller.
func Count(reason Reason) { refusals.Add(string(reason), 1) }

// CountRetry counts a repeated attempt under the reason of the failed one.
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

// Write sends err to a caller as a refusal and counts it.
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

// Parse decodes a problem document that Write sent. Any other data results in
// an Internal refusal with an unknown outcome.
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

// Downgrade changes the outcome of a refusal from NotRun to Unknown if an earlier
// attempt of the same request may have run. Other errors are returned
// unchanged.
func Downgrade(err error, mayHaveRun bool) error {
	fault := From(err)
	if !mayHaveRun || fault.Outcome != NotRun {
		return err
	}
	doubtful := *fault
	doubtful.Outcome = Unknown
	return &doubtful
}
