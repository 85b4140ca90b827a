package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	logs "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/process/roster"
)

// Guards against missing, repeated or reordered log lines: for each way in which
// a request can proceed, the log must contain the event of each decision once,
// in order.
func TestEachDecisionIsLoggedOnce(t *testing.T) {
	loggedEvents := func(w *testGateway, do func()) string {
		hook := logs.NewLocal(w.Log)
		do()
		var list []string
		for _, e := range hook.AllEntries() {
			if e.Data["request"] == "q" {
				list = append(list, e.Data["event"].(string))
			}
		}
		return strings.Join(list, " ")
	}
	eventsOf := func(path string, answer func(n int, c Call) (*Answer, error)) string {
		w := newTestGateway(t)
		w.answer = answer
		return loggedEvents(w, func() { _, _ = w.request(path) })
	}
	status := func(codes ...int) func(int, Call) (*Answer, error) {
		return func(n int, _ Call) (*Answer, error) { return plainAnswer(codes[n], "x"), nil }
	}
	breaks := func(int, Call) (*Answer, error) { return nil, connectionLost() }
	require.Equal(t, "served", eventsOf("/book/1", status(http.StatusOK)))
	require.Equal(t, "failure_passed_on", eventsOf("/book/1", status(http.StatusInternalServerError)))
	require.Equal(t, "attempt_failed served", eventsOf("/read/1", status(http.StatusInternalServerError, http.StatusOK)))
	require.Equal(t, "attempt_failed attempt_failed failure_passed_on", eventsOf("/read/1", status(500, 500)))
	require.Equal(t, "attempt_failed", eventsOf("/book/1", breaks))
	require.Equal(t, "attempt_failed attempt_failed", eventsOf("/read/1", breaks))
	require.Equal(t, "relaying served", eventsOf("/short/1", func(int, Call) (*Answer, error) { return eventStream("s", 1, 3, false), nil }))
	require.Equal(t, "attempt_failed", eventsOf("/guide/1", breaks), "there is no copy to continue from")
	require.Equal(t, "attempt_refused", eventsOf("/guide/1", func(int, Call) (*Answer, error) { return refusedAnswer(), nil }))
	require.Equal(t, "failure_passed_on", eventsOf("/guide/1", status(http.StatusInternalServerError)))

	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.answer = func(n int, _ Call) (*Answer, error) {
			if n > 0 {
				return nil, connectionLost()
			}
			return breakingStream("first", 1, 3), nil
		}
		require.Equal(t, "relaying copied stream_broken stop_ordered attempt_failed", loggedEvents(w, func() { _, _ = w.request("/guide/1") }),
			"the second attempt continues from the copy")
	})
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.Tables.Current().Services[0].Engine.Backups = false
		require.Equal(t, "relaying copied stream_broken stop_ordered relaying served", loggedEvents(w, func() {
			writer, done := w.startStream(2, 3)
			_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
			synctest.Wait()
			w.announceLeave(roster.FromList)
			time.Sleep(time.Second)
			_ = writer.CloseWithError(errors.New("connection reset"))
			<-done
		}))
	})
}

// Each event that the code logs must be listed in docs/OPERATIONS.md, where
// operators look events up, and each event listed there must exist.
func TestEventsAreDocumented(t *testing.T) {
	pattern := regexp.MustCompile(`(?:"event": |WithField\("event", |logDecision\([^"\n]*|logAttempt\(|event :?= )"([a-z_]+)"`)
	written := map[string]bool{"log_dropped": true}
	for _, dir := range []string{".", "../mirror", "../logging", "../../platform"} {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		require.NoError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			for _, m := range pattern.FindAllStringSubmatch(string(text), -1) {
				written[m[1]] = true
			}
		}
	}
	delete(written, "loads") // debug level
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	_, section, _ := strings.Cut(string(page), "### Lines")
	section, _, _ = strings.Cut(section, "### Counters")
	documented := map[string]bool{}
	for _, row := range regexp.MustCompile("(?m)^\\| (`[^|]+) \\|").FindAllStringSubmatch(section, -1) {
		for _, m := range regexp.MustCompile("`([a-z_]+)`").FindAllStringSubmatch(row[1], -1) {
			documented[m[1]] = true
		}
	}
	require.Equal(t, documented, written)
}
