// Package client is the Go client of eelgrassdock.
//
// A Client queries any entry for the list of entries to use, caches that list
// until it expires, and connects to those entries directly. If the connection of
// a stream breaks, the client resumes the stream at another entry after the last
// token received; no token is dropped or delivered twice. A call that is not
// idempotent is never repeated with another key once it may have run: the key
// determines the one entry that may dispatch the call, and sending the call again
// with the same key returns the result or proves that the call has not run and
// never will.
//
// Errors of entries and of the network are *refusal.Error values, whose Outcome
// states whether the request ran, did not run, or may have run.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassdock/eelgrassdock/internal/direct"
	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/internal/statuscode"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/request/uri"
)

const (
	maxAnswerBytes = 16 << 20               // largest answer to a call
	maxLocateBytes = 1 << 20                // bytes that are read of a list of entries or of a refusal
	firstBackoff   = 50 * time.Millisecond  // mean wait before the second attempt; doubles with each one
	lastBackoff    = 2 * time.Second        // longest mean wait between attempts
	locateTimeout  = 2 * time.Second        // limit for one entry to return the list of entries
	defaultTimeout = 5 * time.Minute        // deadline of a request without one
	penaltyUnit    = 200 * time.Millisecond // an entry that failed is tried last for ten of these
)

type (
	// Client makes requests for one caller. It may be used concurrently; exported
	// fields must be set before.
	Client struct {
		// Entries are the addresses, "IP:port", of some entries, which are
		// queried for the list of entries to use.
		Entries []string
		// Key authenticates the account.
		Key string
		// Account and Place are optional hints for the choice of entries.
		Account string
		Place   string
		// Caller distinguishes the users of one account. It should contain a
		// random part that the others cannot guess.
		Caller string
		// HTTP makes the requests; http.DefaultClient if nil. Its Timeout
		// should be zero, because it would end streams.
		HTTP *http.Client
		// Now is the clock; time.Now if nil.
		Now func() time.Time

		mu          sync.Mutex
		located     map[string]locateAnswer // by service
		failedUntil map[string]time.Time    // by address: the entry is tried last until then
	}

	// Entry is one of the system's entries.
	Entry struct {
		ID    string `json:"id"`
		Addr  string `json:"addr"`
		Place string `json:"place"`
	}

	locateAnswer struct {
		Entries []Entry   `json:"entries"`
		Until   time.Time `json:"until"`
	}
)

func (c *Client) now() time.Time {
	if c.Now != nil {
		return c.Now()
	}
	return time.Now()
}

func (c *Client) client() *http.Client {
	return direct.Client(c.HTTP)
}

// Locate returns the entries to use for a service, best first. The list is cached
// until it expires, and longer if no entry answers. It fails, with a *refusal.Error
// of reason Dial and outcome NotRun, only if no entry has ever answered.
func (c *Client) Locate(ctx context.Context, service string) ([]Entry, error) {
	c.mu.Lock()
	known, ok := c.located[service]
	c.mu.Unlock()
	if ok && c.now().Before(known.Until) {
		return c.failedLast(known.Entries), nil
	}
	var err error
	for _, addr := range c.sources() {
		var fresh locateAnswer
		if fresh, err = c.fetchEntries(ctx, addr, service); err == nil && len(fresh.Entries) > 0 {
			c.mu.Lock()
			if c.located == nil {
				c.located = map[string]locateAnswer{}
			}
			c.located[service] = fresh
			c.mu.Unlock()
			return c.failedLast(fresh.Entries), nil
		}
	}
	if len(known.Entries) > 0 {
		// An expired list is still usable: an entry that has left refuses requests
		// with the right outcome.
		return c.failedLast(known.Entries), nil
	}
	return nil, refusal.New(refusal.Dial, refusal.NotRun, fmt.Sprintf("no entry answered which entries to use: %v", err))
}

// sources returns the addresses of all known entries in random order, so that
// clients with the same fixed list do not all query the same entry.
func (c *Client) sources() []string {
	list := append([]string(nil), c.Entries...)
	c.mu.Lock()
	for _, known := range c.located {
		for _, e := range known.Entries {
			list = append(list, e.Addr)
		}
	}
	c.mu.Unlock()
	slices.Sort(list)
	list = slices.Compact(list)
	rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	return list
}

// fetchEntries queries an entry for the entries to use for a service.
func (c *Client) fetchEntries(ctx context.Context, addr, service string) (locateAnswer, error) {
	var a locateAnswer
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	query := url.Values{"account": {c.Account}, "service": {service}, "place": {c.Place}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/entries?"+query.Encode(), nil)
	if err != nil {
		return a, fmt.Errorf("make locate request: %w", err)
	}
	res, err := c.client().Do(req)
	if err != nil {
		return a, fmt.Errorf("query %s for entries: %w", addr, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return a, fmt.Errorf("query %s for entries: status %d", addr, res.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxLocateBytes)).Decode(&a); err != nil {
		return a, fmt.Errorf("decode entries from %s: %w", addr, err)
	}
	return a, nil
}

// failedLast returns entries in the same order, but with those that failed recently
// at the end.
func (c *Client) failedLast(entries []Entry) []Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	good, bad := make([]Entry, 0, len(entries)), []Entry(nil)
	for _, e := range entries {
		if now.Before(c.failedUntil[e.Addr]) {
			bad = append(bad, e)
		} else {
			good = append(good, e)
		}
	}
	return append(good, bad...)
}

// markFailed records that an entry could not be reached or refused a request, and
// expires the cached list of the service, so that a new one is fetched.
func (c *Client) markFailed(addr, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failedUntil == nil {
		c.failedUntil = map[string]time.Time{}
	}
	c.failedUntil[addr] = c.now().Add(penaltyUnit * 10)
	if a, ok := c.located[service]; ok {
		a.Until = time.Time{}
		c.located[service] = a
	}
}

// send sends a request to an entry at most once. sent reports whether a connection
// was obtained, in which case the entry may have received the request.
func (c *Client) send(ctx context.Context, e Entry, method, path string, header http.Header, body []byte) (res *http.Response, sent bool, err error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent = true },
	})
	target, err := uri.New(e.Addr, path)
	if err != nil {
		return nil, false, fmt.Errorf("make request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.Addr, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, false, fmt.Errorf("make request: %w", err)
	}
	req.URL = target
	// Without GetBody net/http cannot send the body a second time.
	req.ContentLength = int64(len(body))
	req.Header = header.Clone()
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("X-Caller", c.Caller)
	res, err = c.client().Do(req)
	if err != nil {
		return nil, sent, err
	}
	if err := statuscode.CheckFinal(res.StatusCode); err != nil {
		res.Body.Close()
		return nil, sent, fmt.Errorf("read answer of %s: %w", e.Addr, err)
	}
	return res, sent, nil
}

// pause waits after attempt n, counted from 0, with exponential backoff and jitter,
// or until the given time if that is later, but for that at most lastBackoff. It
// reports whether ctx is still alive.
func pause(ctx context.Context, n int, until time.Time) bool {
	wait := min(firstBackoff<<min(n, 10), lastBackoff)
	wait = time.Duration((0.5 + rand.Float64()) * float64(wait))
	if left := time.Until(until); !until.IsZero() && left > wait {
		wait = min(left, lastBackoff)
	}
	return sleep.For(ctx, wait)
}

// readRefusal reads and decodes the refusal in the body of an answer.
func readRefusal(res *http.Response) *refusal.Error {
	data, err := io.ReadAll(io.LimitReader(res.Body, maxLocateBytes))
	if err != nil {
		return refusal.FromCallError(err, true)
	}
	return refusal.Parse(data)
}
