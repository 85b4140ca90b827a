package engine

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"github.com/eelgrassdock/eelgrassdock/request/stream"
)

const (
	maxDigits = 9 // longer numbers are decoded by encoding/json
)

var (
	textField = []byte(`,"text":"`)
	textEnd   = []byte(`"}`)
	endField  = []byte(`,"end":true}`)
)

// frameDecoder decodes the frames of one stream. Almost all of them differ only in
// number and text, so a fast path compares them with the expected form byte for
// byte. Any other form is decoded by encoding/json, with the same result.
type frameDecoder struct {
	boot, gen string
	head      []byte // start of a frame of boot and gen, up to its number; nil disables the fast path
}

// decode decodes one frame.
func (d *frameDecoder) decode(data []byte) (stream.Frame, error) {
	if f, ok := d.decodeFast(data); ok {
		return f, nil
	}
	var f stream.Frame
	if err := json.Unmarshal(data, &f); err != nil {
		return f, err
	}
	if f.Boot != d.boot || f.Gen != d.gen {
		d.setExpected(f.Boot, f.Gen)
	}
	return f, nil
}

// setExpected sets the boot and generation that the fast path accepts.
func (d *frameDecoder) setExpected(boot, gen string) {
	d.boot, d.gen, d.head = boot, gen, nil
	if isUnescaped([]byte(boot)) && isUnescaped([]byte(gen)) {
		d.head = []byte(`{"boot":"` + boot + `","gen":"` + gen + `","n":`)
	}
}

// decodeFast decodes a frame of the expected form. It returns false for any other
// form, including a malformed frame.
func (d *frameDecoder) decodeFast(data []byte) (stream.Frame, bool) {
	f := stream.Frame{Boot: d.boot, Gen: d.gen}
	rest, ok := bytes.CutPrefix(bytes.Trim(data, " \t\r\n"), d.head)
	if !ok || d.head == nil {
		return f, false
	}
	if f.N, rest, ok = parseNumber(rest); !ok {
		return f, false
	}
	if bytes.Equal(rest, endField) {
		f.End = true
		return f, true
	}
	if rest, ok = bytes.CutPrefix(rest, textField); !ok {
		return f, false
	}
	if rest, ok = bytes.CutSuffix(rest, textEnd); !ok || !isUnescaped(rest) {
		return f, false
	}
	f.Text = string(rest)
	return f, true
}

// parseNumber parses a positive integer of at most maxDigits digits, in the form of
// JSON, and returns the bytes after it.
func parseNumber(data []byte) (n int, rest []byte, ok bool) {
	i := 0
	for i < len(data) && data[i] >= '0' && data[i] <= '9' {
		n = 10*n + int(data[i]-'0')
		if i++; i > maxDigits {
			return 0, nil, false
		}
	}
	return n, data[i:], i > 0 && data[0] != '0'
}

// isUnescaped reports whether text is the same inside and outside of a JSON string:
// valid UTF-8 without escapes, quotes and control characters.
func isUnescaped(text []byte) bool {
	ascii := true
	for _, c := range text {
		if c < ' ' || c == '"' || c == '\\' {
			return false
		}
		ascii = ascii && c < utf8.RuneSelf
	}
	return ascii || utf8.Valid(text)
}
