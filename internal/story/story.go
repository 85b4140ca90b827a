// Package story finds out from log lines what became of a request.
//
// Lines of several instances may be given together and in any order of files;
// they are put in the order of their times. Lines that are no JSON objects are
// counted and passed over.
package story

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

const maxLine = 1 << 20 // bytes of one line

type (
	// Line is one log line.
	Line struct {
		At    time.Time
		Time  string // as the line has it
		Event string
		Text  string
		Field map[string]any
	}

	// Log holds the lines that tell of requests and endpoints.
	Log struct {
		Requests map[string][]Line // by the request's ID
		Leaving  map[string][]Line // by the endpoint's ID
		Starts   map[string][]Line // of processes, and their proper ends, by the instance's name
		Store    []Line            // store lost and back
		Foreign  int               // lines that could not be read
	}

	// Cause is a group of requests that failed alike.
	Cause struct {
		Text    string
		Count   int
		Example string
	}
)

// Read takes in lines until the end of r.
func (l *Log) Read(r io.Reader) error {
	if l.Requests == nil {
		l.Requests, l.Leaving, l.Starts = map[string][]Line{}, map[string][]Line{}, map[string][]Line{}
	}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		text := lines.Bytes()
		// What a collector put before the line is passed over.
		if i := strings.IndexByte(string(text), '{'); i > 0 {
			text = text[i:]
		}
		field := map[string]any{}
		if err := json.Unmarshal(text, &field); err != nil {
			l.Foreign++
			continue
		}
		x := Line{Field: field}
		x.Time, x.Event, x.Text = x.get("time"), x.get("event"), x.get("msg")
		var err error
		if x.At, err = time.Parse(time.RFC3339Nano, x.Time); err != nil {
			l.Foreign++
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

// inputs gives the fields of a line that are not its frame.
func (x Line) inputs() string {
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

func (l *Log) lines(id string) []Line {
	list := slices.Clone(l.Requests[id])
	slices.SortStableFunc(list, func(a, b Line) int { return a.At.Compare(b.At) })
	return list
}

// Tell writes the story of a request. It is false if no line tells of it.
func (l *Log) Tell(w io.Writer, id string) (bool, error) {
	list := l.lines(id)
	if len(list) == 0 {
		return false, nil
	}
	for _, x := range list {
		if _, err := fmt.Fprintf(w, "%s %-16s %s\n", x.Time, x.Event, x.inputs()); err != nil {
			return true, fmt.Errorf("write story: %w", err)
		}
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", l.Cause(id))
	if err != nil {
		return true, fmt.Errorf("write story: %w", err)
	}
	return true, nil
}

// Cause gives the cause of what became of a request in one sentence.
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
		return l.cut(list)
	case "refused":
		return l.refused(list, end)
	case "failure_passed_on":
		return failure(list, end)
	}
	if at, ok := l.lost(end); ok {
		return "instance " + end.get("instance") + " ended with the request in work, without a stop (it started again at " + at + ")"
	}
	return "the log ends while the request was in work; its instance may have ended then"
}

// lost tells whether the instance of a line ended after it without a stop, and
// when it started again.
func (l *Log) lost(x Line) (string, bool) {
	next := Line{}
	for _, s := range l.Starts[x.get("instance")] {
		if s.At.After(x.At) && (next.Event == "" || s.At.Before(next.At)) {
			next = s
		}
	}
	return next.Time, next.Event == "start"
}

// Lost lists the instances that ended without a stop, with the time of their
// next start: they said nothing of the requests that were in work.
func (l *Log) Lost() (list []string) {
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

// failure explains the failure of an endpoint that went to the caller.
func failure(list []Line, end Line) string {
	text := "endpoint " + end.get("endpoint") + " answered " + end.get("status") + ", which was passed on"
	for _, x := range slices.Backward(list) {
		if x.Event == "attempt_failed" && x.get("endpoint") != end.get("endpoint") {
			return text + "; endpoint " + x.get("endpoint") + " had failed before (" + cmp.Or(x.get("detail"), x.get("reason")) + ")"
		}
	}
	return text
}

// last gives the latest of the events.
func last(list []Line, events ...string) (Line, bool) {
	for _, x := range slices.Backward(list) {
		if slices.Contains(events, x.Event) {
			return x, true
		}
	}
	return Line{}, false
}

// cut explains an answer that broke off.
func (l *Log) cut(list []Line) string {
	if strings.Contains(list[len(list)-1].get("error"), "caller left") {
		return "the caller left"
	}
	end := list[len(list)-1]
	if text := end.get("error"); strings.Contains(text, "context canceled") || strings.Contains(text, "deadline exceeded") {
		return ended(end)
	}
	broken, ok := last(list, "stream_broken", "engine_silent")
	if !ok {
		return "the answer broke off: " + end.get("error")
	}
	text := "engine " + broken.get("endpoint") + " ended the stream" + l.notice(broken)
	switch after, _ := last(list, "attempt_refused", "attempt_failed"); {
	case after.Event == "attempt_refused" && after.get("from") != "":
		return text + ", and the engine with the copy of its memory did not have it"
	case after.Event == "attempt_failed" && after.get("from") != "":
		return text + ", and the engine with the copy of its memory could not be reached"
	case broken.get("backup") == "false":
		return text + ", and there was no copy of its memory"
	}
	return text
}

// ended explains an answer that broke off while its engine went on.
func ended(end Line) string {
	switch {
	case end.get("stopping") == "true":
		return "the instance was stopping and its grace time was over"
	case strings.Contains(end.get("error"), "deadline exceeded"):
		return "the deadline passed in the middle of the answer"
	}
	return "the caller left in the middle of the answer"
}

// notice says whether an engine had given notice.
func (l *Log) notice(broken Line) string {
	for _, x := range l.Leaving[broken.get("endpoint")] {
		if !x.At.After(broken.At) {
			return " after its notice (seen at " + x.Time + " by " + x.get("source") + ")"
		}
	}
	return " without a notice that was seen"
}

// refused explains a refusal.
func (l *Log) refused(list []Line, end Line) string {
	tail := "; the request has not run"
	if end.get("outcome") != "not run" {
		tail = "; it is not known whether the request ran"
	}
	attempt, tried := last(list, "attempt_failed", "attempt_refused")
	switch reason := end.get("reason"); reason {
	case "store":
		return "the instance knew no routing table" + l.outage(end) + tail
	case "no_service", "bad_key", "bad_request", "too_large":
		return "routing table " + end.get("version") + " allows no such request: " + end.Text + tail
	case "overload", "no_endpoint":
		return "no engine or replica could take the request: " + end.Text + tail
	case "stopping":
		return "the instance was stopping" + tail
	case "timeout", "deadline":
		if tried {
			return "endpoint " + attempt.get("endpoint") + " gave no answer in time" + tail
		}
		return "the time was over: " + end.Text + tail
	case "broken", "dial", "rejected":
		if tried {
			return "endpoint " + attempt.get("endpoint") + " failed (" + cmp.Or(attempt.get("reason"), "refused") + ")" + l.notice(attempt) + tail
		}
		return end.Text + tail
	case "canceled":
		return "the caller left" + tail
	}
	return end.Text + tail
}

// outage says when the store was lost before a line.
func (l *Log) outage(end Line) string {
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

// Top groups the requests that were not served by their causes, most first.
// The names of endpoints and times are left out of a cause.
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
			if _, lost := l.lost(end); !lost {
				continue // it may be in work still
			}
		}
		text := general(l.Cause(id))
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

// general takes names, times and addresses out of a cause.
func general(text string) string {
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
