// Package uri builds the URLs of requests whose target is passed on as it came.
package uri

import (
	"fmt"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalid marks the error of a target that cannot be sent byte for byte.
var ErrInvalid = errors.New("target must be a path, with or without a query, in the characters of a URL")

// New returns the URL with which net/http sends a request for target to host, byte for byte.
// The target is a path, which may have a query. It is neither cleaned nor escaped anew. The
// error wraps ErrInvalid.
func New(host, target string) (*url.URL, error) {
	u := &url.URL{Scheme: "http", Host: host, Opaque: target}
	// net/http writes the scheme before an opaque part that begins with two slashes: the
	// target then names another host and another path.
	if strings.HasPrefix(target, "//") {
		path, query, asked := strings.Cut(target, "?")
		plain, err := url.PathUnescape(path)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
		}
		u = &url.URL{Scheme: "http", Host: host, Path: plain, RawPath: path, RawQuery: query, ForceQuery: asked}
	}
	hasControl := strings.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r == 0x7f })
	if !strings.HasPrefix(target, "/") || hasControl || u.RequestURI() != target {
		return nil, ErrInvalid
	}
	return u, nil
}
