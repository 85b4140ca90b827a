package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
)

const (
	maxAnswerBytes = 64 << 20 // largest body of a request or response that is read
)

// Remote is a platform that is called over HTTP. URL is its base URL, without a
// trailing slash.
type Remote struct {
	URL  string
	HTTP *http.Client // http.DefaultClient if nil
}

// Platform returns calls that are sent to r.URL.
func (r *Remote) Platform() Platform {
	return Platform{
		Get: func(ctx context.Context, key string) (Row, error) {
			var row Row
			err := r.call(ctx, http.MethodGet, "/row", url.Values{"key": {key}}, nil, &row)
			return row, err
		},
		List: func(ctx context.Context, prefix, after string, n int) ([]Row, error) {
			var rows []Row
			query := url.Values{"prefix": {prefix}, "after": {after}, "n": {strconv.Itoa(n)}}
			err := r.call(ctx, http.MethodGet, "/rows", query, nil, &rows)
			return rows, err
		},
		Commit: func(ctx context.Context, ops []Op) error {
			body, err := json.Marshal(ops)
			if err != nil {
				return fmt.Errorf("encode commit: %w", err)
			}
			return r.call(ctx, http.MethodPost, "/commit", nil, body, nil)
		},
		GetObject: func(ctx context.Context, name string) ([]byte, error) {
			var data []byte
			err := r.call(ctx, http.MethodGet, "/object", url.Values{"name": {name}}, nil, &data)
			return data, err
		},
		PutObject: func(ctx context.Context, name string, data []byte) error {
			body, err := json.Marshal(data)
			if err != nil {
				return fmt.Errorf("encode object: %w", err)
			}
			return r.call(ctx, http.MethodPut, "/object", url.Values{"name": {name}}, body, nil)
		},
		Instances: func(ctx context.Context) ([]Instance, error) {
			var list []Instance
			err := r.call(ctx, http.MethodGet, "/instances", nil, nil, &list)
			return list, err
		},
	}
}

// call makes one call and decodes the response into answer unless that is nil.
// It returns ErrUnknown for a write whose response did not arrive and ErrDown
// for a read.
func (r *Remote) call(ctx context.Context, method, path string, query url.Values, body []byte, answer any) error {
	req, err := http.NewRequestWithContext(ctx, method, r.URL+path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make platform request: %w", err)
	}
	// Without GetBody, the transport never sends a write a second time.
	req.GetBody = nil
	client := r.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	lost := ErrDown
	if method != http.MethodGet {
		lost = ErrUnknown
	}
	res, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("call platform %s %s: %w: %w", method, path, lost, err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("read platform answer: %w: %w", lost, err)
	}
	if err := statusError(res.StatusCode, lost); err != nil {
		return fmt.Errorf("platform %s %s: %w", method, path, err)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return fmt.Errorf("decode platform answer: %w", err)
	}
	return nil
}

// statusError maps the status codes of Handler back to errors. For an unexpected
// status it returns an error that wraps lost.
func statusError(status int, lost error) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrConflict
	case http.StatusTooManyRequests:
		return ErrLimited
	case http.StatusServiceUnavailable:
		return ErrDown
	case http.StatusNotFound:
		return ErrAbsent
	default:
		return fmt.Errorf("status %d: %w", status, lost)
	}
}
