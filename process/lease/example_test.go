package lease_test

import (
	"context"
	"fmt"
	"io"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/process/lease"
	"github.com/eelgrassdock/eelgrassdock/process/platform"
)

// Each new holder of a duty gets a higher fencing token, also when the lease is
// handed over.
func ExampleKeeper() {
	var store platform.Memory
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, holder := range []string{"riga-1", "lisbon-1"} {
		ctx, cancel := context.WithCancel(context.Background())
		k := lease.Keeper{
			Platform: store.Platform(), Holder: holder, Log: log, Duties: []string{"orders"},
			Wants:  func(string) bool { return true },
			Gained: func(l lease.Lease) { fmt.Println(l.Holder, l.Duty, l.Fence); cancel() },
			Lost:   func(l lease.Lease) { fmt.Println(l.Holder, "stops") },
		}
		fmt.Println(k.Run(ctx))
	}
	// Output:
	// riga-1 orders 1
	// riga-1 stops
	// lease keeper ended: context canceled
	// lisbon-1 orders 2
	// lisbon-1 stops
	// lease keeper ended: context canceled
}
