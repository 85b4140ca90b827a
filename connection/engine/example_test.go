package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// A rejection has the outcome "not run" only if it carries NotRunHeader.
func ExampleConn_Generate() {
	replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req engine.Request
		_ = json.NewDecoder(r.Body).Decode(&req)
		if req.Max > 1000 {
			w.Header().Set(engine.NotRunHeader, "true")
		}
		http.Error(w, "queue full", http.StatusServiceUnavailable)
	}))
	defer replica.Close()
	conn := engine.Conn{Addr: replica.Listener.Addr().String(), HTTP: replica.Client()}
	for _, limit := range []int{10, 5000} {
		_, err := conn.Generate(context.Background(), engine.Request{Gen: "g1", Prompt: "Hello", Max: limit})
		fmt.Println(refusal.From(err).Reason, refusal.From(err).Outcome)
	}
	// Output:
	// garbage unknown
	// rejected not run
}
