package check

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestStruct guards against an error that omits a violation, or the field, the
// value or the rule of one.
func TestStruct(t *testing.T) {
	type settings struct {
		Addr  string `validate:"required,ipport"`
		Count int    `validate:"gte=1,lte=5"`
	}
	require.NoError(t, Struct(settings{Addr: "10.0.0.1:80", Count: 5}))
	require.EqualError(t, Struct(settings{Addr: "host:80", Count: 9}),
		`addr: value "host:80" does not satisfy ipport; count: value "9" does not satisfy lte=5`)
}
