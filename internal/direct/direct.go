// Package direct keeps an HTTP client from sending a request anywhere else than
// it was told to.
package direct

import "net/http"

// Client gives a copy of c, or of http.DefaultClient if c is nil, that takes a
// redirect as the answer. Following it would be a second request, whose answer
// says nothing of the first.
func Client(c *http.Client) *http.Client {
	if c == nil {
		c = http.DefaultClient
	}
	client := *c
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &client
}
