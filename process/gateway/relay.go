package gateway

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/request/stream"
)

var errNoEvents = errors.New("stream ended before its first event")

// relay passes events on to the caller until the stream ends. It returns nil if
// the stream ended completely. What is not an event that may follow the last one is
// not passed on and ends the attempt: from then on, nothing that the engine sends can
// be told from events of another run. Comments before the first event of an attempt
// wait for it, so that they do not begin an answer.
func (r *run) relay(answer *Answer, quiet *silenceWatch) error {
	events := stream.NewEventReader(answer.Body)
	r.order.Continue()
	begun := false
	var comments []byte
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if !begun && (r.headWritten || r.j.After == "") {
				return errNoEvents
			}
			r.writeHead()
			return nil
		}
		if err == nil && !event.Comment {
			err = r.order.Accept(event)
		}
		if err != nil {
			if r.headWritten {
				_ = http.NewResponseController(r.j.w).Flush() // events wait in it if more seemed to follow at once
			}
			return fmt.Errorf("stream of %s: %w", r.endpoint.ID, err)
		}
		if event.Comment && !begun {
			quiet.event()
			if comments = append(comments, event.Raw...); len(comments) > stream.MaxEvent {
				return fmt.Errorf("comments of %s: %w", r.endpoint.ID, stream.ErrEventSize)
			}
			continue
		}
		r.noteSurvival()
		r.writeHead()
		data := event.Raw
		if len(comments) > 0 {
			data, comments = append(comments, data...), nil
		}
		if err := r.write(data, !events.Pending()); err != nil {
			return err
		}
		quiet.event()
		if event.Comment {
			continue
		}
		r.lastEvent = event.ID
		r.progress()
		if !begun {
			begun = true
			r.copyEarly()
		}
	}
}

// write writes a part of the stream to the caller. The error is a *CutError.
func (r *run) write(data []byte, flush bool) error {
	_, err := r.j.w.Write(data)
	if err == nil && flush {
		err = http.NewResponseController(r.j.w).Flush()
	}
	if err != nil {
		return CutByWrite(err)
	}
	return nil
}

// writeHead writes the headers of the engine where the generation began, once.
func (r *run) writeHead() {
	if r.headWritten {
		return
	}
	r.headWritten = true
	r.j.answering.Store(true)
	maps.Copy(r.j.w.Header(), r.header)
	r.j.w.WriteHeader(http.StatusOK)
	r.firstDelay, r.lastPassed = time.Since(r.j.Arrived), time.Now()
	observe(firstTime, r.firstDelay)
	if !r.g.Stalls.StalledSince(r.begun) { // else its time says nothing about the engine
		r.enginePool.sched.Started(r.ticket, r.lastPassed)
	}
	r.enginePool.clearFailures(r.endpoint.ID)
}

func (r *run) progress() {
	now := time.Now()
	r.longestGap, r.lastPassed = max(r.longestGap, now.Sub(r.lastPassed)), now
	r.mu.Lock()
	r.events++
	tokens, ticket, backup := r.events*r.engine.Stride, r.ticket, r.backup
	r.mu.Unlock()
	if r.events&3 != 1 {
		return // every fourth event is enough: the scheduler's estimate changes little between them
	}
	r.enginePool.sched.Progress(ticket, tokens, now)
	if backup != nil {
		r.enginePool.sched.Progress(backup.ticket, tokens, now)
	}
}

// handlePlainAnswer passes on an answer that is not an event stream.
func (r *run) handlePlainAnswer(ctx context.Context, a *attempt, answer *Answer) (*attempt, error) {
	r.sends++
	kept, err := bufferAnswer(answer, r.j.answers)
	var f *refusal.Error
	switch {
	case err != nil:
		f = refusal.FromCallError(err, true)
	case r.headWritten:
		f = refusal.New(refusal.Broken, refusal.Unknown, "engine answered "+strconv.Itoa(kept.status)+" to the rest of a stream")
	}
	if f != nil {
		r.logFailure(a, f)
		r.checkCrash(a, f)
		return r.rerun(ctx, a, f)
	}
	r.noteSurvival()
	return nil, r.g.finish(r.j, kept, a.endpoint, r.sends)
}

// handleBrokenStream decides how to proceed after a stream ended early, with err. The
// request would be refused with f.
func (r *run) handleBrokenStream(ctx context.Context, a *attempt, err error, f *refusal.Error) (*attempt, error) {
	if errors.Is(err, ErrCut) {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, r.finalError(refusal.FromCallError(errors.CombineErrors(ctx.Err(), err), true))
	}
	r.mu.Lock()
	events, copied := r.events, r.backup != nil
	r.mu.Unlock()
	r.logAttempt("stream_broken", a, logrus.Fields{"reason": f.Reason, "detail": f.Detail, "events": events, "backup": copied})
	r.enginePool.suspect(a.endpoint.ID)
	if r.checkCrash(a, f) && !r.headWritten {
		return nil, r.finalError(f) // it would probably crash the next engine as well
	}
	if next := r.goOnFromCopy(ctx, a); next != nil {
		return next, nil
	}
	return r.rerun(ctx, a, f)
}

// streamRefusal returns the refusal for a stream that broke off.
func streamRefusal(err error) *refusal.Error {
	if errors.IsAny(err, stream.ErrOrder, stream.ErrNoEvent) {
		counters.Add("events_rejected", 1)
		return refusal.New(refusal.Garbage, refusal.Unknown, err.Error())
	}
	return refusal.FromCallError(err, true)
}
