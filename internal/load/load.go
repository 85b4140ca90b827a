// Package load drives entries through the client package and compares every
// answer with the one that the simulated endpoints are known to return.
//
// A Runner has several callers for each account. A caller requests short and
// long answers, makes calls that are idempotent and calls that are not, sends
// the same call through two entries at once, and disconnects from an answer and
// resumes it. The Report counts each violated guarantee.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"github.com/eelgrassdock/eelgrassdock/client"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/standin"
)

const (
	requestTimeout = 30 * time.Second // default time from a request to its deadline
	auditTimeout   = 2 * time.Second  // for one query of the executions that a plain replica has counted
	orderPrefix    = "order "         // start of the body of each call that may be executed only once
	medianTokens   = 120              // median length of an answer
	maxLatency     = 10 * 60 * 1000   // largest latency recorded, in milliseconds
)

type (
	// Account is a client account whose callers the load simulates.
	Account struct {
		ID      string `json:"id"`
		Key     string `json:"key"`
		Callers int    `json:"callers"`
	}

	// Runner runs one load. Its fields are set before Run.
	Runner struct {
		Entries  []string // addresses of entries
		Accounts []Account
		Place    string
		Model    string   // engine service
		Plain    string   // plain service with POST /orders and GET /stock
		Runs     []string // addresses of the plain replicas, queried at the end for what was executed
		Seed     uint64
		Max      int // largest answer in tokens; 400 if 0
		// Name is part of every key, so that two runs never use the same keys;
		// a random name if empty.
		Name string
		// Pause is the mean pause of a caller between requests.
		Pause time.Duration
		// Timeout is the time from a request to its deadline; 30 s if 0.
		Timeout time.Duration
		// Preemptions returns the number of preemptions at the engines. It is
		// called once, at the end; may be nil.
		Preemptions func() int64

		mu      sync.Mutex
		report  Report
		stall   *hdrhistogram.Histogram
		gap     *hdrhistogram.Histogram
		results map[string]callResult
		active  atomic.Int64
	}

	// Quantiles are latencies in milliseconds.
	Quantiles struct {
		P50 float64 `json:"p50"`
		P95 float64 `json:"p95"`
		P99 float64 `json:"p99"`
	}

	// Report is the result of a load.
	Report struct {
		Requests    int64            `json:"requests"`
		Answered    int64            `json:"answered"`
		Tokens      int64            `json:"tokens"`
		Duplicated  int64            `json:"duplicated"`
		Lost        int64            `json:"lost"`
		Crossed     int64            `json:"crossed"`
		RanTwice    int64            `json:"rantwice"`
		FalseNotRun int64            `json:"falsenotrun"`
		Refused     map[string]int64 `json:"refused"`
		Unknown     int64            `json:"unknown"`
		Resumed     int64            `json:"resumed"`
		Stall       Quantiles        `json:"stall"`
		Gap         Quantiles        `json:"gap"`
		Preemptions int64            `json:"preemptions"`
	}

	// callResult is the outcome that a caller received for a call that is not
	// idempotent.
	callResult struct {
		outcome refusal.Outcome
	}
)

// Broken reports whether a guarantee was violated.
func (r Report) Broken() bool {
	return r.Duplicated+r.Lost+r.Crossed+r.RanTwice+r.FalseNotRun > 0
}

// JSON returns the report as one line of JSON.
func (r Report) JSON() string {
	data, err := json.Marshal(r)
	if err != nil {
		return "{}"
	}
	return string(data)
}

// Progress returns the counts so far as a short line of text. The number after
// "refused" counts the distinct reasons of refusals, not the refusals.
func (l *Runner) Progress() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("requests %d answered %d tokens %d active %d refused %d unknown %d",
		l.report.Requests, l.report.Answered, l.report.Tokens, l.active.Load(), len(l.report.Refused), l.report.Unknown)
}

// Answered returns the number of requests that were answered so far.
func (l *Runner) Answered() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.report.Answered
}

// Run sends requests until ctx ends, waits for those in flight, and returns the
// report.
func (l *Runner) Run(ctx context.Context) Report {
	l.stall = hdrhistogram.New(1, maxLatency*1000, 3)
	l.gap = hdrhistogram.New(1, maxLatency*1000, 3)
	l.results = map[string]callResult{}
	l.report.Refused = map[string]int64{}
	if l.Name == "" {
		l.Name = uuid.NewString()
	}
	var wg conc.WaitGroup
	for a, account := range l.Accounts {
		for n := range account.Callers {
			random := rand.New(rand.NewPCG(l.Seed, uint64(a)<<32|uint64(n)))
			wg.Go(func() { l.runCaller(ctx, account, n, random) })
		}
	}
	wg.Wait()
	l.audit()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Stall, l.report.Gap = quantiles(l.stall), quantiles(l.gap)
	if l.Preemptions != nil {
		l.report.Preemptions = l.Preemptions()
	}
	return l.report
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}

// runCaller simulates one caller, which sends one request at a time until ctx
// ends.
func (l *Runner) runCaller(ctx context.Context, account Account, n int, random *rand.Rand) {
	c := &client.Client{
		Entries: l.Entries, Key: account.Key, Account: account.ID, Place: l.Place,
		Caller: fmt.Sprintf("person-%d/%s", n, uuid.NewString()),
		HTTP:   &http.Client{Transport: &http.Transport{DisableCompression: true}},
	}
	defer c.HTTP.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		l.active.Add(1)
		name := fmt.Sprintf("%s-%s-%d-%d", l.Name, account.ID, n, i)
		switch kind := random.IntN(10); {
		case kind < 6:
			l.sendPrompt(c, name, random)
		case kind < 8:
			l.sendOrder(c, name, random)
		default:
			l.queryStock(c, name)
		}
		l.active.Add(-1)
		pause := time.Duration(random.ExpFloat64() * float64(l.Pause))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (l *Runner) timeout() time.Duration {
	if l.Timeout > 0 {
		return l.Timeout
	}
	return requestTimeout
}

func (l *Runner) update(f func(r *Report)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.report)
}

// countRefusal counts an error by its reason and returns its outcome: whether
// the request has run.
func (l *Runner) countRefusal(err error) refusal.Outcome {
	fault := refusal.From(err)
	l.update(func(r *Report) {
		r.Refused[string(fault.Reason)]++
		if fault.Outcome == refusal.Unknown {
			r.Unknown++
		}
	})
	return fault.Outcome
}

// sendPrompt reads one answer and compares every token with the expected one.
// One in four answers is interrupted by a disconnect and resumed.
func (l *Runner) sendPrompt(c *client.Client, name string, random *rand.Rand) {
	limit := l.Max
	if limit == 0 {
		limit = 400
	}
	want := min(1+int(math.Exp(math.Log(medianTokens)+random.NormFloat64())), limit)
	text := fmt.Sprintf("guide %s length=%d %s", strings.Repeat("on a shared route ", random.IntN(30)), want, name)
	hangUp := -1
	if random.IntN(4) == 0 {
		hangUp = random.IntN(want + 1)
	}
	l.update(func(r *Report) { r.Requests++ })
	p := client.Prompt{Service: l.Model, Text: text, Max: limit, Deadline: time.Now().Add(l.timeout())}
	n, after, err := l.readAnswer(c, p, 0, hangUp)
	if err == nil && n < want && hangUp >= 0 {
		l.update(func(r *Report) { r.Resumed++ })
		// Without the ID of a token the answer is read from its beginning. The client
		// sets an ID on each token, so this occurs only if no token was received.
		if after == "" {
			n = 0
		}
		p.After = after
		n, _, err = l.readAnswer(c, p, n, -1)
	}
	if err != nil {
		_ = l.countRefusal(err)
		return
	}
	l.update(func(r *Report) {
		r.Answered++
		if n != want {
			r.Lost++
		}
	})
}

// readAnswer reads an answer of which the first n tokens have been received,
// and stops after token hangUp. It returns the number and the ID of the last
// token.
func (l *Runner) readAnswer(c *client.Client, p client.Prompt, n, hangUp int) (int, string, error) {
	if hangUp == 0 {
		hangUp = 1
	}
	last := time.Now()
	after := p.After
	for token, err := range c.Complete(context.Background(), p) {
		if err != nil {
			return n, after, err
		}
		now := time.Now()
		l.checkToken(token, n, p.Text, now.Sub(last))
		last, n, after = now, token.N, token.ID
		if n == hangUp {
			break
		}
	}
	return n, after, nil
}

// checkToken checks one token and records its latency.
func (l *Runner) checkToken(token client.Token, before int, prompt string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &l.report
	r.Tokens++
	switch {
	case token.N <= before:
		r.Duplicated++
	case token.N > before+1:
		r.Lost++
	}
	if token.Text != standin.Token(prompt, token.N) {
		r.Crossed++
	}
	h := l.gap
	if before == 0 {
		h = l.stall
	}
	_ = h.RecordValue(max(took.Microseconds(), 1))
}

// queryStock makes an idempotent call.
func (l *Runner) queryStock(c *client.Client, name string) {
	l.update(func(r *Report) { r.Requests++ })
	answer, err := c.Call(context.Background(), client.Call{
		Service: l.Plain, Method: http.MethodGet, Path: "/stock?item=" + name, Idempotent: true,
		Deadline: time.Now().Add(l.timeout()),
	})
	if err != nil {
		_ = l.countRefusal(err)
		return
	}
	l.checkAnswer(answer, "", "")
}

// checkAnswer checks that the answer to a call has the body and, unless empty,
// the key that were sent.
func (l *Runner) checkAnswer(answer client.Answer, body, key string) {
	var receipt standin.Receipt
	err := json.Unmarshal(answer.Body, &receipt)
	l.update(func(r *Report) {
		r.Answered++
		if err != nil || receipt.Echo != body || (key != "" && receipt.Key != key) {
			r.Crossed++
		}
	})
}

// sendOrder makes a call that is not idempotent. For half of the calls the
// client package generates the key; the others set a key, and half of these go
// to two entries at once.
func (l *Runner) sendOrder(c *client.Client, name string, random *rand.Rand) {
	body := orderPrefix + name
	call := client.Call{
		Service: l.Plain, Method: http.MethodPost, Path: "/orders", Body: []byte(body),
		Deadline: time.Now().Add(l.timeout()),
	}
	copies := 1
	if random.IntN(2) == 0 {
		call.Key = "order-" + name
		copies += random.IntN(2)
	}
	var wg conc.WaitGroup
	outcomes := make([]refusal.Outcome, copies)
	for i := range copies {
		wg.Go(func() { outcomes[i] = l.sendCall(c, call, body) })
	}
	wg.Wait()
	if call.Key == "" {
		return
	}
	// The call has not run only if this is the outcome of every copy.
	outcome := refusal.NotRun
	for _, o := range outcomes {
		if o != refusal.NotRun {
			outcome = o
		}
	}
	l.mu.Lock()
	l.results[call.Key] = callResult{outcome: outcome}
	l.mu.Unlock()
}

func (l *Runner) sendCall(c *client.Client, call client.Call, body string) refusal.Outcome {
	l.update(func(r *Report) { r.Requests++ })
	answer, err := c.Call(context.Background(), call)
	if err == nil {
		l.checkAnswer(answer, body, call.Key)
		return refusal.Run
	}
	outcome := l.countRefusal(err)
	if call.Key == "" && outcome == refusal.NotRun {
		// The key that the client generated is not known here, so the call is
		// identified by its body.
		l.mu.Lock()
		l.results[standin.BodyKey+body] = callResult{outcome: refusal.NotRun}
		l.mu.Unlock()
	}
	return outcome
}

// audit queries the plain replicas for what was executed and compares it with
// the outcomes that the callers received.
func (l *Runner) audit() {
	total := map[string]int{}
	for _, addr := range l.Runs {
		runs, err := fetchRuns(addr)
		if err != nil {
			continue
		}
		for key, n := range runs {
			total[key] += n
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, n := range total {
		if n > 1 && strings.HasPrefix(key, standin.BodyKey+orderPrefix) {
			l.report.RanTwice++
		}
	}
	for key, v := range l.results {
		if v.outcome == refusal.NotRun && total[key] > 0 {
			l.report.FalseNotRun++
		}
	}
}

func fetchRuns(addr string) (map[string]int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), auditTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/runs", nil)
	if err != nil {
		return nil, fmt.Errorf("create request for executed calls: %w", err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("query executed calls of service: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, errors.Newf("query executed calls of service: status %d", res.StatusCode)
	}
	runs := map[string]int{}
	if err := json.NewDecoder(res.Body).Decode(&runs); err != nil {
		return nil, fmt.Errorf("decode executed calls: %w", err)
	}
	return runs, nil
}
