// Package load drives entries through the client package and checks every
// answer against what the simulated endpoints must give.
//
// Several callers work under each account. They ask for short and long
// answers, make calls that are idempotent and calls that are not, send the
// same call to two entries at once, and hang up and resume. The report counts
// each broken promise.
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
	requestTime  = 30 * time.Second // time from a request to its deadline
	checkTime    = 2 * time.Second  // time for a service to say what ran
	orderWord    = "order "         // begins the body of each call that may run only once
	medianTokens = 120              // median length of an answer
	longest      = 10 * 60 * 1000   // largest latency recorded, in ms
)

type (
	// Account is an account to work under.
	Account struct {
		ID      string `json:"id"`
		Key     string `json:"key"`
		Callers int    `json:"callers"`
	}

	// Runner is one load. Its fields are set before Run.
	Runner struct {
		Entries  []string // addresses of entries
		Accounts []Account
		Place    string
		Model    string   // engine service
		Plain    string   // plain service with POST /orders and GET /stock
		Runs     []string // addresses of the plain replicas, asked for what ran
		Seed     uint64
		Max      int // largest answer in tokens; 0 means 400
		// Name is part of every key, so that the keys of one run are not those
		// of an earlier one; a random name if empty.
		Name string
		// Pause is the mean pause of a caller between requests.
		Pause time.Duration
		// Patience is the time from a request to its deadline; 30 s if 0.
		Patience time.Duration
		// Preemptions reads the engines' count at the end; may be nil.
		Preemptions func() int64

		mu     sync.Mutex
		report Report
		stall  *hdrhistogram.Histogram
		gap    *hdrhistogram.Histogram
		keys   map[string]verdict
		live   atomic.Int64
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

	// verdict is what a caller was told of a call that is not idempotent.
	verdict struct {
		outcome refusal.Outcome
	}
)

// Broken tells whether the report shows a broken promise.
func (r Report) Broken() bool {
	return r.Duplicated+r.Lost+r.Crossed+r.RanTwice+r.FalseNotRun > 0
}

// Write gives the report as one line of JSON.
func (r Report) Write() string {
	data, err := json.Marshal(r)
	if err != nil {
		return "{}"
	}
	return string(data)
}

// Progress gives the counts so far in a few words.
func (l *Runner) Progress() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("requests %d answered %d tokens %d active %d refused %d unknown %d",
		l.report.Requests, l.report.Answered, l.report.Tokens, l.live.Load(), len(l.report.Refused), l.report.Unknown)
}

// Run works until ctx ends, lets the requests in flight end, and reports.
func (l *Runner) Run(ctx context.Context) Report {
	l.stall = hdrhistogram.New(1, longest*1000, 3)
	l.gap = hdrhistogram.New(1, longest*1000, 3)
	l.keys = map[string]verdict{}
	l.report.Refused = map[string]int64{}
	if l.Name == "" {
		l.Name = uuid.NewString()
	}
	var wg conc.WaitGroup
	for a, account := range l.Accounts {
		for n := range account.Callers {
			random := rand.New(rand.NewPCG(l.Seed, uint64(a)<<32|uint64(n)))
			wg.Go(func() { l.caller(ctx, account, n, random) })
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

// caller is one person: one request after the other.
func (l *Runner) caller(ctx context.Context, account Account, n int, random *rand.Rand) {
	c := &client.Client{
		Entries: l.Entries, Key: account.Key, Account: account.ID, Place: l.Place,
		Caller: fmt.Sprintf("person-%d/%s", n, uuid.NewString()),
		HTTP:   &http.Client{Transport: &http.Transport{DisableCompression: true}},
	}
	defer c.HTTP.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		l.live.Add(1)
		name := fmt.Sprintf("%s-%s-%d-%d", l.Name, account.ID, n, i)
		switch kind := random.IntN(10); {
		case kind < 6:
			l.prompt(c, name, random)
		case kind < 8:
			l.order(c, name, random)
		default:
			l.stock(c, name)
		}
		l.live.Add(-1)
		pause := time.Duration(random.ExpFloat64() * float64(l.Pause))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (l *Runner) patience() time.Duration {
	if l.Patience > 0 {
		return l.Patience
	}
	return requestTime
}

func (l *Runner) count(f func(r *Report)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.report)
}

// refused counts an error by its reason and gives what it says of the request.
func (l *Runner) refused(err error) refusal.Outcome {
	fault := refusal.From(err)
	l.count(func(r *Report) {
		r.Refused[string(fault.Reason)]++
		if fault.Outcome == refusal.Unknown {
			r.Unknown++
		}
	})
	return fault.Outcome
}

// prompt reads one answer, in some cases with a hang-up in the middle, and
// compares every token with the expected one.
func (l *Runner) prompt(c *client.Client, name string, random *rand.Rand) {
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
	l.count(func(r *Report) { r.Requests++ })
	p := client.Prompt{Service: l.Model, Text: text, Max: limit, Deadline: time.Now().Add(l.patience())}
	n, after, err := l.read(c, p, 0, hangUp)
	if err == nil && n < want && hangUp >= 0 {
		l.count(func(r *Report) { r.Resumed++ })
		if after == "" {
			n = 0
		}
		p.After = after
		n, _, err = l.read(c, p, n, -1)
	}
	if err != nil {
		_ = l.refused(err)
		return
	}
	l.count(func(r *Report) {
		r.Answered++
		if n != want {
			r.Lost++
		}
	})
}

// read reads an answer whose first tokens, up to n, are known, and stops at
// token hangUp.
func (l *Runner) read(c *client.Client, p client.Prompt, n, hangUp int) (int, string, error) {
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
		l.token(token, n, p.Text, now.Sub(last))
		last, n, after = now, token.N, token.ID
		if n == hangUp {
			break
		}
	}
	return n, after, nil
}

// token checks one token and records how long it took to come.
func (l *Runner) token(token client.Token, before int, prompt string, took time.Duration) {
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

// stock makes an idempotent call.
func (l *Runner) stock(c *client.Client, name string) {
	l.count(func(r *Report) { r.Requests++ })
	answer, err := c.Call(context.Background(), client.Call{
		Service: l.Plain, Method: http.MethodGet, Path: "/stock?item=" + name, Idempotent: true,
		Deadline: time.Now().Add(l.patience()),
	})
	if err != nil {
		_ = l.refused(err)
		return
	}
	l.answered(answer, "", "")
}

func (l *Runner) answered(answer client.Answer, body, key string) {
	var receipt standin.Receipt
	err := json.Unmarshal(answer.Body, &receipt)
	l.count(func(r *Report) {
		r.Answered++
		if err != nil || receipt.Echo != body || (key != "" && receipt.Key != key) {
			r.Crossed++
		}
	})
}

// order makes a call that is not idempotent: under a key of the client, or
// under an own key, then in some cases to two entries at once.
func (l *Runner) order(c *client.Client, name string, random *rand.Rand) {
	body := orderWord + name
	call := client.Call{
		Service: l.Plain, Method: http.MethodPost, Path: "/orders", Body: []byte(body),
		Deadline: time.Now().Add(l.patience()),
	}
	copies := 1
	if random.IntN(2) == 0 {
		call.Key = "order-" + name
		copies += random.IntN(2)
	}
	var wg conc.WaitGroup
	outcomes := make([]refusal.Outcome, copies)
	for i := range copies {
		wg.Go(func() { outcomes[i] = l.send(c, call, body) })
	}
	wg.Wait()
	if call.Key == "" {
		return
	}
	// The call has not run only if every copy was told so.
	outcome := refusal.NotRun
	for _, o := range outcomes {
		if o != refusal.NotRun {
			outcome = o
		}
	}
	l.mu.Lock()
	l.keys[call.Key] = verdict{outcome: outcome}
	l.mu.Unlock()
}

func (l *Runner) send(c *client.Client, call client.Call, body string) refusal.Outcome {
	l.count(func(r *Report) { r.Requests++ })
	answer, err := c.Call(context.Background(), call)
	if err == nil {
		l.answered(answer, body, call.Key)
		return refusal.Run
	}
	outcome := l.refused(err)
	if call.Key == "" && outcome == refusal.NotRun {
		// The client's own keys are not known here; the body tells them apart.
		l.mu.Lock()
		l.keys[standin.BodyKey+body] = verdict{outcome: refusal.NotRun}
		l.mu.Unlock()
	}
	return outcome
}

// audit asks the plain replicas what ran, and compares it with what the
// callers were told.
func (l *Runner) audit() {
	total := map[string]int{}
	for _, addr := range l.Runs {
		runs, err := runsOf(addr)
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
		if n > 1 && strings.HasPrefix(key, standin.BodyKey+orderWord) {
			l.report.RanTwice++
		}
	}
	for key, v := range l.keys {
		if v.outcome == refusal.NotRun && total[key] > 0 {
			l.report.FalseNotRun++
		}
	}
}

func runsOf(addr string) (map[string]int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/runs", nil)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask service what ran: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, errors.Newf("ask service what ran: status %d", res.StatusCode)
	}
	runs := map[string]int{}
	if err := json.NewDecoder(res.Body).Decode(&runs); err != nil {
		return nil, fmt.Errorf("decode runs: %w", err)
	}
	return runs, nil
}
