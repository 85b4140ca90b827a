package share_test

import (
	"context"
	"fmt"
	"time"

	"github.com/eelgrassdock/eelgrassdock/process/share"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// Two entries share a limit of 4 requests in flight. Without a share an entry
// has its floor, half of the limit; the owner lends it what the other entry does
// not use.
func ExampleBorrower() {
	now := time.Unix(1_800_000_000, 0)
	var owner share.Owner
	limit := share.Limit{Active: 4}
	b := share.Borrower{
		Entry: "riga-1.boot7", Live: func() int { return 2 },
		Borrow: func(_ context.Context, _ string, ask share.Request) (share.Share, error) { return owner.Lend(ask, now) },
		Go:     func(task func()) { task() },
	}
	for range 5 {
		_, err := b.Acquire("tandem", "ann", limit, 0, now)
		if err != nil {
			e := refusal.From(err)
			fmt.Println(e.Reason, e.Outcome)
		}
		b.Renew(now)
		now = now.Add(250 * time.Millisecond)
	}
	fmt.Println(b.Used("tandem").Active, owner.Lent("tandem", now).Active)
	// Output:
	// active_limit not run
	// 4 4
}
