package service

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
)

// Guards against a second request, and a wrong outcome NotRun, when the answer to a
// call that ran is a redirect.
func TestRedirectIsTheAnswer(t *testing.T) {
	for _, status := range []int{301, 302, 303, 307, 308} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			requests := 0
			replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests++
				if r.URL.Path == "/orders" {
					http.Redirect(w, r, "/orders/7", status)
					return
				}
				w.Header().Set(engine.NotRunHeader, "true")
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			conn := Conn{Addr: replica.Listener.Addr().String(), HTTP: replica.Client()}
			answer, err := conn.Do(context.Background(), Call{Method: method, Path: "/orders", Deadline: time.Now().Add(time.Minute)})
			replica.Close()
			require.NoError(t, err)
			require.Equal(t, status, answer.Status)
			require.Equal(t, "/orders/7", answer.Header.Get("Location"))
			require.Equal(t, 1, requests)
		}
	}
}
