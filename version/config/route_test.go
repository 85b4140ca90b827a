package config

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a call that is matched to the wrong route and gets that
// route's idempotency, so that it might run twice.
func TestRoute(t *testing.T) {
	s := Service{Routes: []Route{
		{Method: "GET", Path: "/orders/:id"},
		{Method: "POST", Path: "/orders"},
		{Method: "GET", Path: "/orders/new"},
		{Method: "GET", Path: "/files/*rest"},
		{Method: "GET", Path: "/orders/:id/lines/:line"},
	}}
	for _, c := range []struct{ method, path, want string }{
		{"POST", "/orders", "/orders"},
		{"GET", "/orders", ""},
		{"GET", "/orders/7", "/orders/:id"},
		{"GET", "/orders/new", "/orders/new"},
		{"GET", "/orders/", ""},
		{"GET", "/orders/7/", ""},
		{"GET", "/orders/7/lines/2", "/orders/:id/lines/:line"},
		{"GET", "/orders//lines/2", ""},
		{"GET", "/files/", "/files/*rest"},
		{"GET", "/files/a/b", "/files/*rest"},
		{"GET", "/files", ""},
		{"DELETE", "/orders/7", ""},
		{"GET", "", ""},
	} {
		got := ""
		if r := s.Route(c.method, c.path); r != nil {
			got = r.Path
		}
		require.Equal(t, c.want, got, c.method+" "+c.path)
	}
}
