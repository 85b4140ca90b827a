package entry

import (
	"context"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
	"github.com/eelgrassdock/eelgrassdock/connection/service"
	"github.com/eelgrassdock/eelgrassdock/internal/header"
	"github.com/eelgrassdock/eelgrassdock/process/pace"
	"github.com/eelgrassdock/eelgrassdock/request/claim"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/request/uri"
	"github.com/eelgrassdock/eelgrassdock/version/config"
)

// ownHeaders are exchanged between a caller and an entry, or set by the entry,
// and are not forwarded.
var ownHeaders = []string{
	"Authorization", KeyHeader, CallerHeader, DeadlineHeader, refusal.Header, engine.NotRunHeader,
	service.KeyHeader, accountHeader, "Content-Length", "Host",
}

const (
	accountHeader = "X-Account" // account of the caller, sent to plain services
	servicesPath  = "/v1/services/"
)

// callService handles a call to a plain service: it checks the request and the
// limits of the account, and forwards the call to a replica.
func (e *Entry) callService(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	c, err := e.authenticate(r)
	if err != nil {
		e.refuse(w, err)
		return
	}
	s, err := e.service(c, p.ByName("service"), config.KindPlain)
	if err != nil {
		e.refuse(w, err)
		return
	}
	if p.ByName("path") != path.Clean(p.ByName("path")) {
		e.refuse(w, refusal.New(refusal.BadRequest, refusal.NotRun, "path must be clean, without empty or dot segments"))
		return
	}
	target, err := callTarget(r.URL, p.ByName("path"))
	if err != nil {
		e.refuse(w, err)
		return
	}
	route := s.Route(r.Method, p.ByName("path"))
	if route == nil {
		e.refuse(w, refusal.New(refusal.NoService, refusal.NotRun, "service has no route "+r.Method+" "+p.ByName("path")))
		return
	}
	charges := e.newCharges(r, c)
	defer charges.Release()
	body, err := e.readBody(w, r, charges)
	if err != nil {
		e.refuse(w, err)
		return
	}
	grant, err := e.admit(c, 0)
	if err != nil {
		e.refuse(w, err)
		return
	}
	defer e.releaseGrant(grant)
	ctx, act, end, err := e.begin(r.Context(), c, "call", s.ID)
	if err != nil {
		e.refuse(w, err)
		return
	}
	defer end()
	out := service.Call{
		Method: r.Method, Path: target, Header: passHeader(r.Header), Body: body,
		Key: r.Header.Get(KeyHeader), Deadline: c.deadline,
	}
	out.Header.Set(accountHeader, c.account.ID)
	out.Header.Set(CallerHeader, publicName(c.caller))
	ctx, q := e.callCandidate(ctx, c, s, out, act)
	result, err := e.executeCall(ctx, c, s, route, out, q)
	q.end(err)
	countRequest(s.ID, err)
	if now := e.now(); err == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e.callTimes.Observe(timesOf(s, route), now.Sub(c.arrived), now)
	}
	if err != nil {
		e.refuse(w, err)
		return
	}
	for name, values := range result.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(result.Status)
	_, _ = w.Write(result.Body)
}

// executeCall executes the call. A call to an idempotent route may be repeated;
// any other call is executed at most once under its key.
func (e *Entry) executeCall(ctx context.Context, c call, s *config.Service, route *config.Route, out service.Call, q *candidate) (claim.Result, error) {
	// Before the key is claimed: other entries could not run the call then.
	if err := e.checkStop(timesOf(s, route), out.Deadline); err != nil {
		return claim.Result{}, err
	}
	if err := q.check(); err != nil {
		return claim.Result{}, err
	}
	if route.Idempotent {
		return e.callReplicas(ctx, s, route, out, q)
	}
	if out.Key == "" {
		return claim.Result{}, refusal.New(refusal.NoKey, refusal.NotRun, "a call that is not idempotent needs the header Idempotency-Key")
	}
	// A dispatched call is not cancelled when the caller hangs up: the result
	// is kept for a caller that repeats the request with the same key.
	ctx, cancel := e.withDeadline(context.WithoutCancel(ctx), c.deadline)
	defer cancel()
	ctx, _ = q.watch(ctx)
	request := claim.Request{
		Account: c.account.ID, Key: out.Key, Deadline: c.deadline, Fingerprint: fingerprint(c.caller, s.ID, out),
	}
	return e.guard.Do(ctx, request, func(ctx context.Context) (claim.Result, error) {
		return e.callReplicas(ctx, s, route, out, q)
	})
}

// callTarget returns the path, below that of the service, and the query of a call as they
// came. The decoded path is the one by which the call is routed. An error is a
// *refusal.Error: of a target that cannot be sent as it came, or whose segments an endpoint may
// read otherwise, as with escaped slashes.
func callTarget(u *url.URL, decoded string) (string, error) {
	escaped := u.EscapedPath()
	below, found := strings.CutPrefix(escaped, servicesPath)
	_, path, hasPath := strings.Cut(below, "/")
	path = "/" + path
	plain, err := url.PathUnescape(path)
	switch {
	case !found, !hasPath, err != nil, plain != decoded, strings.Count(path, "/") != strings.Count(plain, "/"):
		return "", refusal.New(refusal.BadRequest, refusal.NotRun, "path must not have escaped slashes")
	case u.RawPath != "" && u.RawPath != escaped:
		return "", refusal.New(refusal.BadRequest, refusal.NotRun, "path must be in the characters of a URL")
	case u.RawQuery != "" || u.ForceQuery:
		path += "?" + u.RawQuery
	}
	if _, err := uri.New("", path); err != nil {
		return "", refusal.New(refusal.BadRequest, refusal.NotRun, err.Error())
	}
	return path, nil
}

// fingerprint returns a hash that distinguishes requests with the same key. It
// includes the caller, so that another caller of the same account cannot read
// the result.
func fingerprint(caller, id string, out service.Call) string {
	d := xxhash.New()
	for _, part := range []string{caller, id, out.Method, out.Path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(out.Body)
	return strconv.FormatUint(d.Sum64(), 16)
}

// callReplicas sends the call to one replica after another until an attempt
// succeeds or may not be repeated.
func (e *Entry) callReplicas(ctx context.Context, s *config.Service, route *config.Route, out service.Call, q *candidate) (claim.Result, error) {
	var (
		exclude    []string
		mayHaveRun bool // an attempt may have run
	)
	for attempt := 0; ; attempt++ {
		if attempt > 0 {
			if err := e.checkStop(timesOf(s, route), out.Deadline); err != nil {
				return claim.Result{}, refusal.Downgrade(err, mayHaveRun)
			}
		}
		endpoint, err := e.freshReplica(s, exclude)
		if err == nil {
			err = q.check()
		}
		if err != nil {
			return claim.Result{}, refusal.Downgrade(err, mayHaveRun)
		}
		q.markSent()
		q.act.Endpoint.Store(&endpoint.ID)
		conn := &service.Conn{Addr: endpoint.Addr, HTTP: e.requests, WithDeadline: e.withDeadline}
		sent := e.newCallAttempt(q, s.ID, endpoint.ID)
		answer, err := conn.Do(ctx, out)
		if err == nil {
			q.survived()
			e.recordSuccess(s.ID)
			return claim.Result{Status: answer.Status, Header: passHeader(answer.Header), Body: answer.Body}, nil
		}
		fault := refusal.From(err)
		if isWithdrawn(ctx) {
			return claim.Result{}, refusal.Downgrade(refusal.New(refusal.Quarantined, fault.Outcome, errCondemned.Error()), mayHaveRun)
		}
		if fault.Reason == refusal.Broken && ctx.Err() == nil {
			e.noteCrash(sent)
		}
		if !route.Idempotent && fault.Outcome != refusal.NotRun {
			return claim.Result{}, err
		}
		mayHaveRun = mayHaveRun || fault.Outcome != refusal.NotRun
		e.replicaFailed(s.ID, endpoint.ID)
		at, ok := e.nextAttempt(s.ID, fault, route.Idempotent, attempt, out.Deadline)
		if !ok || ctx.Err() != nil {
			return claim.Result{}, refusal.Downgrade(err, mayHaveRun)
		}
		exclude = append(exclude, endpoint.ID)
		if !sleepUntil(ctx, at, e.now()) {
			return claim.Result{}, refusal.Downgrade(err, mayHaveRun)
		}
	}
}

// timesOf returns the key of the calls of a route in Entry.callTimes.
func timesOf(s *config.Service, r *config.Route) pace.Key {
	return pace.Key{Service: s.ID, Route: r.Method + " " + r.Path}
}

// passHeader returns a copy of the headers that are forwarded.
func passHeader(from http.Header) http.Header { return header.EndToEnd(from, ownHeaders...) }
