package hostile

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/connection/intake"
	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/internal/system"
	"github.com/eelgrassdock/eelgrassdock/platform/fake"
	"github.com/eelgrassdock/eelgrassdock/platform/wire"
)

const (
	crowdTime   = 1500 * time.Millisecond
	contactTime = 4 * time.Second // without a new connection, from which an instance may not say that it is ready
	few         = 20              // clients that send as much as they can
	some        = 200
	many        = 300
	flood       = 1000 // clients that only connect
)

// limits are those of an instance that is smaller than the smallest one of the
// deployments, so that a small crowd exceeds them.
var limits = Limits{Memory: 64, Files: 400}

var binaryPath string

// TestMain builds the program once, without the race detector, like a release.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hostile")
	if err != nil {
		panic(err)
	}
	binaryPath = filepath.Join(dir, "eelgrassdock")
	if out, err := exec.Command("go", "build", "-o", binaryPath, "../../cmd/eelgrassdock").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// trailers ends the head of a request whose body does not arrive, with names of trailers.
var trailers = "Transfer-Encoding: chunked\r\nTrailer: " + elements(legalHead, "") + "\r\n\r\n"

type attack struct {
	name   string
	count  int
	client Client
}

// heads returns attacks with heads, for a listener that serves a path.
func heads(path string) []attack {
	get := head("GET", path, "head")
	return []attack{
		{"short lines, whole", some, repeat(get+shortLines(legalHead)+"\r\n", trickleTime)},
		{"long head of short lines, whole", some, repeat(get+shortLines(longHead)+"\r\n", trickleTime)},
		{"short lines, held open", many, write(get + shortLines(longHead))},
		{"head without end", many, begin(get, strings.Repeat("x-"+strings.Repeat("y", 60)+": z\r\n", endlessPart/67), 0)},
		{"idle", flood, idle},
	}
}

func idle(conn net.Conn, _ int) error { return hold(conn) }

// Guards against clients that take the process over its memory or its descriptors, end it,
// or keep it from answering others, at the listener of callers.
func TestCallersListener(t *testing.T) {
	path := fake.SafePrefix + "x"
	odd := []string{
		"no colon\r\n\r\n", ": no name\r\n\r\n", " folded\r\n\r\n", "x\x00y: z\r\n\r\n", "x: \x01\x7f\r\n\r\n", "x y: z\r\n\r\n", "x:y\rz: a\r\n\r\n",
		"Content-Length: -1\r\n\r\n", "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", "Transfer-Encoding: odd\r\n\r\n", strings.Repeat("\n", 500) + "\r\n\r\n",
		strings.Repeat(":\r\n", 4000) + "\r\n", strings.Repeat(" \r\n", 4000) + "\r\n",
	}
	large := strings.Repeat("i", largeID)
	for _, a := range append(heads(path), []attack{
		{"malformed lines", some, func(conn net.Conn, n int) error {
			return begin(head("GET", path, "odd"), odd[n%len(odd)], trickleTime)(conn, n)
		}},
		{"binary data", some, repeat(strings.Repeat("\x16\x03\x01\xff\x00", endlessPart/5), 0)},
		{"head over the limit", some, write(head("GET", path, "long") + "x: " + strings.Repeat("y", heldBody) + "\r\n\r\n")},
		{"empty lines without end", some, repeat(strings.Repeat("\r\n", endlessPart/2), 0)},
		{"empty lines without end after a request", some, begin(head("POST", path, "e")+"Content-Length: 0\r\n\r\n", strings.Repeat("\r\n", endlessPart/2), 0)},
		{"request line without end", some, repeat(strings.Repeat("G", endlessPart), 0)},
		{"body stops in the middle", some, write(body(path, bodyBytes) + strings.Repeat("b", heldBody))},
		{"body is announced and not sent", some, write(body(path, bodyBytes))},
		{"body trickles", some, begin(body(path, bodyBytes), strings.Repeat("b", endlessPart), trickleTime)},
		{"body is shorter than announced", some, cut(body(path, bodyBytes) + strings.Repeat("b", heldBody))},
		{"body is longer than announced", some, repeat(body(path, heldBody/10)+strings.Repeat("b", heldBody/5), trickleTime)},
		{"body over the limit", some, begin(body(path, 4*bodyBytes), strings.Repeat("b", 16*endlessPart), 0)},
		{"chunks without end", some, begin(head("POST", path, "c")+"Transfer-Encoding: chunked\r\n\r\n", "1000\r\n"+strings.Repeat("c", 0x1000)+"\r\n", 0)},
		{"small chunks without end", some, begin(head("POST", path, "c")+"Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nc\r\n", 1000), 0)},
		{"large bodies", 48, repeat(body(path, bodyBytes)+strings.Repeat("b", bodyBytes), 0)},
		{"answers are not read", some, deaf(head("GET", path, large) + "\r\n")},
		{"answers are read slowly", some, slow(strings.Repeat(head("GET", path, large)+"\r\n", 4))},
		{"streams are not read", some, deaf(head("POST", fake.ShortPrefix+"x", "s") + wire.HeaderTokens + ": 1000,1000\r\nContent-Length: 11\r\n\r\nevents=1000")},
		{"names of trailers in one line", some, write(head("POST", path, "t") + trailers)},
		{"names of headers of the connection in one line", some, repeat(head("GET", path, "c")+"Connection: "+elements(legalHead, "")+"\r\n\r\n", 0)},
		{"many requests on one connection", few, repeat(strings.Repeat(head("GET", path, "p")+"\r\n", 20), 0)},
	}...) {
		t.Run(a.name, func(t *testing.T) { resist(t, Serve, "callers", a) })
	}
}

// Guards against prompts of many parts that take the process over its memory, with as many
// clients as its budget has room for.
func TestManyParts(t *testing.T) {
	const crowd = 400
	roomy := Limits{Memory: limits.Memory, Files: 4 * crowd}
	parts := wire.HeaderParts + ": " + strings.TrimSuffix(strings.Repeat("1:0,", legalHead/len("1:0,")), ",") + "\r\n"
	for _, a := range []attack{
		{"body stops", crowd, write(head("POST", fake.SafePrefix+"x", "b") + parts + "Content-Length: 9\r\n\r\n")},
		{"streams", crowd, repeat(head("POST", fake.ShortPrefix+"x", "s")+wire.HeaderTokens+": 10,1000\r\n"+parts+"Content-Length: 11\r\n\r\nevents=1000", trickleTime)},
	} {
		t.Run(a.name, func(t *testing.T) { resistWithin(t, roomy, Serve, "callers", a) })
	}
}

// Guards against ordinary callers who get no answer while requests of others hold all connections. A
// few of them may be reset, but not all of them for as long as the users' rule allows.
func TestFullProcessAnswers(t *testing.T) {
	p, err := Serve(t.Context(), binaryPath, t.TempDir(), limits)
	require.NoError(t, err)
	defer p.Close()
	require.NoError(t, p.AskUntilAnswered(t.Context()))
	ctx, cancel := context.WithTimeout(t.Context(), crowdTime+contactTime+time.Second)
	defer cancel()
	var crowd conc.WaitGroup
	crowd.Go(func() {
		Crowd(ctx, p.Addrs["callers"], intake.CallerConns(limits.Files)+few,
			write(head("POST", fake.SafePrefix+"x", "b")+"Content-Length: 9\r\n\r\n"))
	})
	sleep.For(ctx, crowdTime) // until all connections are in use
	refused, answered, longest := 0, time.Now(), time.Duration(0)
	for n := 0; ctx.Err() == nil; n++ {
		status, err := askOnce(p.Addrs["callers"], head("GET", fake.SafePrefix+"x", fmt.Sprint("ordinary", n))+"\r\n")
		if err == nil {
			longest, answered = max(longest, time.Since(answered)), time.Now()
		}
		if status == http.StatusServiceUnavailable {
			refused++
		}
		sleep.For(ctx, reconnectTime)
	}
	longest = max(longest, time.Since(answered))
	crowd.Wait()
	peaks, err := p.Peaks()
	require.NoError(t, err)
	fmt.Printf("measured: %s: %d refused, %s without an answer at most, %d MB, %d descriptors\n", t.Name(), refused, longest, peaks.Memory>>10, peaks.Files)
	require.Positive(t, refused, "the process was not full")
	require.Less(t, longest, contactTime)
	require.LessOrEqual(t, peaks.Memory, limits.Memory<<10, "KB of memory")
	require.LessOrEqual(t, peaks.Files, limits.Files, "descriptors")
}

// askOnce sends a request on a new connection and returns the status of its answer.
func askOnce(addr, text string) (status int, err error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(answerTime)); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, err
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return res.StatusCode, res.Body.Close()
}

// Guards against the same at the listeners that are not for requests.
func TestOtherListeners(t *testing.T) {
	for listener, path := range map[string]string{
		"directory": wire.PathResolve + "?region=a&zone=a1", "ready": wire.PathReady, "metrics": "/debug/vars",
	} {
		get := head("GET", path, "other")
		for _, a := range append(heads(path), []attack{
			{"body stops in the middle", some, write(body(path, bodyBytes) + strings.Repeat("b", heldBody))},
			{"answers are not read", some, deaf(get + "\r\n")},
			{"parameters in one line", some, repeat(head("GET", path+"?"+strings.ReplaceAll(elements(legalHead, ""), ",", "&"), "q")+"\r\n", 0)},
		}...) {
			t.Run(listener+", "+a.name, func(t *testing.T) { resist(t, Serve, listener, a) })
		}
	}
}

// peerAttacks are attacks on calls between instances.
func peerAttacks(method string, argument any) []attack {
	return []attack{
		{"idle", flood, idle},
		{"long message", some, announce},
		{"binary data", some, repeat(strings.Repeat("\x00\x01\xff", endlessPart/3), 0)},
		{"answers are not read", some, deafCalls(method, argument)},
	}
}

// Guards against the same at the port for calls of other instances.
func TestPeerListener(t *testing.T) {
	for _, a := range peerAttacks("Peers.Table", true) {
		t.Run(a.name, func(t *testing.T) { resist(t, Serve, "peer", a) })
	}
}

// Guards against the same at the product's own front end.
func TestEntryListeners(t *testing.T) {
	path := "/v1/services/" + system.Plain + "/orders"
	for _, a := range append(heads("/v1/entries"), []attack{
		{"body stops in the middle", some, write(body(path, heldBody) + strings.Repeat("b", heldBody/2))},
		{"body trickles", some, begin(body(path, heldBody), strings.Repeat("b", endlessPart), trickleTime)},
		{"answers are not read", some, deaf(head("GET", "/v1/entries", "x") + "\r\n")},
		{"names of trailers in one line", some, write(head("POST", path, "t") + trailers)},
	}...) {
		t.Run("callers, "+a.name, func(t *testing.T) { resist(t, Entry, "callers", a) })
	}
	for _, a := range peerAttacks("Config.None", true) {
		t.Run("peer, "+a.name, func(t *testing.T) { resist(t, Entry, "peer", a) })
	}
}

// resist runs an attack against one listener of a process, and requires that the process
// stays within its limits and answers an ordinary request afterwards.
func resist(t *testing.T, start func(context.Context, string, string, Limits) (*Process, error), listener string, a attack) {
	t.Helper()
	resistWithin(t, limits, start, listener, a)
}

// resistWithin is resist with other limits.
func resistWithin(t *testing.T, limits Limits, start func(context.Context, string, string, Limits) (*Process, error), listener string, a attack) {
	t.Helper()
	p, err := start(t.Context(), binaryPath, t.TempDir(), limits)
	require.NoError(t, err)
	defer p.Close()
	require.NoError(t, p.AskUntilAnswered(t.Context()), "before the attack")
	ctx, cancel := context.WithTimeout(t.Context(), crowdTime)
	defer cancel()
	Crowd(ctx, p.Addrs[listener], a.count, a.client)
	require.True(t, p.Alive(), "the process has ended")
	answered := p.AskUntilAnswered(t.Context())
	peaks, err := p.Peaks()
	require.NoError(t, err)
	fmt.Printf("measured: %s: %d clients: %d MB, %d KB unread, %d descriptors\n", t.Name(), a.count, peaks.Memory>>10, peaks.Unread, peaks.Files)
	require.NoError(t, answered, "after the attack")
	require.LessOrEqual(t, peaks.Memory, limits.Memory<<10, "KB of memory")
	require.LessOrEqual(t, peaks.Files, limits.Files, "descriptors")
}
