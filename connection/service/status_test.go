package service_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/connection/service"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// Guards against an answer whose status is none, such as 000, that is passed on or proves that
// the call was not executed.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "042", "099", "101", "600", "999"} {
		for _, header := range []string{"", "X-Not-Run: true\r\n"} {
			addr, got := server(t, "HTTP/1.1 "+status+" Status\r\n"+header+"Content-Length: 2\r\n\r\nok")
			conn := &service.Conn{Addr: addr}
			answer, err := conn.Do(t.Context(), service.Call{Method: http.MethodPost, Path: "/orders", Deadline: time.Now().Add(10 * time.Second)})
			require.Error(t, err, status)
			require.Equal(t, refusal.Garbage, refusal.From(err).Reason, status)
			require.Equal(t, refusal.Unknown, refusal.From(err).Outcome, status)
			require.Zero(t, answer)
			require.EqualValues(t, 1, got.Load(), status)
		}
	}
}
