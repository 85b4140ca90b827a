package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/eelgrassdock/eelgrassdock/request/stream"
)

const (
	writeTimeout  = 30 * time.Second // a caller that accepts nothing for this long is disconnected
	timerInterval = time.Second      // timers of a stream are reset at most once in this time
)

type (
	// output receives the tokens of a job. It has two implementations, for a
	// stream of events and for a complete response.
	output interface {
		// open is called when a generation with this sealed resume token has
		// begun.
		open(sealed, generation string) error
		// token sends one token. If more is set, another token has already been
		// received, and the output may be buffered.
		token(f stream.Frame, more bool) error
		// end is called after the last token, which has the number n.
		end(n int) error
		// delivered reports whether the caller has received a token. After that
		// the generation cannot be replaced by another one.
		delivered() bool
		// reset discards the tokens that were collected and not yet sent.
		reset()
		// continueAfter is called for a resumed stream whose caller already has
		// the tokens up to n.
		continueAfter(n int)
	}

	// eventWriter sends tokens as server-sent events.
	eventWriter struct {
		w       http.ResponseWriter
		control *http.ResponseController
		service string
		sealed  string    // resume token
		head    []byte    // JSON of an event up to the token's text
		buf     []byte    // events that are not yet written
		begun   bool      // the response header was written
		last    int       // number of the last token that was sent, or that the caller already had
		armed   time.Time // when the write deadline was last set
	}
)

func newEventWriter(w http.ResponseWriter, service string) *eventWriter {
	return &eventWriter{w: w, control: http.NewResponseController(w), service: service}
}

// begin writes the response header once.
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
	// The event ID is sent before any token, so that the caller can resume a
	// stream that has not delivered its first token. After a resumption it
	// contains the number of the last token that the caller has: number 0 would
	// allow a new generation to replace the resumed one.
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
	if now := time.Now(); now.Sub(o.armed) >= timerInterval {
		o.armed = now
		_ = o.control.SetWriteDeadline(now.Add(writeTimeout + timerInterval))
	}
	_, err := o.w.Write(o.buf)
	o.buf = o.buf[:0]
	if err != nil {
		return err
	}
	return o.control.Flush()
}

// appendText appends text as a JSON string. Text that needs no escaping is
// copied without a call of the encoder.
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
