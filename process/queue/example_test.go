package queue_test

import (
	"fmt"
	"time"

	"github.com/eelgrassdock/eelgrassdock/process/queue"
)

// Accounts take turns, a higher rank goes first, and expired work is removed.
func ExampleQueue() {
	now := time.Unix(1_800_000_000, 0)
	var q queue.Queue
	for _, it := range []*queue.Item{
		{Account: "a", Value: "a1", Arrived: now},
		{Account: "a", Value: "a2", Arrived: now},
		{Account: "b", Value: "b1", Arrived: now},
		{Account: "c", Value: "c1", Arrived: now, Rank: 5},
		{Account: "c", Value: "c2", Arrived: now, Deadline: now},
	} {
		if err := q.Push(it); err != nil {
			fmt.Println(err)
		}
	}
	for _, it := range q.Expire(now.Add(time.Millisecond)) {
		fmt.Println("expired", it.Value)
	}
	n := q.Next(now, func(it *queue.Item) bool { fmt.Println(it.Value); return true })
	fmt.Println(n, q.Len())
	// Output:
	// expired c2
	// c1
	// a1
	// b1
	// a2
	// 4 0
}
