package member_test

import (
	"fmt"
	"time"

	"github.com/eelgrassdock/eelgrassdock/process/member"
)

// Two nodes with a manual clock exchange datagrams through a queue instead of
// sockets.
func Example() {
	now := time.Unix(1_800_000_000, 0)
	nodes := map[string]*member.Node{}
	var queue []func()
	for _, id := range []string{"a", "b"} {
		addr := map[string]string{"a": "10.0.0.1:7946", "b": "10.0.0.2:7946"}[id]
		nodes[addr] = &member.Node{
			Self: member.Member{ID: id, Probe: addr},
			Now:  func() time.Time { return now }, Seed: 1,
			Send: func(to string, data []byte) error {
				queue = append(queue, func() { nodes[to].Receive(data, addr) })
				return nil
			},
		}
	}
	a, b := nodes["10.0.0.1:7946"], nodes["10.0.0.2:7946"]
	a.SetSeeds([]member.Member{b.Self})
	for range 20 {
		now = now.Add(member.Tick)
		a.Step(now)
		b.Step(now)
		for len(queue) > 0 {
			deliver := queue[0]
			queue = queue[1:]
			deliver()
		}
	}
	fmt.Println(len(a.Members()), b.Status("a"))
	// Output: 2 alive
}
