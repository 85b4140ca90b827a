package order_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
	"github.com/eelgrassdock/eelgrassdock/version/order"
)

func ExampleReconciler() {
	var mu sync.Mutex
	var report engine.Report // of the one endpoint
	r := order.Reconciler{
		Lease: func(now time.Time) (int64, time.Time, bool) { return 1, now.Add(time.Minute), true },
		Desired: func() []order.Desired {
			return []order.Desired{{Endpoint: "e1", Models: []string{"llama"}, Fenced: true}}
		},
		Observe: func(context.Context, order.Desired) (engine.Report, error) {
			mu.Lock()
			defer mu.Unlock()
			return report, nil
		},
		Send: func(_ context.Context, d order.Desired, o engine.Order) error {
			mu.Lock()
			defer mu.Unlock()
			fmt.Println("order to", d.Endpoint, "models", o.Models)
			report.Models, report.Leaving, report.Fence = o.Models, o.Drain, o.Fence
			return nil
		},
		MaxReportAge: time.Millisecond, WaitingInterval: time.Millisecond, Poll: time.Millisecond,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- r.Run(ctx) }()
	for len(r.Status()) == 0 || len(r.Unsettled([]string{"e1"})) > 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	fmt.Println(<-done)
	// Output:
	// order to e1 models [llama]
	// <nil>
}
