package refusal_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"time"

	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// Write encodes a refusal as an HTTP response and Parse restores it.
func ExampleWrite() {
	now := time.Unix(1_800_000_000, 0)
	e := refusal.New(refusal.RateLimit, refusal.NotRun, "account may start 5 requests a second")
	e.RetryAt = now.Add(1500 * time.Millisecond)
	w := httptest.NewRecorder()
	refusal.Write(w, e, now)
	fmt.Println(w.Code, w.Header().Get("Retry-After"))
	got := refusal.Parse(w.Body.Bytes())
	fmt.Println(got.Reason, got.Outcome, got.RetryAt.Equal(e.RetryAt))
	// Output:
	// 429 2
	// rate_limit not run true
}

// The outcome of a failed call depends on whether it may have been sent.
func ExampleFromCallError() {
	refused := errors.New("connection refused")
	fmt.Println(refusal.FromCallError(refused, false).Outcome)
	fmt.Println(refusal.FromCallError(context.DeadlineExceeded, true).Outcome)
	// Output:
	// not run
	// unknown
}
