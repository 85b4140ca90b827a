package entry_test

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/eelgrassdock/eelgrassdock/client"
	"github.com/eelgrassdock/eelgrassdock/internal/system"
	"github.com/eelgrassdock/eelgrassdock/process/entry"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/standin"
	"github.com/eelgrassdock/eelgrassdock/standin/model"
)

const longPrompt = "length=60 of a prompt " // the stand-in engine generates 60 tokens

// TestMain guards against goroutines that still run after an entry has ended.
func TestMain(m *testing.M) {
	code := m.Run()
	http.DefaultClient.CloseIdleConnections()
	if err := goleak.Find(); code == 0 && err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		code = 1
	}
	os.Exit(code)
}

// start starts a system in one place. A violation in any entry fails the test.
func start(t *testing.T, s *system.System) *system.System {
	t.Helper()
	s.Places = []system.Place{{Name: "riga-1", Region: "baltic"}}
	s.Log = logrus.New()
	s.Log.SetOutput(io.Discard)
	if s.Config == (model.Config{}) {
		s.Config = model.Config{Base: 5 * time.Millisecond, Memory: 100_000}
	}
	prepare := s.Prepare
	s.Prepare = func(i int, e *entry.Entry) {
		e.Violation = func(rule, detail string) { t.Errorf("violation of %s: %s", rule, detail) }
		if prepare != nil {
			prepare(i, e)
		}
	}
	t.Cleanup(s.Close)
	require.NoError(t, s.Start(context.Background()))
	return s
}

// newClient returns a client for the given entries, or for all entries if none
// are given.
func newClient(t *testing.T, s *system.System, nodes ...int) *client.Client {
	t.Helper()
	h := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(h.CloseIdleConnections)
	c := &client.Client{Entries: s.Addrs(), Key: "key-riga", Account: "riga", Caller: uuid.NewString(), HTTP: h}
	if len(nodes) > 0 {
		c.Entries = nil
	}
	for _, n := range nodes {
		c.Entries = append(c.Entries, s.Nodes()[n].Entry.Addr())
	}
	return c
}

// requestTimeout is the deadline of requests that must succeed. It is not a
// limit on the response time: a busy machine may need several times as long as
// an idle one.
const requestTimeout = time.Minute

// guidePrompt returns a prompt for the service with engines.
func guidePrompt(text string) client.Prompt {
	return client.Prompt{Service: system.Model, Text: text, Deadline: time.Now().Add(requestTimeout)}
}

// read completes a prompt whose stream begins after token first, and calls at
// when token after was received. It requires that each token is received once,
// in order and from the right generation. It returns the number and the event
// ID of the last token.
func read(t *testing.T, c *client.Client, p client.Prompt, first, after int, at func()) (n int, id string, err error) {
	t.Helper()
	n = first
	for token, err := range c.Complete(context.Background(), p) {
		if err != nil {
			return n, id, err
		}
		n++
		id = token.ID
		require.Equal(t, n, token.N)
		require.Equal(t, standin.Token(p.Text, n), token.Text)
		if n == after {
			at()
		}
	}
	return n, id, nil
}

// readWhole completes a prompt like read and requires the complete text.
func readWhole(t *testing.T, c *client.Client, p client.Prompt, after int, at func()) {
	t.Helper()
	n, _, err := read(t, c, p, 0, after, at)
	require.NoError(t, err)
	require.Equal(t, standin.Length(p.Text, 0), n)
}

// post sends a raw request to an entry and returns status, header and body of
// the response.
func post(t *testing.T, addr, method, path, body string, header ...string) (int, http.Header, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer key-riga")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	return res.StatusCode, res.Header, string(data)
}

// relayingNode returns the node that serves a request at the moment.
func relayingNode(t *testing.T, s *system.System) *system.Node {
	t.Helper()
	for _, n := range s.Nodes() {
		if !n.Ended() && n.Entry.Active() > 0 {
			return n
		}
	}
	require.Fail(t, "no entry serves a request")
	return nil
}

// generations returns the number of generations that engines began.
func generations(s *system.System) (n int) {
	for _, b := range s.Endpoints {
		if b.Engine != nil {
			begun, _ := b.Engine.Counts()
			n += begun
		}
	}
	return n
}

// orderCall returns a call of the plain service that is not idempotent.
func orderCall(key, body string) client.Call {
	return client.Call{
		Service: system.Plain, Method: http.MethodPost, Path: "/orders", Key: key, Body: []byte(body),
		Deadline: time.Now().Add(requestTimeout),
	}
}

// runs returns the number of executions of a body at all replicas.
func runs(s *system.System, body string) (n int) {
	for _, b := range s.Endpoints {
		if b.Service != nil {
			n += b.Service.Runs()[standin.BodyKey+body]
		}
	}
	return n
}

// requireConsistent requires that a body ran at most once, and that the outcome
// of its call agrees with the number of runs.
func requireConsistent(t *testing.T, s *system.System, body string, err error) {
	t.Helper()
	n := runs(s, body)
	require.LessOrEqual(t, n, 1, "ran twice")
	if err == nil {
		require.Equal(t, 1, n, "answered without a run")
	} else if refusal.From(err).Outcome == refusal.NotRun {
		require.Zero(t, n, "false \"not run\": %v", err)
	}
}
