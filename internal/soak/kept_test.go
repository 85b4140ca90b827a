package soak

import (
	"bufio"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	maxEvidence = 120 // lines of the logs for one breach
	maxLogLine  = 1 << 20
)

var (
	requestPattern = regexp.MustCompile(`\b[0-9a-f]{16}\b`)
	digestPattern  = regexp.MustCompile(`digest"?[=:]"?([0-9a-f]+)`)
)

// requireKept requires that a soak ran without an error and kept every promise. For each
// breach, it logs what the processes have logged of its requests.
func requireKept(t *testing.T, s *Soak, sum Summary, err error) {
	t.Helper()
	for _, breach := range sum.Details {
		t.Logf("%s at %s: %s", breach.Promise, breach.At.Format("15:04:05.000"), breach.Detail)
		for _, line := range s.evidence(t, breach.Detail) {
			t.Log(line)
		}
	}
	require.NoError(t, err)
	require.Empty(t, sum.Details)
	require.Empty(t, sum.Errors)
}

// evidence returns the lines of the logs with the requests that a detail names, and those
// with the verdicts on the same requests.
func (s *Soak) evidence(t *testing.T, detail string) (lines []string) {
	t.Helper()
	ids := requestPattern.FindAllString(detail, -1)
	digests := map[string]bool{}
	s.eachLine(t, func(_, line string) {
		if d := digestPattern.FindStringSubmatch(line); d != nil && containsAny(line, ids) {
			digests[d[1]] = true
		}
	})
	s.eachLine(t, func(name, line string) {
		d := digestPattern.FindStringSubmatch(line)
		if len(lines) < maxEvidence && (containsAny(line, ids) || d != nil && digests[d[1]]) {
			lines = append(lines, name+": "+line)
		}
	})
	return lines
}

func containsAny(line string, ids []string) bool {
	return slices.ContainsFunc(requestPattern.FindAllString(line, -1), func(id string) bool { return slices.Contains(ids, id) })
}

// eachLine calls yield with each line of the logs of all processes.
func (s *Soak) eachLine(t *testing.T, yield func(name, line string)) {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(s.Dir, "*.log"))
	require.NoError(t, err)
	for _, name := range names {
		f, err := os.Open(name)
		require.NoError(t, err)
		lines := bufio.NewScanner(f)
		lines.Buffer(nil, maxLogLine)
		for lines.Scan() {
			yield(filepath.Base(name), lines.Text())
		}
		require.NoError(t, lines.Err())
		require.NoError(t, f.Close())
	}
}

// Guards against a breach whose cause cannot be read from the output of a failed test: the
// lines of its request and the verdicts on the same request are shown, and no others.
func TestEvidenceHasTheRequestAndItsVerdicts(t *testing.T) {
	s := &Soak{Dir: t.TempDir()}
	log := `{"event":"quarantined","request":"00000000000000ab","digest":"c1"}
{"event":"sent","request":"00000000000000ff","digest":"c2"}
{"event":"request_judged","digest":"c1"}
`
	require.NoError(t, os.WriteFile(filepath.Join(s.Dir, "i1.1.log"), []byte(log), 0o600))
	require.Equal(t, []string{
		`i1.1.log: {"event":"quarantined","request":"00000000000000ab","digest":"c1"}`,
		`i1.1.log: {"event":"request_judged","digest":"c1"}`,
	}, s.evidence(t, "request 00000000000000ab, once true, was cut"))
}
