package platform_test

import (
	"context"
	"errors"
	"fmt"

	"github.com/eelgrassdock/eelgrassdock/process/platform"
)

// A commit is applied only if each row still has the expected version.
func ExampleMemory() {
	var m platform.Memory
	p, ctx := m.Platform(), context.Background()
	put := platform.Op{Kind: platform.Put, Key: "config/head", Value: []byte("1")}
	fmt.Println(p.Commit(ctx, []platform.Op{put}))
	fmt.Println(p.Commit(ctx, []platform.Op{put})) // the row is no longer absent
	row, err := p.Get(ctx, "config/head")
	fmt.Println(string(row.Value), row.Version, err)
	// Output:
	// <nil>
	// row version differs from the expected version
	// 1 1 <nil>
}

// After a lost response, the row is read back to find out whether the write took
// effect.
func ExampleMemory_Break() {
	var m platform.Memory
	p, ctx := m.Platform(), context.Background()
	m.Break(platform.Faults{Lose: 1})
	err := p.Commit(ctx, []platform.Op{{Kind: platform.Put, Key: "k", Value: []byte("v")}})
	fmt.Println(errors.Is(err, platform.ErrUnknown))
	row, err := p.Get(ctx, "k")
	fmt.Println(string(row.Value), err)
	// Output:
	// true
	// v <nil>
}
