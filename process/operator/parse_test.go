package operator

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// Guards against a statement of the language that no longer parses, or that
// parses as another statement.
func TestStatementsParse(t *testing.T) {
	for _, text := range []string{
		`show streams`,
		`SHOW streams WHERE account = acme AND (tokens > 100 or not wait >= 2s) order by tokens desc, account limit 5`,
		`show streams where account = "a ""`[:len(`show streams where account = "a `)] + `b"`,
		`show limits where limit = 3 limit 2`,
		`help`, `help where`,
		`drain endpoint e-1 wait 10s`, `drain place p1`, `undrain entry 10.0.0.1:80 at 41 wait 1m`,
		`move account 7 to e1`,
		`set account a rank 3`, `set account a limit rate 50.5 at 3`,
		`set service s weight gap 2`, `set service s policy current`,
		`load model llama-7b.q4 on e1`, `unload model m on e1 wait 2s`,
		`cancel stream 018f-77`, `revoke account a key 12ab`,
	} {
		s, err := Parse(text)
		require.NoError(t, err, text)
		require.Equal(t, text, s.Text)
		require.Equal(t, !strings.HasPrefix(strings.ToLower(text), "show") && !strings.HasPrefix(text, "help"), s.Command(), text)
	}
}

// Guards against a query that changes when it is sent to another entry as JSON.
func TestQuerySurvivesJSON(t *testing.T) {
	s, err := Parse(`show limits where (id >= 2 and not id = 3) or wait < 1s order by wait desc, id limit 4`)
	require.NoError(t, err)
	data, err := json.Marshal(s.Query)
	require.NoError(t, err)
	var q Query
	require.NoError(t, json.Unmarshal(data, &q))
	table := Table{Columns: []Column{{"id", Number}, {"wait", Duration}}}
	for i := range 6 {
		table.Rows = append(table.Rows, []Value{NumberOf(i), DurationOf(time.Duration(4-i) * time.Second)})
	}
	table.Rows = append(table.Rows, []Value{NumberOf(1)}) // an empty cell satisfies no comparison
	out, err := Select(table, q)
	require.NoError(t, err)
	require.Equal(t, [][]Value{table.Rows[2], table.Rows[4], table.Rows[5]}, out.Rows)
}

// Guards against an error that lacks the position of the mistake or the allowed
// words.
func TestErrorsPointAtTheFault(t *testing.T) {
	for _, c := range []struct {
		text, at, nearest string
		kind              ErrorKind
	}{
		{``, ``, ``, BadSyntax},
		{`shwo streams`, `shwo`, `show`, BadSyntax},
		{`show strems`, `strems`, `streams`, BadName},
		{`show streams wher a = 1`, `wher`, `where`, BadSyntax},
		{`show streams where a = `, ``, ``, BadSyntax},
		{`show streams where a ! 1`, `! 1`, ``, BadSyntax},
		{`show streams where (a = 1`, ``, ``, BadSyntax},
		{`show streams limit 0`, `0`, ``, BadValue},
		{`show streams wait 2s`, `2s`, ``, BadSyntax},
		{`drain endpiont e1`, `endpiont`, `endpoint`, BadName},
		{`set account a rank 10`, `10`, ``, BadValue},
		{`set account a rank 2.5`, `2.5`, ``, BadValue},
		{`set account a limit rate NaN`, `NaN`, ``, BadValue},
		{`set account ü limit rat 3`, `rat 3`, `rate`, BadName},
		{`set service s policy twochioce`, `twochioce`, `twochoice`, BadName},
		{`drain endpoint e1 wait 10`, `10`, ``, BadValue},
		{`drain endpoint e1 wait 11m`, `11m`, ``, BadValue},
		{`drain endpoint e1 wait 0s`, `0s`, ``, BadValue},
		{`drain endpoint e1 at 0`, `0`, ``, BadValue},
	} {
		_, err := Parse(c.text)
		var e *Error
		require.True(t, errors.As(err, &e), "%s: %v", c.text, err)
		require.Equal(t, c.kind, e.Kind, c.text)
		require.Equal(t, c.nearest, e.Nearest, c.text)
		rest := string([]rune(c.text)[e.Column-1:])
		require.True(t, strings.HasPrefix(rest, c.at), "%s: column %d", c.text, e.Column)
		require.True(t, c.at != "" || strings.TrimSpace(rest) == "", "%s: column %d", c.text, e.Column)
		require.NotEmpty(t, append(e.Allowed, e.Message), c.text)
	}
}

// Guards against a statement that makes the parser panic or run without bound,
// and against an error whose column is outside the statement.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{`show streams where not (a = "x\n" or b ~ 2s) order by a limit 3`, `set service s weight gap 2 at 4 wait 1s`, `"`, `show ((`, "show \xff"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse(text)
		if err == nil {
			_ = s.Command()
			return
		}
		var e *Error
		if !errors.As(err, &e) || e.Column > len([]rune(text))+1 || e.Error() == "" {
			t.Fatalf("%q: %v", text, err)
		}
	})
}

// Guards against examples in docs/language.md that do not parse, and against a
// statement that has no example there.
func TestPageExamplesParse(t *testing.T) {
	page, err := os.ReadFile("../../docs/language.md")
	require.NoError(t, err)
	shown := map[string]bool{}
	for i, block := range strings.Split(string(page), "```") {
		if i%2 == 0 || !strings.HasPrefix(block, "\n") {
			continue
		}
		for _, line := range strings.Split(strings.TrimSpace(block), "\n") {
			// Upper case marks a usage line with placeholders, except in a line with
			// the page's example of a stream ID. The exception matters only if that
			// line also contains upper case, which it does not at present.
			if strings.ToLower(line) != line && !strings.Contains(line, "0197c3f2") {
				continue
			}
			_, err := Parse(line)
			require.NoError(t, err, line)
			shown[strings.Fields(line)[0]] = true
		}
	}
	for _, verb := range verbs {
		require.True(t, shown[verb], verb)
	}
}
