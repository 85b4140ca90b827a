package engine

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"github.com/eelgrassdock/eelgrassdock/request/stream"
)

const (
	maxDigits = 9 // longer numbers are left to encoding/json
)

var (
	textField = []byte(`,"text":"`)
	textEnd   = []byte(`"}`)
	endField  = []byte(`,"end":true}`)
)

// frames decodes the frames of one stream. Almost all of them differ only in
// number and text, so they are compared with the expected form byte for byte.
// Any other form goes to encoding/json: the result is the same.
type frames struct {
	boot, gen string
	head      []byte // a frame of boot and gen up to its number
}

// decode decodes one frame.
func (d *frames) decode(data []byte) (stream.Frame, error) {
	if f, ok := d.fast(data); ok {
		return f, nil
	}
	var f stream.Frame
	if err := json.Unmarshal(data, &f); err != nil {
		return f, err
	}
	if f.Boot != d.boot || f.Gen != d.gen {
		d.expect(f.Boot, f.Gen)
	}
	return f, nil
}

// expect sets the boot and generation of the frames to come.
func (d *frames) expect(boot, gen string) {
	d.boot, d.gen, d.head = boot, gen, nil
	if plain([]byte(boot)) && plain([]byte(gen)) {
		d.head = []byte(`{"boot":"` + boot + `","gen":"` + gen + `","n":`)
	}
}

func (d *frames) fast(data []byte) (stream.Frame, bool) {
	f := stream.Frame{Boot: d.boot, Gen: d.gen}
	rest, ok := bytes.CutPrefix(bytes.Trim(data, " \t\r\n"), d.head)
	if !ok || d.head == nil {
		return f, false
	}
	if f.N, rest, ok = number(rest); !ok {
		return f, false
	}
	if bytes.Equal(rest, endField) {
		f.End = true
		return f, true
	}
	if rest, ok = bytes.CutPrefix(rest, textField); !ok {
		return f, false
	}
	if rest, ok = bytes.CutSuffix(rest, textEnd); !ok || !plain(rest) {
		return f, false
	}
	f.Text = string(rest)
	return f, true
}

// number reads a JSON number that is a positive integer.
func number(data []byte) (n int, rest []byte, ok bool) {
	i := 0
	for i < len(data) && data[i] >= '0' && data[i] <= '9' {
		n = 10*n + int(data[i]-'0')
		if i++; i > maxDigits {
			return 0, nil, false
		}
	}
	return n, data[i:], i > 0 && data[0] != '0'
}

// plain tells whether the content of a JSON string stands for itself.
func plain(text []byte) bool {
	ascii := true
	for _, c := range text {
		if c < ' ' || c == '"' || c == '\\' {
			return false
		}
		ascii = ascii && c < utf8.RuneSelf
	}
	return ascii || utf8.Valid(text)
}
