package hostile

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/platform/fake"
	"github.com/eelgrassdock/eelgrassdock/platform/wire"
)

const (
	legalHead     = 15 << 10 // below max_header_bytes, with the lines that begin each head
	longHead      = 63 << 10 // below the limit of net/http on the code without limits of its own
	endlessPart   = 4 << 10  // written at once by a client that does not end
	heldBody      = 1 << 20  // part of a body that is sent
	reconnectTime = 50 * time.Millisecond
	trickleTime   = 20 * time.Millisecond
	largeID       = 12 << 10 // bytes of a request ID, of which the replica's answer has 20 copies
)

// Client is what a hostile client does with one connection, until an error.
type Client func(conn net.Conn, n int) error

// Crowd runs a number of clients against an address until ctx ends. A client whose
// connection ends opens another one.
func Crowd(ctx context.Context, addr string, count int, client Client) {
	var all conc.WaitGroup
	for n := range count {
		all.Go(func() {
			for ctx.Err() == nil {
				connect(ctx, addr, n, client)
				sleep.For(ctx, reconnectTime)
			}
		})
	}
	all.Wait()
}

func connect(ctx context.Context, addr string, n int, client Client) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // leaves no waiting sockets to the next test
		}
		_ = conn.Close()
	})()
	_ = client(conn, n) // ends with the connection
}

// hold sends nothing more, and reads until the process closes the connection.
func hold(conn net.Conn) error {
	_, err := io.Copy(io.Discard, conn)
	return err
}

// write sends a text and holds the connection.
func write(text string) Client {
	return func(conn net.Conn, _ int) error {
		if _, err := io.WriteString(conn, text); err != nil {
			return err
		}
		return hold(conn)
	}
}

// repeat sends a text again and again, and reads and drops what comes back.
func repeat(text string, pause time.Duration) Client {
	return func(conn net.Conn, _ int) error {
		go func() { _ = hold(conn) }() // ends with the connection
		for {
			if _, err := io.WriteString(conn, text); err != nil {
				return err
			}
			time.Sleep(pause)
		}
	}
}

// begin sends a text once, and then another one again and again.
func begin(text, rest string, pause time.Duration) Client {
	next := repeat(rest, pause)
	return func(conn net.Conn, n int) error {
		if _, err := io.WriteString(conn, text); err != nil {
			return err
		}
		return next(conn, n)
	}
}

// deaf sends a text again and again, and reads nothing.
func deaf(text string) Client {
	return func(conn net.Conn, _ int) error {
		for {
			if _, err := io.WriteString(conn, text); err != nil {
				return err
			}
		}
	}
}

// slow sends a text and reads a byte of what comes back at a time.
func slow(text string) Client {
	return func(conn net.Conn, _ int) error {
		if _, err := io.WriteString(conn, text); err != nil {
			return err
		}
		for b := make([]byte, 1); ; time.Sleep(trickleTime) {
			if _, err := conn.Read(b); err != nil {
				return err
			}
		}
	}
}

// cut sends a text and closes the connection.
func cut(text string) Client {
	return func(conn net.Conn, _ int) error {
		_, err := io.WriteString(conn, text)
		return err
	}
}

// shortLines returns header lines of about four bytes each, with different names.
func shortLines(size int) string { return names(size, ":\r\n") }

// elements returns a list of different short names, each with an end, for one header line.
func elements(size int, end string) string { return strings.TrimSuffix(names(size, end+","), ",") }

// names returns different short names, each with an end.
func names(size int, end string) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		if i >= len(letters) {
			_ = b.WriteByte(letters[i/len(letters)%len(letters)])
		}
		if i >= len(letters)*len(letters) {
			_ = b.WriteByte(letters[i/len(letters)/len(letters)%len(letters)])
		}
		_ = b.WriteByte(letters[i%len(letters)])
		_, _ = b.WriteString(end)
	}
	return b.String()
}

// announce sends the length of a long net/rpc message and the begin of it.
func announce(conn net.Conn, _ int) error {
	const length = 512 << 20
	head := []byte{0xfc, 0, 0, 0, 0} // a length of four bytes
	binary.BigEndian.PutUint32(head[1:], length)
	if _, err := conn.Write(head); err != nil {
		return err
	}
	if _, err := conn.Write(bytes.Repeat([]byte("x"), 4*heldBody)); err != nil {
		return err
	}
	return hold(conn)
}

// deafCalls makes net/rpc calls without end and reads no answer.
func deafCalls(method string, argument any) Client {
	return func(conn net.Conn, _ int) error {
		encoder := gob.NewEncoder(conn)
		for seq := uint64(1); ; seq++ {
			if err := encoder.Encode(rpc.Request{ServiceMethod: method, Seq: seq}); err != nil {
				return err
			}
			if err := encoder.Encode(argument); err != nil {
				return err
			}
		}
	}
}

// head returns the begin of a request, to which header lines and the empty line at the
// end may be added.
func head(method, path, id string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nAuthorization: Bearer %s\r\n", method, path, fake.Host, wire.HeaderRequest, id, key)
}

// body returns a whole header that announces a body.
func body(path string, length int) string {
	return head("POST", path, "body") + fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
}
