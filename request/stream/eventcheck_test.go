package stream_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/request/stream"
)

// The engine of a stream breaks off after its third event. The engine that continues
// must send the fourth one.
func ExampleEventCheck() {
	check := stream.NewEventCheck("")
	for _, id := range []string{"1", "2", "3"} {
		fmt.Println(check.Accept(stream.Event{ID: id}))
	}
	check.Continue()
	for _, id := range []string{"1", "5", "", "4"} {
		fmt.Println(check.Accept(stream.Event{ID: id}))
	}
	// Output:
	// <nil>
	// <nil>
	// <nil>
	// event 1 after event 3: frame out of order
	// event 5 of another run after event 3: frame out of order
	// event without an ID after event 3: frame out of order
	// <nil>
}

// FuzzEvents guards against events whose IDs do not increase, bytes that are lost or
// joined, and lines that are no part of an event, for whatever two engines send one
// after another.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\nda"), []byte("id: 2\ndata: x\n\n"))
	f.Add([]byte("a-b: 7\r\nid:1\r\n\r\n: c\n\n\n\nid: 3\n\n"), []byte("HTTP/1.1 200 OK\r\nA: b\r\n\r\nid: 4\n\n"))
	f.Add([]byte("id: 1\n\nid: 2\n\n"), []byte("data: {\"error\":1}\n\nid: 1\n\n"))
	f.Add([]byte("id: 18446744073709551615\n\n"), []byte("id: 0\n\nid\n\nid: -1\n\n"))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		check := stream.NewEventCheck("")
		var ids []uint64
		for _, sent := range [][]byte{first, second} {
			check.Continue()
			events := stream.NewEventReader(bytes.NewReader(sent))
			for {
				event, err := events.Next()
				if err != nil {
					ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
					require.True(t, ended || errors.Is(err, stream.ErrNoEvent) || errors.Is(err, stream.ErrEventSize), err)
					break
				}
				require.True(t, bytes.Contains(sent, event.Raw))
				require.NotContains(t, string(event.Raw), "\nHTTP/")
				if event.Comment {
					require.Empty(t, event.ID)
					continue
				}
				if check.Accept(event) != nil {
					break
				}
				id, err := strconv.ParseUint(event.ID, 10, 64)
				require.NoError(t, err)
				require.True(t, len(ids) == 0 || id > ids[len(ids)-1], "event %d after %d", id, ids)
				ids = append(ids, id)
			}
		}
	})
}
