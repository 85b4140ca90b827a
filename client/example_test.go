package client_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/eelgrassdock/eelgrassdock/client"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// serve starts a server that acts as an entry: it answers requests for the list of
// entries with its own address, and those for path with answer.
func serve(path string, answer http.HandlerFunc) *httptest.Server {
	mux := http.NewServeMux()
	mux.HandleFunc(path, answer)
	mux.HandleFunc("/v1/entries", func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"entries":[{"id":"riga-1","addr":%q}],"until":"2100-01-01T00:00:00Z"}`, r.Host)
	})
	return httptest.NewServer(mux)
}

// The connection breaks after two tokens. The client resumes the stream after the
// second one.
func ExampleClient_Complete() {
	entry := serve("/v1/completions", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-ID") != "SEALED.2" {
			fmt.Fprint(w, "event: open\nid: SEALED.0\ndata: {}\n\n")
			fmt.Fprint(w, "id: SEALED.1\ndata: {\"choices\":[{\"text\":\"one\"}]}\n\n")
			fmt.Fprint(w, "id: SEALED.2\ndata: {\"choices\":[{\"text\":\"two\"}]}\n\n")
			return
		}
		fmt.Fprint(w, "id: SEALED.3\ndata: {\"choices\":[{\"text\":\"three\"}]}\n\ndata: [DONE]\n\n")
	})
	defer entry.Close()
	c := client.Client{Entries: []string{entry.Listener.Addr().String()}, Key: "key", Caller: "ann/7f3a"}
	for token, err := range c.Complete(context.Background(), client.Prompt{Service: "chat", Text: "count"}) {
		fmt.Println(token.N, token.Text, err)
	}
	// Output:
	// 1 one <nil>
	// 2 two <nil>
	// 3 three <nil>
}

// The error of a refused call states whether the call ran.
func ExampleClient_Call() {
	entry := serve("/v1/services/orders/", func(w http.ResponseWriter, _ *http.Request) {
		refusal.Write(w, refusal.New(refusal.Forbidden, refusal.NotRun, "not your service"), time.Now())
	})
	defer entry.Close()
	c := client.Client{Entries: []string{entry.Listener.Addr().String()}, Key: "key"}
	_, err := c.Call(context.Background(), client.Call{Service: "orders", Method: http.MethodPost, Path: "/orders"})
	fmt.Println(err)
	// Output: forbidden (not run): not your service
}
