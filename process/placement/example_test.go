package placement_test

import (
	"fmt"
	"time"

	"github.com/eelgrassdock/eelgrassdock/process/placement"
)

func ExampleScheduler() {
	now := time.Unix(1000, 0)
	s := placement.Scheduler{Service: "chat", Region: "north"}
	s.SetEndpoints([]placement.Endpoint{
		{ID: "a", Region: "north", Tokens: 100_000},
		{ID: "b", Region: "north", Tokens: 100_000},
	})
	s.SetPeers(7)
	s.Report("a", placement.Report{At: now, Running: 90, Used: 99_000, Total: 100_000}, now)
	s.Report("b", placement.Report{At: now, Leaving: true}, now)

	req := placement.Request{Account: "acme", Prompt: 500, Max: 4000, Arrived: now}
	fmt.Println(s.Place(req, now).Wait) // a is full, b is leaving

	s.Report("a", placement.Report{At: now.Add(time.Second), Running: 20, Used: 30_000, Total: 100_000}, now)
	d := s.Place(req, now.Add(time.Second))
	fmt.Println(d.Endpoint)
	s.Progress(d.Ticket, 120, now.Add(2*time.Second))
	s.Done(d.Ticket, 240, true, now.Add(3*time.Second))
	// Output:
	// true
	// a
}
