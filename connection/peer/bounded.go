package peer

import (
	"bufio"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/connection/intake"
)

const (
	maxMessage  = 1 << 20          // bytes of a call; those of the product have some hundred
	freeMessage = 16 << 10         // bytes of a call that are not charged
	maxCalls    = 32               // calls of one connection in work, beyond which no further one is read
	writeLimit  = 10 * time.Second // for writing a part of an answer
)

var errMessage = errors.New("call is too long, or there is no memory for it")

type (
	// boundedCodec is the gob codec of net/rpc, with a bound on the length of a call and on
	// the number of calls in work.
	boundedCodec struct {
		conn    net.Conn
		reader  *messageReader
		decoder *gob.Decoder
		encoder *gob.Encoder
		buffer  *bufio.Writer
		slots   chan struct{}
	}

	// messageReader reads gob messages, each of which begins with its length, and fails at
	// one that is too long, before the decoder allocates a buffer for it.
	messageReader struct {
		source  *bufio.Reader
		charges *intake.Account
		left    int // bytes of the current message, with those of its length
		paid    int // for the buffer of the decoder, which keeps its size
	}
)

// serveBounded answers the calls of one connection.
func serveBounded(conn net.Conn, server *rpc.Server, budget *intake.Budget) {
	charges := &intake.Account{Budget: budget}
	defer charges.Release()
	buffer := bufio.NewWriter(conn)
	reader := &messageReader{source: bufio.NewReader(conn), charges: charges}
	server.ServeCodec(&boundedCodec{
		conn: conn, reader: reader, decoder: gob.NewDecoder(reader), encoder: gob.NewEncoder(buffer), buffer: buffer,
		slots: make(chan struct{}, maxCalls),
	})
}

// ReadRequestHeader reads the head of the next call once there are fewer than maxCalls.
func (c *boundedCodec) ReadRequestHeader(r *rpc.Request) error {
	c.slots <- struct{}{}
	if err := c.decoder.Decode(r); err != nil {
		<-c.slots
		return err //nolint:wrapcheck // net/rpc looks for io.EOF
	}
	return nil
}

// ReadRequestBody reads the argument of a call.
func (c *boundedCodec) ReadRequestBody(body any) error {
	return c.decoder.Decode(body) //nolint:wrapcheck // net/rpc sends it to the caller
}

// WriteResponse writes the answer to a call.
func (c *boundedCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.slots }()
	err := c.encoder.Encode(r)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.buffer.Flush()
	}
	if err != nil {
		_ = c.conn.Close() // the caller cannot find the next answer
		return fmt.Errorf("answer call: %w", err)
	}
	return nil
}

// Close closes the connection.
func (c *boundedCodec) Close() error { return c.conn.Close() }

// ReadByte reads a byte. With it, the decoder reads from a messageReader without a buffer
// of its own.
func (r *messageReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r, b[:])
	return b[0], err //nolint:wrapcheck // gob looks for io.EOF
}

func (r *messageReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		if err := r.next(); err != nil {
			return 0, err
		}
	}
	n, err := r.source.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err //nolint:wrapcheck // gob looks for io.EOF
}

// next looks at the length of the next message: one byte up to 127, else a byte with the
// negative number of those that follow, in big-endian order.
func (r *messageReader) next() error {
	head, err := r.source.Peek(1)
	if err != nil {
		return err //nolint:wrapcheck // gob looks for io.EOF
	}
	length, width := int(head[0]), 1
	if head[0] > 0x7f {
		width += -int(int8(head[0]))
		if width > 5 {
			return errMessage
		}
		if head, err = r.source.Peek(width); err != nil {
			return err //nolint:wrapcheck // as above
		}
		length = 0
		for _, b := range head[1:] {
			length = length<<8 | int(b)
		}
	}
	if cost := length - freeMessage; length > maxMessage || cost > r.paid && !r.charges.Charge(int64(cost-r.paid)) {
		intake.CountMessageRefused()
		return errMessage
	}
	r.paid = max(r.paid, length-freeMessage)
	r.left = length + width
	return nil
}
