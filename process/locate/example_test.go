package locate_test

import (
	"fmt"
	"time"

	"github.com/eelgrassdock/eelgrassdock/process/locate"
)

// When an entry leaves, only its keys move to another owner.
func ExampleOwner() {
	entries := []locate.Entry{{ID: "riga-1"}, {ID: "riga-2"}, {ID: "lisbon-1"}}
	before := map[string]string{}
	for i := range 1000 {
		key := fmt.Sprint("account-", i)
		before[key] = locate.Owner(entries, key).ID
	}
	entries[1].Leaving = true
	moved, lost := 0, 0
	for key, id := range before {
		now := locate.Owner(entries, key).ID
		if id == "riga-2" {
			lost++
		} else if now != id {
			moved++
		}
	}
	fmt.Println(lost > 0, moved)
	// Output: true 0
}

// An answer lists the entries of the caller's region first and may be kept until
// the returned time.
func ExampleAnswer() {
	now := time.Unix(1_800_000_000, 0)
	entries := []locate.Entry{
		{ID: "lisbon-1", Place: "lis", Region: "south"},
		{ID: "riga-1", Place: "rix", Region: "north"},
		{ID: "riga-2", Place: "rix", Region: "north", Leaving: true},
	}
	list, until := locate.Answer(entries, "tandem", "chat", "rix", "north", now)
	for _, e := range list {
		fmt.Println(e.ID)
	}
	fmt.Println(until.After(now), until.Sub(now) <= locate.AnswerTTL)
	// Output:
	// riga-1
	// lisbon-1
	// true true
}
