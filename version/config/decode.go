package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
)

// Decode decodes and checks a document. Unknown fields, duplicate fields,
// values of a wrong type and data after the document are faults like those of
// Check and are returned together with them.
func Decode(data []byte) (Document, []Fault) {
	var doc Document
	w := &walker{dec: json.NewDecoder(bytes.NewReader(data)), checker: checker{seen: map[string]bool{}}}
	w.dec.UseNumber()
	if err := w.value(reflect.TypeFor[Document](), ""); err != nil {
		w.add(fmt.Sprintf("byte %d", w.dec.InputOffset()), err.Error(), "valid JSON")
		return doc, w.faults
	}
	end := w.dec.InputOffset()
	if _, err := w.dec.Token(); !errors.Is(err, io.EOF) {
		w.add(fmt.Sprintf("byte %d", end), "data after the document", "the end of the file")
	}
	// The walker has reported values of a wrong type; the rest is decoded.
	var typeErr *json.UnmarshalTypeError
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&doc); err != nil && !errors.As(err, &typeErr) {
		w.add("byte 0", err.Error(), "valid JSON")
	}
	for _, f := range Check(doc) {
		if !w.seen[f.Path] {
			w.faults = append(w.faults, f)
		}
	}
	return doc, w.faults
}

// walker compares the JSON tokens of a file with the Go types that they are
// decoded into.
type walker struct {
	checker
	dec *json.Decoder
}

// value checks one value against type t. It returns an error only for malformed
// JSON.
func (w *walker) value(t reflect.Type, path string) error {
	switch t.Kind() {
	case reflect.Struct:
		return w.composite('{', path, "an object", func() error { return w.object(t, path) })
	case reflect.Slice:
		return w.composite('[', path, "a list", func() error { return w.list(t, path) })
	}
	var raw json.RawMessage
	if err := w.dec.Decode(&raw); err != nil {
		return err
	}
	if err := json.Unmarshal(raw, reflect.New(t).Interface()); err != nil {
		w.add(path, string(raw), "a value of type "+t.Kind().String())
	}
	return nil
}

// composite reads the first token of a value that should be an object or a
// list, and calls walk if it is delim. Any other value but null is a fault and
// skipped.
func (w *walker) composite(delim json.Delim, path, want string, walk func() error) error {
	token, err := w.dec.Token()
	switch {
	case err != nil:
		return err
	case token == delim:
		return walk()
	case token == nil: // null is the same as absent
		return nil
	}
	w.add(path, token, want)
	if d, ok := token.(json.Delim); ok {
		return w.skip(d)
	}
	return nil
}

// skip reads up to the end of a composite value whose opening token has been
// read.
func (w *walker) skip(json.Delim) error {
	for depth := 1; depth > 0; {
		token, err := w.dec.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
	}
	return nil
}

func (w *walker) object(t reflect.Type, path string) error {
	seen := map[string]bool{}
	for w.dec.More() {
		token, err := w.dec.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		fieldPath := strings.TrimPrefix(path+"."+name, ".")
		field, ok := fieldOf(t, name)
		if ok && !seen[name] {
			seen[name] = true
			if err := w.value(field.Type, fieldPath); err != nil {
				return err
			}
			continue
		}
		var raw json.RawMessage
		if err := w.dec.Decode(&raw); err != nil {
			return err
		}
		if ok {
			w.add(fieldPath+" (again)", string(raw), "each field once")
		} else {
			w.add(fieldPath, string(raw), "one of the fields: "+fieldNames(t))
		}
	}
	_, err := w.dec.Token()
	return err
}

func (w *walker) list(t reflect.Type, path string) error {
	for i := 0; w.dec.More(); i++ {
		if err := w.value(t.Elem(), fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	_, err := w.dec.Token()
	return err
}

func fieldOf(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ","); tag == name {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

func fieldNames(t reflect.Type) string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i], _, _ = strings.Cut(t.Field(i).Tag.Get("json"), ",")
	}
	return strings.Join(names, " ")
}
