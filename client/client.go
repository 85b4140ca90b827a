// Package client lets programs call eelgrassdock.
//
// A Client asks any entry which entries to use, keeps that answer until it
// expires, and connects to those entries directly. A stream whose connection
// breaks is read on through another entry from the token after the last one
// received; no token is dropped or delivered twice. A call that is not
// idempotent is never sent again under another key once it may have run: the
// key names the one entry that may dispatch it, and asking again with the same
// key fetches the result or proves that the call has not run and never will.
//
// Errors of entries and of the network are *refusal.Error values: their
// Outcome says whether the request ran, did not run, or may have run.
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
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

const (
	maxAnswer    = 16 << 20               // largest answer that is read
	maxLocate    = 1 << 20                // largest locate answer that is read
	firstBackoff = 50 * time.Millisecond  // mean wait before the first repeated attempt
	lastBackoff  = 2 * time.Second        // longest mean wait between attempts
	locateTime   = 2 * time.Second        // time for one entry to answer which entries to use
	defaultTime  = 5 * time.Minute        // deadline of a request that names none
	locateRetry  = 200 * time.Millisecond // an entry that failed is tried last for this long, times its failures
)

type (
	// Client calls the system for one caller. Its fields are set before use.
	Client struct {
		// Entries are addresses, "IP:port", of some entries to ask first.
		Entries []string
		// Key authenticates the account.
		Key string
		// Account and Place help the system to choose entries. Both are optional.
		Account string
		Place   string
		// Caller tells people on one account apart. It should hold a random part
		// that colleagues cannot guess.
		Caller string
		// HTTP makes the requests; http.DefaultClient if nil. Its Timeout would
		// cut streams off and is best left zero.
		HTTP *http.Client
		// Now is the clock; time.Now if nil.
		Now func() time.Time

		mu      sync.Mutex
		answers map[string]answer
		bad     map[string]time.Time // entry address to the time until which it is tried last
	}

	// Entry is one of the system's entries.
	Entry struct {
		ID    string `json:"id"`
		Addr  string `json:"addr"`
		Place string `json:"place"`
	}

	answer struct {
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

// Locate gives the entries to use for a service, best first. The answer is
// kept until it expires, and longer if no entry answers. It fails, with a
// *refusal.Error of reason Dial and outcome NotRun, only if no entry ever did.
func (c *Client) Locate(ctx context.Context, service string) ([]Entry, error) {
	c.mu.Lock()
	known, ok := c.answers[service]
	c.mu.Unlock()
	if ok && c.now().Before(known.Until) {
		return c.order(known.Entries), nil
	}
	var err error
	for _, addr := range c.sources() {
		var fresh answer
		if fresh, err = c.ask(ctx, addr, service); err == nil && len(fresh.Entries) > 0 {
			c.mu.Lock()
			if c.answers == nil {
				c.answers = map[string]answer{}
			}
			c.answers[service] = fresh
			c.mu.Unlock()
			return c.order(fresh.Entries), nil
		}
	}
	if len(known.Entries) > 0 {
		// An old answer is better than none: an entry that left refuses truly.
		return c.order(known.Entries), nil
	}
	return nil, refusal.New(refusal.Dial, refusal.NotRun, fmt.Sprintf("no entry answered which entries to use: %v", err))
}

// sources lists the addresses to ask, those of all known entries, in random order so that a fixed list
// does not send every client to the same entry.
func (c *Client) sources() []string {
	list := append([]string(nil), c.Entries...)
	c.mu.Lock()
	for _, known := range c.answers {
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

func (c *Client) ask(ctx context.Context, addr, service string) (answer, error) {
	var a answer
	ctx, cancel := context.WithTimeout(ctx, locateTime)
	defer cancel()
	query := url.Values{"account": {c.Account}, "service": {service}, "place": {c.Place}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/entries?"+query.Encode(), nil)
	if err != nil {
		return a, fmt.Errorf("make locate request: %w", err)
	}
	res, err := c.client().Do(req)
	if err != nil {
		return a, fmt.Errorf("ask %s for entries: %w", addr, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return a, fmt.Errorf("ask %s for entries: status %d", addr, res.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxLocate)).Decode(&a); err != nil {
		return a, fmt.Errorf("decode entries from %s: %w", addr, err)
	}
	return a, nil
}

// order puts entries that failed lately behind the others.
func (c *Client) order(entries []Entry) []Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	good, bad := make([]Entry, 0, len(entries)), []Entry(nil)
	for _, e := range entries {
		if now.Before(c.bad[e.Addr]) {
			bad = append(bad, e)
		} else {
			good = append(good, e)
		}
	}
	return append(good, bad...)
}

// failed notes that an entry could not be reached or refused, and forgets the
// locate answer, so that the next one reflects the change.
func (c *Client) failed(addr, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bad == nil {
		c.bad = map[string]time.Time{}
	}
	c.bad[addr] = c.now().Add(locateRetry * 10)
	if a, ok := c.answers[service]; ok {
		a.Until = time.Time{}
		c.answers[service] = a
	}
}

// send sends one request to an entry. Sent tells whether a connection was
// obtained, so that the entry may have received it.
func (c *Client) send(ctx context.Context, e Entry, method, path string, header http.Header, body []byte) (res *http.Response, sent bool, err error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent = true },
	})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.Addr+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, false, fmt.Errorf("make request: %w", err)
	}
	// Without GetBody the transport never sends the body a second time.
	req.ContentLength = int64(len(body))
	req.Header = header.Clone()
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("X-Caller", c.Caller)
	res, err = c.client().Do(req)
	return res, sent, err
}

// pause waits before attempt n, with jitter, and tells whether ctx is alive.
func pause(ctx context.Context, n int, until time.Time) bool {
	wait := min(firstBackoff<<min(n, 10), lastBackoff)
	wait = time.Duration((0.5 + rand.Float64()) * float64(wait))
	if left := time.Until(until); !until.IsZero() && left > wait {
		wait = min(left, lastBackoff)
	}
	return sleep.For(ctx, wait)
}

// readRefusal decodes the refusal in an answer.
func readRefusal(res *http.Response) *refusal.Error {
	data, err := io.ReadAll(io.LimitReader(res.Body, maxLocate))
	if err != nil {
		return refusal.FromCallError(err, true)
	}
	return refusal.Parse(data)
}
