package stream_test

import (
	"fmt"

	"github.com/eelgrassdock/eelgrassdock/request/stream"
)

// After a reconnection, Check skips a token that was already received and
// returns an error for a gap.
func ExampleCheck() {
	check := stream.Check{Boot: "b7", Gen: "g42", Last: 1}
	for _, f := range []stream.Frame{
		{Boot: "b7", Gen: "g42", N: 1, Text: "Hello"},
		{Boot: "b7", Gen: "g42", N: 2, Text: " world"},
		{Boot: "b7", Gen: "g42", N: 4, Text: "!"},
	} {
		next, err := check.Accept(f)
		fmt.Println(f.N, next, err)
	}
	// Output:
	// 1 false <nil>
	// 2 true <nil>
	// 4 false token 4 after token 2: frame out of order
}
