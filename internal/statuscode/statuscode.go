// Package statuscode tells which status codes an HTTP answer can have. The reader of net/http
// accepts any three digits.
package statuscode

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
)

const last = 599 // RFC 9110, section 15

// ErrInvalid is wrapped by the error for a code that no final answer can have.
var ErrInvalid = errors.New("invalid status")

// IsInterim reports whether another answer to the same request follows on the connection. After
// 101 the connection carries another protocol, so that code is neither interim nor final.
func IsInterim(code int) bool {
	return code >= http.StatusContinue && code < http.StatusOK && code != http.StatusSwitchingProtocols
}

// CheckFinal returns an error that wraps ErrInvalid unless code can be that of a final answer.
func CheckFinal(code int) error {
	if code < http.StatusOK || code > last {
		return fmt.Errorf("%w %03d, want %d to %d", ErrInvalid, code, http.StatusOK, last)
	}
	return nil
}
