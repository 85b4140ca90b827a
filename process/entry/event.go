package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/eelgrassdock/eelgrassdock/request/stream"
)

const (
	writeTimeout = 30 * time.Second // a caller that accepts nothing for this long is disconnected
	timerGrain   = time.Second      // timers of a stream are moved at most this often
)

type (
	// output takes what a job produces. It is an interface because a job has
	// just two kinds of reader, a stream of events and a whole answer.
	output interface {
		// open tells that a generation with this sealed token has begun.
		open(sealed, generation string) error
		// token passes one token on; more tells that another one is at hand.
		token(f stream.Frame, more bool) error
		// end tells that token n was the last.
		end(n int) error
		// delivered tells whether the caller has received a token. From then on
		// no other generation may take over.
		delivered() bool
		// reset forgets what was collected and not given to the caller.
		reset()
		// continueAfter tells that the caller already has tokens up to n.
		continueAfter(n int)
	}

	// eventWriter sends tokens as server-sent events.
	eventWriter struct {
		w       http.ResponseWriter
		control *http.ResponseController
		service string
		sealed  string
		head    []byte // event up to the token's text
		buf     []byte
		begun   bool
		last    int       // number of the last token that the caller has
		armed   time.Time // when the write deadline was set
	}
)

func newEventWriter(w http.ResponseWriter, service string) *eventWriter {
	return &eventWriter{w: w, control: http.NewResponseController(w), service: service}
}

func (o *eventWriter) begin() {
	if o.begun {
		return
	}
	o.begun = true
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.Header().Set("Cache-Control", "no-store")
	o.w.WriteHeader(http.StatusOK)
}

func (o *eventWriter) open(sealed, generation string) error {
	o.begin()
	o.sealed = sealed
	model, err := json.Marshal(o.service)
	if err != nil {
		return err
	}
	o.head = append(o.head[:0], "data: {\"id\":\""+generation+"\",\"object\":\"text_completion\",\"model\":"...)
	o.head = append(o.head, model...)
	o.head = append(o.head, ",\"choices\":[{\"index\":0,\"text\":"...)
	// The position is sent before any token, so that the caller can resume
	// a stream whose first token has not come yet. After a resumption it is
	// that of the last token the caller has: position 0 would allow another
	// generation to take over.
	o.buf = append(o.buf[:0], "event: open\n"...)
	o.buf = o.appendID(o.buf, o.last)
	o.buf = append(o.buf, "data: {}\n\n"...)
	return o.flush()
}

func (o *eventWriter) appendID(b []byte, n int) []byte {
	b = append(b, "id: "...)
	b = append(b, o.sealed...)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(n), 10)
	return append(b, '\n')
}

func (o *eventWriter) token(f stream.Frame, more bool) error {
	o.last = f.N
	o.buf = o.appendID(o.buf, f.N)
	o.buf = append(o.buf, o.head...)
	o.buf = appendText(o.buf, f.Text)
	o.buf = append(o.buf, "}]}\n\n"...)
	if more {
		return nil
	}
	return o.flush()
}

func (o *eventWriter) end(int) error {
	o.buf = append(o.buf, o.head...)
	o.buf = append(o.buf, "\"\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"...)
	return o.flush()
}

func (o *eventWriter) delivered() bool { return o.last > 0 }

func (o *eventWriter) reset() {}

func (o *eventWriter) continueAfter(n int) { o.last = n }

// event sends an event that carries no token.
func (o *eventWriter) event(name string, data []byte) {
	o.buf = append(o.buf, "event: "+name+"\ndata: "...)
	o.buf = append(o.buf, data...)
	o.buf = append(o.buf, "\n\n"...)
	_ = o.flush()
}

func (o *eventWriter) flush() error {
	if now := time.Now(); now.Sub(o.armed) >= timerGrain {
		o.armed = now
		_ = o.control.SetWriteDeadline(now.Add(writeTimeout + timerGrain))
	}
	_, err := o.w.Write(o.buf)
	o.buf = o.buf[:0]
	if err != nil {
		return err
	}
	return o.control.Flush()
}

// appendText appends a JSON string. Text that needs no escape is copied.
func appendText(b []byte, text string) []byte {
	for _, c := range []byte(text) {
		if c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			data, _ := json.Marshal(text) // a string always has an encoding
			return append(b, data...)
		}
	}
	b = append(b, '"')
	b = append(b, text...)
	return append(b, '"')
}
