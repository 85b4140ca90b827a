package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/version/config"
)

type (
	// Change is a command that made a version.
	Change struct {
		Version int64     `json:"version"`
		Who     string    `json:"who"`
		Text    string    `json:"text"`
		At      time.Time `json:"at"`
	}

	// Conflict means that another change came first. Nothing was written.
	Conflict struct {
		Saw     int64    `json:"saw"`
		Now     int64    `json:"now"`
		Winners []Change `json:"winners,omitempty"`
		// Changed lists the differences between the two versions, if the one
		// that the operator saw is still known.
		Changed []string `json:"changed,omitempty"`
		// Detail is what the store said, if this entry lacks the newer version.
		Detail string `json:"detail,omitempty"`

		related bool // the changes concern the command's own objects
	}
)

// ErrConflict is what Desk.Edit returns if its conditional write failed
// because another version was written first.
var ErrConflict = errors.New("another change came first")

// Error names the winners and what they changed.
func (c *Conflict) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "not changed: you saw version %d, but ", c.Saw)
	if c.Now == c.Saw {
		b.WriteString("a newer one exists")
	} else {
		fmt.Fprintf(&b, "the configuration is at version %d", c.Now)
	}
	for _, w := range c.Winners {
		fmt.Fprintf(&b, "\n  version %d by %s: %s", w.Version, w.Who, strings.Map(flatten, w.Text))
	}
	for _, line := range c.Changed {
		b.WriteString("\n  changed: " + line)
	}
	if c.Detail != "" {
		b.WriteString("\n  " + strings.Map(flatten, c.Detail))
	}
	return b.String()
}

// Is makes errors.Is(err, ErrConflict) hold.
func (c *Conflict) Is(target error) bool { return target == ErrConflict }

// differences lists what differs between two documents, one line for each
// field of each object.
func differences(was, now *config.Document) []string {
	lines := differ("account", was.Accounts, now.Accounts, func(a config.Account) string { return a.ID })
	lines = append(lines, differ("service", was.Services, now.Services, func(s config.Service) string { return s.ID })...)
	lines = append(lines, differ("endpoint", was.Endpoints, now.Endpoints, func(e config.Endpoint) string { return e.ID })...)
	if !slices.Equal(was.Secrets, now.Secrets) {
		lines = append(lines, "secrets") // never shown
	}
	return lines
}

func differ[T any](what string, was, now []T, id func(T) string) []string {
	old := make(map[string]T, len(was))
	for _, item := range was {
		old[id(item)] = item
	}
	var lines []string
	for _, item := range now {
		before, ok := old[id(item)]
		delete(old, id(item))
		switch {
		case !ok:
			lines = append(lines, what+" "+id(item)+" added")
		case !reflect.DeepEqual(before, item):
			lines = append(lines, differFields(what+" "+id(item), before, item)...)
		}
	}
	for _, item := range was {
		if _, gone := old[id(item)]; gone {
			lines = append(lines, what+" "+id(item)+" removed")
		}
	}
	return lines
}

// differFields compares two objects by their JSON form, so that a field added
// to the configuration later is reported too.
func differFields(name string, was, now any) []string {
	before, after := jsonFields(was), jsonFields(now)
	names := make([]string, 0, len(before)+len(after))
	for field := range before {
		names = append(names, field)
	}
	for field := range after {
		names = append(names, field)
	}
	slices.Sort(names)
	var lines []string
	for _, field := range slices.Compact(names) {
		if bytes.Equal(before[field], after[field]) {
			continue
		}
		if field == "keys" {
			lines = append(lines, name+" keys") // hashes say nothing to a reader
			continue
		}
		lines = append(lines, fmt.Sprintf("%s %s: %s, now %s", name, field, orNone(before[field]), orNone(after[field])))
	}
	return lines
}

func jsonFields(v any) map[string]json.RawMessage {
	fields := map[string]json.RawMessage{}
	data, err := json.Marshal(v)
	if err == nil {
		err = json.Unmarshal(data, &fields)
	}
	if err != nil {
		return nil
	}
	return fields
}

func orNone(v json.RawMessage) string {
	if len(v) == 0 {
		return "none"
	}
	return string(v)
}
