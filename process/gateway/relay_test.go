package gateway

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// Guards against a stream that ends as complete because its continuation ended
// without any event. A caller that resumes by itself may have received them all.
func TestContinuationWithoutEvents(t *testing.T) {
	for _, path := range []string{"/short/1", "/guide/1"} {
		synctest.Test(t, func(t *testing.T) {
			w := newTestGateway(t)
			w.answer = func(n int, _ Call) (*Answer, error) {
				if n == 0 {
					return breakingStream("first", 1, 1), nil
				}
				return eventStream("second", 2, 1, false), nil
			}
			rec, err := w.request(path)
			require.ErrorIs(t, err, ErrCut, path)
			require.Equal(t, []string{"1"}, eventIDs(rec.Body.String()))
			require.Len(t, w.calls, 2)
		})
	}
	w := newTestGateway(t)
	w.answer = func(int, Call) (*Answer, error) { return eventStream("first", 8, 7, false), nil }
	r := promptRequest("/short/1")
	r.After = "7"
	_, err := w.requestWith(t.Context(), r)
	require.NoError(t, err)
}
