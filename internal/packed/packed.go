// Package packed decodes msgpack that another program may have written.
package packed

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// Unmarshal decodes data into v. It fails, before it allocates anything for them, if a list
// or a text in data is longer than data: the library allocates a list at the length that
// the data states, and a few bytes would use up all memory. A type that decodes a list
// without its length cannot be checked.
func Unmarshal(data []byte, v any) error {
	// Skip reads each element and allocates nothing for a list.
	if err := msgpack.NewDecoder(bytes.NewReader(data)).Skip(); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, v)
}
