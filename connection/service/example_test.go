package service_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
	"github.com/eelgrassdock/eelgrassdock/connection/service"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// An answer has outcome Run, whatever its status, unless it carries NotRunHeader:
// the replica rejected the call before executing it.
func ExampleConn_Do() {
	replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/full" {
			w.Header().Set(engine.NotRunHeader, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprint(w, "booked under ", r.Header.Get(service.KeyHeader))
	}))
	defer replica.Close()
	conn := service.Conn{Addr: replica.Listener.Addr().String(), HTTP: replica.Client()}
	call := service.Call{Method: http.MethodPost, Path: "/orders", Key: "k1", Deadline: time.Now().Add(time.Minute)}
	answer, err := conn.Do(context.Background(), call)
	fmt.Println(answer.Status, string(answer.Body), err)
	call.Path = "/full"
	_, err = conn.Do(context.Background(), call)
	fmt.Println(refusal.From(err).Reason, refusal.From(err).Outcome)
	// Output:
	// 200 booked under k1 <nil>
	// rejected not run
}
