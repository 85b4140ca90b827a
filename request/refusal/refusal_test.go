package refusal

import (
	"errors"
	"expvar"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// declaredReasons returns the values of the Reason constants in refusal.go.
func declaredReasons(t *testing.T) []Reason {
	file, err := parser.ParseFile(token.NewFileSet(), "refusal.go", nil, 0)
	require.NoError(t, err)
	var list []Reason
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || spec.Type == nil || fmt.Sprint(spec.Type) != "Reason" {
			return true
		}
		value, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		require.NoError(t, err)
		list = append(list, Reason(value))
		return true
	})
	return list
}

// Guards against a reason without a counter because it is missing from All,
// and against two reasons with the same value.
func TestEveryReasonIsCounted(t *testing.T) {
	require.ElementsMatch(t, declaredReasons(t), All)
	seen := map[Reason]bool{}
	for _, reason := range All {
		require.False(t, seen[reason], reason)
		seen[reason] = true
		for _, c := range []struct {
			counters *expvar.Map
			count    func(Reason)
		}{{refusals, Count}, {retries, CountRetry}} {
			counter, ok := c.counters.Get(string(reason)).(*expvar.Int)
			require.True(t, ok, reason)
			before := counter.Value()
			c.count(reason)
			require.Equal(t, before+1, counter.Value(), reason)
		}
	}
}

// Guards against a refusal whose fields differ after Write and Parse, and
// against a status code below 400, which callers treat as success or redirect.
func TestProblemKeepsItsMeaning(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, reason := range All {
		for _, outcome := range []Outcome{Unknown, NotRun, Run} {
			for _, at := range []time.Time{{}, now.Add(1500 * time.Millisecond)} {
				e := &Error{Reason: reason, Outcome: outcome, Detail: `because "it" <is>`, RetryAt: at}
				w := httptest.NewRecorder()
				Write(w, fmt.Errorf("call: %w", e), now)
				require.Equal(t, e, Parse(w.Body.Bytes()))
				require.Equal(t, string(reason), w.Header().Get(Header))
				require.Equal(t, map[bool]string{true: "", false: "2"}[at.IsZero()], w.Header().Get("Retry-After"))
				require.GreaterOrEqual(t, w.Code, http.StatusBadRequest)
				require.NotEmpty(t, http.StatusText(w.Code))
			}
		}
	}
}

// Guards against the outcome NotRun for a response that does not state it.
func TestForeignAnswersAreUnknown(t *testing.T) {
	for _, data := range []string{"", "[]", "{}", `{"ran":"no"}`, "<html>", `{"title":"dial","ran":"never"}`, `{"title":"dial"}`} {
		require.Equal(t, Unknown, Parse([]byte(data)).Outcome, data)
	}
	require.Equal(t, Unknown, From(errors.New("any")).Outcome)
}
