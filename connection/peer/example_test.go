package peer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"

	"github.com/eelgrassdock/eelgrassdock/connection/peer"
)

// Greeter is a service that can be registered with net/rpc.
type Greeter struct{}

// Hello replies with a greeting.
func (Greeter) Hello(name string, reply *string) error {
	*reply = "hello " + name
	return nil
}

// ErrUnreachable means that the call was not sent.
func ExamplePool_Call() {
	server := rpc.NewServer()
	_ = server.Register(Greeter{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	served := make(chan error)
	go func() { served <- peer.Serve(l, server) }()
	var pool peer.Pool
	var reply string
	err = pool.Call(context.Background(), l.Addr().String(), "Greeter.Hello", "ann", &reply)
	fmt.Println(reply, err)
	pool.Close()
	_ = l.Close()
	fmt.Println(<-served)
	err = pool.Call(context.Background(), l.Addr().String(), "Greeter.Hello", "ann", &reply)
	fmt.Println(errors.Is(err, peer.ErrUnreachable))
	// Output:
	// hello ann <nil>
	// <nil>
	// true
}
