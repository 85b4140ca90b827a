package statuscode

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// Guards against a code that is taken for another kind of answer at the ends of the ranges.
func TestKinds(t *testing.T) {
	for _, x := range []struct {
		code           int
		interim, final bool
	}{
		{-1, false, false},
		{0, false, false},
		{99, false, false},
		{100, true, false},
		{101, false, false},
		{102, true, false},
		{199, true, false},
		{200, false, true},
		{599, false, true},
		{600, false, false},
		{999, false, false},
	} {
		require.Equal(t, x.interim, IsInterim(x.code), x.code)
		err := CheckFinal(x.code)
		require.Equal(t, x.final, err == nil, x.code)
		require.Equal(t, !x.final, errors.Is(err, ErrInvalid), x.code)
	}
}
