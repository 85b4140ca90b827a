package diagnosis

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	cutOff = `{"copies":0,"endpoint":"i-70","event":"endpoint_leaves","msg":"endpoint leaves","runs":1,"source":"list","time":"2026-04-22T09:36:41.36Z"}
10.06 front-a-1 {"detail":"move from i-70: status 404","endpoint":"i-70","event":"copy_failed","msg":"copy_failed","request":"q1","time":"2026-04-22T09:36:41.46Z","to":"i-93","took":1}
{"endpoint":"i-70","event":"relaying","msg":"relaying","prompt":4340,"request":"q1","time":"2026-04-22T09:36:41.55Z","waited":607}
{"backup":false,"detail":"unexpected EOF","endpoint":"i-70","event":"stream_broken","events":52,"msg":"stream_broken","request":"q1","time":"2026-04-22T09:36:43.06Z"}
{"error":"broken (unknown): answer broke off","event":"cut","msg":"answer broke off","request":"q1","time":"2026-04-22T09:36:43.07Z"}
`
	storeAway = `{"event":"store_lost","msg":"store does not answer","table":"op","time":"2026-04-22T09:00:01Z"}
{"event":"refused","msg":"no routing table is known yet","outcome":"not run","reason":"store","request":"q2","retry_ms":0,"status":503,"time":"2026-04-22T09:00:02Z","version":-1}
`
	unknown = `{"attempt":1,"endpoint":"i-aa","event":"attempt_failed","msg":"attempt_failed","outcome":"unknown","reason":"timeout","request":"q3","time":"2026-04-22T09:00:01Z"}
{"event":"refused","msg":"i/o timeout","outcome":"unknown","reason":"timeout","request":"q3","status":504,"time":"2026-04-22T09:00:02Z","version":4}
`
	elsewhere = `{"endpoints":3,"event":"not_placed","msg":"not_placed","reason":"region","regions":"eu","request":"q6","service":"desk","time":"2026-04-22T09:00:01Z"}
{"event":"refused","msg":"no endpoint of service desk is in the regions that the request may use: eu","outcome":"not run","reason":"region","request":"q6","status":503,"time":"2026-04-22T09:00:01Z","version":4}
`
	served = `{"endpoint":"i-aa","event":"served","msg":"served","request":"q4","status":200,"time":"2026-04-22T09:00:01Z"}
`
)

func read(t *testing.T, texts ...string) *Log {
	var l Log
	for _, text := range texts {
		require.NoError(t, l.Read(strings.NewReader(text)))
	}
	return &l
}

// Each kind of failure must be explained from its lines alone, in whatever
// order the files of the instances are read.
func TestCauses(t *testing.T) {
	l := read(t, served, unknown, storeAway, cutOff, elsewhere)
	require.Equal(t, "no endpoint could be used in the regions that the route and the account of the request allow: "+
		"no endpoint of service desk is in the regions that the request may use: eu; the request has not run", l.Cause("q6"))
	require.Equal(t, "engine i-70 ended the stream after its notice (seen at 2026-04-22T09:36:41.36Z by list), and there was no copy of its memory", l.Cause("q1"))
	require.Equal(t, "the instance knew no routing table, because the store did not answer since 2026-04-22T09:00:01Z; the request has not run", l.Cause("q2"))
	require.Equal(t, "endpoint i-aa gave no answer in time; it is not known whether the request ran", l.Cause("q3"))
	require.Equal(t, "none: the request was served", l.Cause("q4"))
	require.Equal(t, "no line tells of this request", l.Cause("q5"))
}

// Guards against three causes that were reported as another one: an error
// response that was passed on to the caller, an instance that was killed, and
// an instance whose grace time had run out.
func TestCausesOfInstancesAndFailures(t *testing.T) {
	l := read(t, `{"event":"start","instance":"a","time":"2026-04-22T09:00:00Z"}
{"endpoint":"i-1","event":"attempt_failed","instance":"a","detail":"replica answered 500","request":"q1","time":"2026-04-22T09:00:01Z"}
{"endpoint":"i-2","event":"attempt_failed","instance":"a","detail":"replica answered 500","request":"q1","time":"2026-04-22T09:00:02Z"}
{"endpoint":"i-2","event":"failure_passed_on","instance":"a","status":500,"request":"q1","time":"2026-04-22T09:00:02Z"}
{"endpoint":"i-2","event":"failure_passed_on","instance":"a","status":500,"request":"q2","time":"2026-04-22T09:00:02Z"}
{"endpoint":"i-3","event":"relaying","instance":"a","request":"q3","time":"2026-04-22T09:00:03Z"}
{"event":"start","instance":"a","time":"2026-04-22T09:00:09Z"}
{"endpoint":"i-3","event":"relaying","instance":"a","request":"q4","time":"2026-04-22T09:00:10.5Z"}
{"error":"canceled (unknown): context canceled: answer broke off","event":"cut","instance":"a","request":"q4","stopping":true,"time":"2026-04-22T09:00:10.51Z"}
{"error":"canceled (unknown): context canceled: answer broke off","event":"cut","instance":"a","request":"q5","stopping":false,"time":"2026-04-22T09:00:11Z"}
{"error":"canceled (unknown): context deadline exceeded: answer broke off","event":"cut","instance":"a","request":"q6","stopping":false,"time":"2026-04-22T09:00:11Z"}
{"event":"stopped","instance":"a","time":"2026-04-22T09:00:12Z"}
{"event":"start","instance":"a","time":"2026-04-22T09:00:13Z"}
{"endpoint":"i-3","event":"relaying","instance":"a","request":"q7","time":"2026-04-22T09:00:14Z"}
`)
	require.Equal(t, "endpoint i-2 answered 500, which was passed on; endpoint i-1 had failed before (replica answered 500)", l.Cause("q1"))
	require.Equal(t, "endpoint i-2 answered 500, which was passed on", l.Cause("q2"))
	require.Equal(t, "instance a ended with the request in work, without a stop (it started again at 2026-04-22T09:00:09Z)", l.Cause("q3"))
	require.Equal(t, "the instance was stopping and its grace time was over", l.Cause("q4"))
	require.Equal(t, "the caller left in the middle of the answer", l.Cause("q5"))
	require.Equal(t, "the deadline passed in the middle of the answer", l.Cause("q6"))
	require.Equal(t, "the log ends while the request was in work; its instance may have ended then", l.Cause("q7"))
	require.Equal(t, []string{"a before 2026-04-22T09:00:09Z"}, l.Crashes())
	require.Len(t, l.Top(), 6, "q7 may be in work still")
}

// Each cause of an answer that broke off must be named, and a change of the routing
// table shortly before it.
func TestCausesOfCuts(t *testing.T) {
	l := read(t, `{"cause":"caller","error":"write answer: broken pipe","event":"cut","installed":3000,"request":"q1","time":"2026-04-22T09:00:01Z"}
{"cause":"unread","error":"write answer: i/o timeout","event":"cut","request":"q2","time":"2026-04-22T09:00:01Z"}
{"cause":"deadline","error":"timeout (unknown): context deadline exceeded","event":"cut","request":"q3","time":"2026-04-22T09:00:01Z"}
{"cause":"stop","error":"canceled (unknown): context canceled","event":"cut","request":"q4","time":"2026-04-22T09:00:01Z"}
{"event":"panic","request":"q5","stack":"...","time":"2026-04-22T09:00:01Z"}
{"cause":"panic","error":"index out of range","event":"cut","installed":120,"request":"q5","time":"2026-04-22T09:00:01.1Z"}
{"cause":"endpoint","error":"answer of d1: unexpected EOF","event":"cut","installed":2999,"request":"q6","time":"2026-04-22T09:00:01Z"}
{"event":"panic","request":"q7","stack":"...","time":"2026-04-22T09:00:01Z"}
{"event":"refused","installed":120,"outcome":"unknown","reason":"internal","request":"q7","time":"2026-04-22T09:00:01.1Z"}
`)
	require.Equal(t, "the caller left in the middle of the answer", l.Cause("q1"))
	require.Equal(t, "the caller did not read the answer until its deadline", l.Cause("q2"))
	require.Equal(t, "the deadline passed in the middle of the answer", l.Cause("q3"))
	require.Equal(t, "the instance was stopping and its grace time was over", l.Cause("q4"))
	require.Equal(t, "the instance failed in the middle of the answer; its line panic has the stack; the routing table had changed shortly before", l.Cause("q5"))
	require.Equal(t, "the answer broke off: answer of d1: unexpected EOF; the routing table had changed shortly before", l.Cause("q6"))
	require.Equal(t, "the instance failed while it handled the request; its line panic has the stack; it is not known whether the request ran; "+
		"the routing table had changed shortly before", l.Cause("q7"))
}

// Times have a varying number of digits: "10.5Z" is earlier than "10.51Z",
// although it sorts after it as a string.
func TestOrderOfTimes(t *testing.T) {
	l := read(t, `{"event":"served","request":"q","time":"2026-04-22T09:00:10.51Z"}
{"event":"relaying","request":"q","time":"2026-04-22T09:00:10.5Z"}
`)
	require.Equal(t, "none: the request was served", l.Cause("q"))
}

// The output for a request has its lines in the order of time, and an unknown
// ID is reported as not found.
func TestExplain(t *testing.T) {
	l := read(t, cutOff)
	var out strings.Builder
	found, err := l.Explain(&out, "q1")
	require.NoError(t, err)
	require.True(t, found)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 5)
	require.Contains(t, lines[0], "copy_failed")
	require.Contains(t, lines[1], "prompt=4340 waited=607")
	require.True(t, strings.HasPrefix(lines[4], "cause: "))
	found, err = l.Explain(&out, "q9")
	require.NoError(t, err)
	require.False(t, found)
}

// Failures are grouped by cause, without the names and times that differ.
func TestTop(t *testing.T) {
	again := strings.NewReplacer("q1", "q7", "i-70", "i-71", "09:36:41.36Z", "09:36:41.99Z").Replace(cutOff)
	l := read(t, cutOff, again, unknown, served)
	top := l.Top()
	require.Len(t, top, 2)
	require.Equal(t, 2, top[0].Count)
	require.Equal(t, "q1", top[0].Example)
	require.Contains(t, top[0].Text, "engine ended the stream after its notice")
}

// The version of the routing table must not split a cause: with many versions
// on one day, the same refusal filled the whole list.
func TestTopLeavesVersionsOut(t *testing.T) {
	const line = `{"event":"refused","msg":"no route for h/x","outcome":"not run","reason":"no_service","request":"q1",` +
		`"status":404,"time":"2026-04-22T09:00:02Z","version":23}` + "\n"
	l := read(t, line, strings.NewReplacer("q1", "q2", "23", "26").Replace(line))
	require.Len(t, l.Top(), 1)
}

// Truncated lines and lines from other sources are counted and skipped.
func TestForeignLines(t *testing.T) {
	l := read(t, "panic: something\n"+served+cutOff[:40]+"\n\n")
	require.Equal(t, 3, l.Unparsed)
	require.Len(t, l.Requests, 1)
}

func FuzzRead(f *testing.F) {
	f.Add(cutOff)
	f.Add(storeAway)
	f.Fuzz(func(_ *testing.T, text string) {
		var l Log
		if l.Read(strings.NewReader(text)) == nil {
			l.Top()
		}
	})
}

// Guards against an engine that is said to have ended a stream, although the
// instance rejected what it sent.
func TestRejectedEvents(t *testing.T) {
	l := read(t, `{"backup":false,"detail":"stream of i-70: event 1 after event 3","reason":"garbage","endpoint":"i-70","event":"stream_broken","request":"q1","time":"2026-04-22T09:36:43.06Z"}
{"error":"garbage (unknown): answer broke off","event":"cut","request":"q1","time":"2026-04-22T09:36:43.07Z"}
`)
	require.Equal(t, "engine i-70 sent something else than the next event, and there was no copy of its memory", l.Cause("q1"))
}

// Guards against a refusal in an overload that does not say what there was too little of.
func TestRefusalInAnOverload(t *testing.T) {
	l := read(t, `{"cause":"late","event":"not_placed","forecast":2300,"queue":3,"reason":"overload","request":"q1","retry":640,"room":0,"time":"2026-04-22T09:36:43.06Z","waited":1}
{"event":"refused","msg":"no engine can serve the request in time (late)","outcome":"not run","reason":"overload","request":"q1","time":"2026-04-22T09:36:43.07Z"}
`)
	require.Contains(t, l.Cause("q1"), "overload: the prompts that engines still had to compute would have made it late")
	require.Contains(t, l.Cause("q1"), "first event forecast in 2300 ms")
}
