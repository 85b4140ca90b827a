package retry_test

import (
	"fmt"
	"time"

	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/request/retry"
)

// Whether an attempt is repeated depends on its outcome.
func ExamplePolicy_Next() {
	p := retry.Policy{Backoff: retry.Backoff{Random: func() float64 { return 0.5 }}}
	now := time.Unix(1_800_000_000, 0)
	deadline := now.Add(time.Second)
	// Not run: repeated at once, on another endpoint.
	at, ok := p.Next(refusal.NotRun, refusal.Dial, false, 1, deadline, now)
	fmt.Println(at.Sub(now), ok)
	// May have run: repeated after a wait, and only if idempotent.
	at, ok = p.Next(refusal.Unknown, refusal.Timeout, true, 2, deadline, now)
	fmt.Println(at.Sub(now), ok)
	_, ok = p.Next(refusal.Unknown, refusal.Timeout, false, 2, deadline, now)
	fmt.Println(ok)
	// Output:
	// 0s true
	// 37.5ms true
	// false
}

// Ten successful requests refill the bucket by one repeat.
func ExampleBudget() {
	b := retry.Budget{Size: 1}
	fmt.Println(b.Take(), b.Take())
	for range 10 {
		b.Success()
	}
	fmt.Println(b.Take())
	// Output:
	// true false
	// true
}
