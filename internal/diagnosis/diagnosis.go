// Package diagnosis derives from log lines how a request ended and why.
//
// A Log collects the lines of one or more instances, from any number of files
// in any order, and sorts the lines of a request by time. Every explanation
// follows from these lines alone. Lines that are not JSON objects with a valid
// time are counted and skipped.
package diagnosis

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	maxLine      = 1 << 20 // longest log line that is read, in bytes
	changeWindow = 3000    // a request that ended badly within this time after a change of the routing table, in ms, is told apart
)

type (
	// Line is one parsed log line.
	Line struct {
		At    time.Time
		Time  string // the time as written in the line
		Event string
		Text  string
		Field map[string]any
	}

	// Log holds the log lines about requests, endpoints, starts and stops of
	// instances, and the availability of the store.
	Log struct {
		Requests map[string][]Line // by request ID
		Leaving  map[string][]Line // notices that an endpoint will leave, by endpoint ID
		Starts   map[string][]Line // starts and graceful stops of processes, by instance name
		Store    []Line            // losses of the store and recoveries
		Unparsed int               // number of lines that could not be parsed
	}

	// Cause is a group of failed requests with the same cause.
	Cause struct {
		Text    string
		Count   int
		Example string
	}
)

// namedCauses explains the causes of answers that broke off, except for endpoint,
// which other lines explain.
var namedCauses = map[string]string{
	"caller":   "the caller left in the middle of the answer",
	"unread":   "the caller did not read the answer until its deadline",
	"deadline": "the deadline passed in the middle of the answer",
	"stop":     "the instance was stopping and its grace time was over",
	"panic":    "the instance failed in the middle of the answer; its line panic has the stack",
}

// Read adds the lines of r up to its end.
func (l *Log) Read(r io.Reader) error {
	if l.Requests == nil {
		l.Requests, l.Leaving, l.Starts = map[string][]Line{}, map[string][]Line{}, map[string][]Line{}
	}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		text := lines.Bytes()
		// Skip a prefix that a log collector has put before the JSON object.
		if i := strings.IndexByte(string(text), '{'); i > 0 {
			text = text[i:]
		}
		field := map[string]any{}
		if err := json.Unmarshal(text, &field); err != nil {
			l.Unparsed++
			continue
		}
		x := Line{Field: field}
		x.Time, x.Event, x.Text = x.get("time"), x.get("event"), x.get("msg")
		var err error
		if x.At, err = time.Parse(time.RFC3339Nano, x.Time); err != nil {
			l.Unparsed++
			continue
		}
		if id := x.get("request"); id != "" {
			l.Requests[id] = append(l.Requests[id], x)
		}
		switch x.Event {
		case "endpoint_leaves":
			l.Leaving[x.get("endpoint")] = append(l.Leaving[x.get("endpoint")], x)
		case "start", "stopped":
			l.Starts[x.get("instance")] = append(l.Starts[x.get("instance")], x)
		case "store_lost", "store_back":
			l.Store = append(l.Store, x)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

// get returns a field as text, empty if the line does not have it.
func (x Line) get(name string) string {
	switch v := x.Field[name].(type) {
	case nil:
		return ""
	case string:
		return v
	case float64:
		return fmt.Sprintf("%g", v)
	default:
		return fmt.Sprint(v)
	}
}

// extraFields returns the fields as name=value pairs, without those that
// Explain prints apart or omits: time, event, message, level and request.
func (x Line) extraFields() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(x.Field)) {
		switch name {
		case "time", "event", "msg", "level", "request":
		default:
			if v := x.get(name); v != "" {
				parts = append(parts, name+"="+v)
			}
		}
	}
	return strings.Join(parts, " ")
}

// lines returns the lines of a request in the order of their times.
func (l *Log) lines(id string) []Line {
	list := slices.Clone(l.Requests[id])
	slices.SortStableFunc(list, func(a, b Line) int { return a.At.Compare(b.At) })
	return list
}

// Explain writes the lines of a request and its cause. It returns false if no
// line mentions the request.
func (l *Log) Explain(w io.Writer, id string) (bool, error) {
	list := l.lines(id)
	if len(list) == 0 {
		return false, nil
	}
	for _, x := range list {
		if _, err := fmt.Fprintf(w, "%s %-16s %s\n", x.Time, x.Event, x.extraFields()); err != nil {
			return true, fmt.Errorf("write explanation: %w", err)
		}
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", l.Cause(id))
	if err != nil {
		return true, fmt.Errorf("write explanation: %w", err)
	}
	return true, nil
}

// Cause returns one sentence that explains how a request ended.
func (l *Log) Cause(id string) string {
	list := l.lines(id)
	if len(list) == 0 {
		return "no line tells of this request"
	}
	end := list[len(list)-1]
	switch end.Event {
	case "served":
		return "none: the request was served"
	case "cut":
		return l.explainCut(list) + describeChange(end)
	case "refused":
		return l.explainRefusal(list, end) + describeChange(end)
	case "failure_passed_on":
		return explainFailure(list, end)
	}
	if at, ok := l.restartAfter(end); ok {
		return "instance " + end.get("instance") + " ended with the request in work, without a stop (it started again at " + at + ")"
	}
	return "the log ends while the request was in work; its instance may have ended then"
}

// restartAfter reports whether the instance of a line ended after that line
// without a graceful stop, and returns the time of its next start.
func (l *Log) restartAfter(x Line) (string, bool) {
	next := Line{}
	for _, s := range l.Starts[x.get("instance")] {
		if s.At.After(x.At) && (next.Event == "" || s.At.Before(next.At)) {
			next = s
		}
	}
	return next.Time, next.Event == "start"
}

// Crashes lists the instances that ended without a graceful stop, with the time
// of their next start. Such an instance logs no outcome for the requests that
// were in flight.
func (l *Log) Crashes() (list []string) {
	for _, name := range slices.Sorted(maps.Keys(l.Starts)) {
		lines := slices.SortedFunc(slices.Values(l.Starts[name]), func(a, b Line) int { return a.At.Compare(b.At) })
		for i := 1; i < len(lines); i++ {
			if lines[i-1].Event == "start" && lines[i].Event == "start" {
				list = append(list, name+" before "+lines[i].Time)
			}
		}
	}
	return list
}

// explainFailure explains an error response of an endpoint that was passed on
// to the caller.
func explainFailure(list []Line, end Line) string {
	text := "endpoint " + end.get("endpoint") + " answered " + end.get("status") + ", which was passed on"
	for _, x := range slices.Backward(list) {
		if x.Event == "attempt_failed" && x.get("endpoint") != end.get("endpoint") {
			return text + "; endpoint " + x.get("endpoint") + " had failed before (" + cmp.Or(x.get("detail"), x.get("reason")) + ")"
		}
	}
	return text
}

// lastEvent returns the latest line with one of the events.
func lastEvent(list []Line, events ...string) (Line, bool) {
	for _, x := range slices.Backward(list) {
		if slices.Contains(events, x.Event) {
			return x, true
		}
	}
	return Line{}, false
}

// explainCut explains an answer that broke off.
func (l *Log) explainCut(list []Line) string {
	end := list[len(list)-1]
	if text, ok := namedCauses[end.get("cause")]; ok {
		return text
	}
	if strings.Contains(end.get("error"), "caller left") {
		return "the caller left"
	}
	if text := end.get("error"); strings.Contains(text, "context canceled") || strings.Contains(text, "deadline exceeded") {
		return explainCanceled(end)
	}
	broken, ok := lastEvent(list, "stream_broken", "engine_silent")
	if !ok {
		return "the answer broke off: " + end.get("error")
	}
	text := "engine " + broken.get("endpoint") + " ended the stream" + l.describeNotice(broken)
	if broken.get("reason") == "garbage" {
		text = "engine " + broken.get("endpoint") + " sent something else than the next event"
	}
	switch after, _ := lastEvent(list, "attempt_refused", "attempt_failed"); {
	case after.Event == "attempt_refused" && after.get("from") != "":
		return text + ", and the engine with the copy of its memory did not have it"
	case after.Event == "attempt_failed" && after.get("from") != "":
		return text + ", and the engine with the copy of its memory could not be reached"
	case broken.get("backup") == "false":
		return text + ", and there was no copy of its memory"
	}
	return text
}

// explainCanceled explains an answer that was canceled or ran into its deadline
// while its engine was still producing it.
func explainCanceled(end Line) string {
	switch {
	case end.get("stopping") == "true":
		return namedCauses["stop"]
	case strings.Contains(end.get("error"), "deadline exceeded"):
		return namedCauses["deadline"]
	}
	return namedCauses["caller"]
}

// describeChange returns a clause that says that the routing table had changed
// shortly before a line, empty if it had not.
func describeChange(end Line) string {
	if ms, ok := end.Field["installed"].(float64); ok && ms < changeWindow {
		return "; the routing table had changed shortly before"
	}
	return ""
}

// describeNotice returns a clause that says whether the endpoint of a line had
// announced before it that it would leave.
func (l *Log) describeNotice(broken Line) string {
	for _, x := range l.Leaving[broken.get("endpoint")] {
		if !x.At.After(broken.At) {
			return " after its notice (seen at " + x.Time + " by " + x.get("source") + ")"
		}
	}
	return " without a notice that was seen"
}

// explainRefusal explains a refusal.
func (l *Log) explainRefusal(list []Line, end Line) string {
	tail := "; the request has not run"
	if end.get("outcome") != "not run" {
		tail = "; it is not known whether the request ran"
	}
	attempt, tried := lastEvent(list, "attempt_failed", "attempt_refused")
	switch reason := end.get("reason"); reason {
	case "store":
		return "the instance knew no routing table" + l.describeOutage(end) + tail
	case "no_service", "bad_key", "bad_request", "too_large":
		return "routing table " + end.get("version") + " allows no such request: " + end.Text + tail
	case "overload", "no_endpoint":
		if text, ok := describeAdmission(list); ok {
			return text + tail
		}
		return "no engine or replica could take the request: " + end.Text + tail
	case "stopping":
		return "the instance was stopping" + tail
	case "endpoint_limit":
		return "all endpoints that could be used had named limits, asked for pauses or were cold; the lines limit_named, pause_asked and endpoint_cold say which" + tail
	case "region":
		return "no endpoint could be used in the regions that the route and the account of the request allow: " + end.Text + tail
	case "quarantined":
		if held, ok := lastEvent(list, "quarantined", "withdrawn"); ok && strings.HasPrefix(end.Text, "the request") {
			return "the request had crashed the endpoints that ran it; the lines crash_suspect with digest " + held.get("digest") + " name them" + tail
		}
		return "a part of the prompt had crashed engines; the lines crash_suspect name the prompts" + tail
	case "timeout", "deadline":
		if tried {
			return "endpoint " + attempt.get("endpoint") + " gave no answer in time" + tail
		}
		return "the time was over: " + end.Text + tail
	case "broken", "dial", "rejected":
		if tried {
			return "endpoint " + attempt.get("endpoint") + " failed (" + cmp.Or(attempt.get("reason"), "refused") + ")" + l.describeNotice(attempt) + tail
		}
		return end.Text + tail
	case "canceled":
		return "the caller left" + tail
	case "internal":
		return "the instance failed while it handled the request; its line panic has the stack" + tail
	}
	return end.Text + tail
}

// describeOutage returns a clause with the time since which the store did not
// answer, empty if it was available at the time of the line.
func (l *Log) describeOutage(end Line) string {
	var latest Line
	for _, x := range l.Store {
		if !x.At.After(end.At) && !x.At.Before(latest.At) {
			latest = x
		}
	}
	if latest.Event == "store_lost" {
		return ", because the store did not answer since " + latest.Time
	}
	return ""
}

// Top groups the requests that were not served by cause, the largest group
// first. Causes are compared without the names of endpoints and instances,
// table versions and times.
func (l *Log) Top() []Cause {
	groups := map[string]*Cause{}
	for _, id := range slices.Sorted(maps.Keys(l.Requests)) {
		list := l.lines(id)
		end := list[len(list)-1]
		switch end.Event {
		case "cut", "refused", "failure_passed_on":
		case "served":
			continue
		default:
			if _, lost := l.restartAfter(end); !lost {
				continue // it may still be in flight
			}
		}
		text := generalize(l.Cause(id))
		if groups[text] == nil {
			groups[text] = &Cause{Text: text, Example: id}
		}
		groups[text].Count++
	}
	causes := make([]Cause, 0, len(groups))
	for _, c := range groups {
		causes = append(causes, *c)
	}
	slices.SortFunc(causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Text, b.Text))
	})
	return causes
}

// generalize removes names and versions from a cause and replaces times and
// addresses by "...".
func generalize(text string) string {
	words := strings.Fields(text)
	kept := words[:0]
	for i, word := range words {
		if i > 0 && (words[i-1] == "engine" || words[i-1] == "endpoint" || words[i-1] == "table" || words[i-1] == "instance") && strings.ContainsAny(word, "0123456789") {
			continue
		}
		if strings.Count(word, ":") >= 2 || strings.Contains(word, "/") && strings.ContainsAny(word, "0123456789") {
			word = "..."
		}
		kept = append(kept, word)
	}
	return strings.Join(kept, " ")
}
