// Package direct keeps an HTTP client from following redirects, so that a
// request is sent only to the address that the caller chose.
package direct

import "net/http"

// Client returns a copy of c, or of http.DefaultClient if c is nil, that returns
// a redirect as the response. Following it would send a second request, whose
// response says nothing about the outcome of the first.
func Client(c *http.Client) *http.Client {
	if c == nil {
		c = http.DefaultClient
	}
	client := *c
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &client
}
