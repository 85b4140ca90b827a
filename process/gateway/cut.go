package gateway

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

var (
	// ErrCut is matched by a CutError.
	ErrCut = errors.New("answer broke off")

	errStopped = errors.New("the grace time of the instance is over")
)

// Causes of a CutError.
const (
	CutByCaller   CutCause = "caller"   // the caller closed the connection
	CutUnread     CutCause = "unread"   // the caller did not read the answer until its deadline
	CutByDeadline CutCause = "deadline" // the deadline passed
	CutByStop     CutCause = "stop"     // the instance stopped
	CutByEndpoint CutCause = "endpoint" // the answer of the endpoint ended early
	CutByPanic    CutCause = "panic"    // fault of the instance
)

// CutCauses lists every cause of a CutError.
var CutCauses = []CutCause{CutByCaller, CutUnread, CutByDeadline, CutByStop, CutByEndpoint, CutByPanic}

type (
	// CutCause says why an answer broke off.
	CutCause string

	// CutError is returned if an answer broke off after a part of it was passed
	// on. The connection to the caller must then be closed without completing
	// the answer.
	CutError struct {
		Cause CutCause
		Err   error
	}
)

func (e *CutError) Error() string { return ErrCut.Error() + ": " + e.Err.Error() }

func (e *CutError) Unwrap() error { return e.Err }

// Is reports whether target is ErrCut.
func (e *CutError) Is(target error) bool { return target == ErrCut }

// CutByWrite returns the error of an answer that could not be written to the
// caller.
func CutByWrite(err error) *CutError {
	cause := CutByCaller
	if errors.Is(err, os.ErrDeadlineExceeded) {
		cause = CutUnread
	}
	return &CutError{Cause: cause, Err: errors.Wrap(err, "write answer")}
}

// cutByFault returns the error of an answer that broke off because of f.
func cutByFault(f *refusal.Error) *CutError {
	cause := CutByEndpoint
	switch f.Reason {
	case refusal.Canceled:
		cause = CutByCaller
	case refusal.Timeout, refusal.Deadline:
		cause = CutByDeadline
	}
	return &CutError{Cause: cause, Err: f}
}

// nameCause sets the cause in the error of a request whose context has ended. The
// connection to the endpoint is closed then, and err is only the consequence.
func nameCause(ctx context.Context, err error) error {
	if ctx.Err() == nil || err == nil {
		return err
	}
	stopped := errors.Is(context.Cause(ctx), errStopped)
	var cut *CutError
	if errors.As(err, &cut) {
		switch {
		case cut.Cause == CutUnread:
			return err
		case stopped:
			return &CutError{Cause: CutByStop, Err: cut.Err}
		case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
			return &CutError{Cause: CutByDeadline, Err: cut.Err}
		}
		return &CutError{Cause: CutByCaller, Err: cut.Err}
	}
	if f := refusal.From(err); stopped && f.Reason == refusal.Canceled {
		return refusal.New(refusal.Stopping, f.Outcome, errStopped.Error())
	}
	return err
}
