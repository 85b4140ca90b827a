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
	// Change describes the command that wrote a version.
	Change struct {
		Version int64     `json:"version"`
		Who     string    `json:"who"`
		Text    string    `json:"text"`
		At      time.Time `json:"at"`
	}

	// Conflict is the error of a command that was not written because another
	// change was written first.
	Conflict struct {
		Saw     int64    `json:"saw"`
		Now     int64    `json:"now"`
		Winners []Change `json:"winners,omitempty"`
		// Changed lists the differences between the two versions, if this entry
		// still has the one that the operator saw.
		Changed []string `json:"changed,omitempty"`
		// Detail is the error text of a rejected conditional write. This entry may
		// not have received the newer version yet.
		Detail string `json:"detail,omitempty"`

		// related means that the changes concern objects that the command changes
		// or is checked against.
		related bool
	}
)

// ErrConflict is returned by Executor.Edit and Executor.Overlay if the
// conditional write failed because another version was written first.
var ErrConflict = errors.New("another change came first")

// Error describes the versions that were written first, who wrote them and what
// they changed.
func (c *Conflict) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "not changed: you saw version %d, but ", c.Saw)
	if c.Now == c.Saw {
		b.WriteString("a newer one exists")
	} else {
		fmt.Fprintf(&b, "the configuration is at version %d", c.Now)
	}
	for _, w := range c.Winners {
		fmt.Fprintf(&b, "\n  version %d by %s: %s", w.Version, w.Who, strings.Map(blankControl, w.Text))
	}
	for _, line := range c.Changed {
		b.WriteString("\n  changed: " + line)
	}
	if c.Detail != "" {
		b.WriteString("\n  " + strings.Map(blankControl, c.Detail))
	}
	return b.String()
}

// Is reports whether target is ErrConflict.
func (c *Conflict) Is(target error) bool { return target == ErrConflict }

// diffDocuments lists the differences between two documents: one line for each
// changed field of an object and for each object added or removed.
func diffDocuments(was, now *config.Document) []string {
	lines := diffItems("account", was.Accounts, now.Accounts, func(a config.Account) string { return a.ID })
	lines = append(lines, diffItems("service", was.Services, now.Services, func(s config.Service) string { return s.ID })...)
	lines = append(lines, diffItems("endpoint", was.Endpoints, now.Endpoints, func(e config.Endpoint) string { return e.ID })...)
	if !slices.Equal(was.Secrets, now.Secrets) {
		lines = append(lines, "secrets") // the values are never shown
	}
	return lines
}

func diffItems[T any](what string, was, now []T, id func(T) string) []string {
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
			lines = append(lines, diffFields(what+" "+id(item), before, item)...)
		}
	}
	for _, item := range was {
		if _, gone := old[id(item)]; gone {
			lines = append(lines, what+" "+id(item)+" removed")
		}
	}
	return lines
}

// diffFields compares two objects by their JSON encoding, so that fields added to
// the configuration later are compared too.
func diffFields(name string, was, now any) []string {
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
			lines = append(lines, name+" keys") // key hashes mean nothing to a reader
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
