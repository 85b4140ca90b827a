package entry

import (
	"context"
	"net"

	"github.com/eelgrassdock/eelgrassdock/process/locate"
)

// Active returns the number of requests in flight, for tests.
func (e *Entry) Active() int64 { return e.inFlight.active() }

// Candidates returns the list from which owners are chosen, for tests.
func (e *Entry) Candidates() []locate.Entry { return e.candidates() }

// SetPeerDial sets the function that connects to other entries, for tests.
func (e *Entry) SetPeerDial(dial func(ctx context.Context, addr string) (net.Conn, error)) {
	e.peers.Dial = dial
}
