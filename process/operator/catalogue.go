package operator

import (
	"fmt"
	"slices"
	"strings"

	"github.com/eelgrassdock/eelgrassdock/version/config"
)

type (
	// Catalogue is what the names in a statement are checked against: one
	// version of the configuration and the entries known now.
	Catalogue struct {
		Document *config.Document
		Entries  []string
	}

	// Overlay is desired state for which the configuration document has no
	// field. It is stored and spread like the document.
	Overlay struct {
		Pins    []Pin    `json:"pins,omitempty"`
		Drained []string `json:"drained,omitempty"` // entries
	}

	// Pin sends an account's callers to one entry first. If the entry is gone
	// the pin has no effect.
	Pin struct {
		Account string `json:"account"`
		Entry   string `json:"entry"`
	}
)

// Check compares a statement's names with the catalogue and its change with
// the current state. An error is an *Error.
func (c Catalogue) Check(s *Statement) error {
	if !s.Command() || s.Cancel != nil {
		return nil
	}
	if edits(s) {
		doc := *c.Document
		_, err := change(&doc, s)
		return err
	}
	if s.Undrain != nil {
		return nil // the entry may be gone; only the stored overlay knows it
	}
	_, err := c.overlay(&Overlay{}, s)
	return err
}

// edits tells whether a command is an edit of the configuration document. The
// others edit the overlay, and cancel edits nothing.
func edits(s *Statement) bool {
	switch {
	case s.Move != nil, s.Cancel != nil:
		return false
	case s.Drain != nil:
		return s.Drain.Kind.Text != "entry"
	case s.Undrain != nil:
		return s.Undrain.Kind.Text != "entry"
	default:
		return s.Command()
	}
}

// overlay applies a command to the overlay and tells what changed.
func (c Catalogue) overlay(o *Overlay, s *Statement) ([]string, error) {
	switch {
	case s.Move != nil:
		return c.pin(o, s)
	case s.Drain != nil:
		return c.drainEntry(o, s, s.Drain.Name, true)
	default:
		return c.drainEntry(o, s, s.Undrain.Name, false)
	}
}

// stance describes the part of the overlay that a command is about.
func (o *Overlay) stance(s *Statement) string {
	switch {
	case s.Move != nil:
		for _, p := range o.Pins {
			if p.Account == s.Move.Account.Text {
				return "account " + p.Account + " goes to entry " + p.Entry
			}
		}
		return "account " + s.Move.Account.Text + " goes to no entry first"
	case s.Drain != nil:
		return fmt.Sprintf("entry %s drains: %t", s.Drain.Name.Text, slices.Contains(o.Drained, s.Drain.Name.Text))
	default:
		return fmt.Sprintf("entry %s drains: %t", s.Undrain.Name.Text, slices.Contains(o.Drained, s.Undrain.Name.Text))
	}
}

func (c Catalogue) pin(o *Overlay, s *Statement) ([]string, error) {
	at, err := findAccount(c.Document, s, s.Move.Account)
	if err != nil {
		return nil, err
	}
	if err := c.entry(s, s.Move.Entry); err != nil {
		return nil, err
	}
	pin := Pin{Account: c.Document.Accounts[at].ID, Entry: s.Move.Entry.Text}
	if slices.Contains(o.Pins, pin) {
		return nil, nil
	}
	pins := slices.DeleteFunc(slices.Clone(o.Pins), func(p Pin) bool { return p.Account == pin.Account })
	o.Pins = append(pins, pin)
	return []string{fmt.Sprintf("account %s goes to entry %s first", pin.Account, pin.Entry)}, nil
}

func (c Catalogue) drainEntry(o *Overlay, s *Statement, name Name, drain bool) ([]string, error) {
	drained := slices.Contains(o.Drained, name.Text)
	// An entry that is gone can still be undrained.
	if drain || !drained {
		if err := c.entry(s, name); err != nil {
			return nil, err
		}
	}
	if drained == drain {
		return nil, nil
	}
	if !drain {
		o.Drained = slices.DeleteFunc(slices.Clone(o.Drained), func(e string) bool { return e == name.Text })
		return []string{"entry " + name.Text + " takes new work"}, nil
	}
	if err := c.lastEntry(o, s, name); err != nil {
		return nil, err
	}
	o.Drained = append(slices.Clone(o.Drained), name.Text)
	return []string{"entry " + name.Text + " drains"}, nil
}

// lastEntry refuses to drain the only entry that still takes work, since no
// entry would then be left to take the drain back through.
func (c Catalogue) lastEntry(o *Overlay, s *Statement, name Name) error {
	for _, entry := range c.Entries {
		if entry != name.Text && !slices.Contains(o.Drained, entry) {
			return nil
		}
	}
	return errorAt(BadState, s.Text, name.Pos.Offset, "entry %q is the last one that takes work", name.Text)
}

func (c Catalogue) entry(s *Statement, name Name) error {
	return find(s, "entry", name, c.Entries)
}

func find(s *Statement, what string, name Name, names []string) error {
	if slices.Contains(names, name.Text) {
		return nil
	}
	names = slices.Sorted(slices.Values(names))
	return errorAt(BadName, s.Text, name.Pos.Offset, "no %s is named %q", what, name.Text).allow(name.Text, names)
}

func findAccount(doc *config.Document, s *Statement, name Name) (int, error) {
	return findIn(s, "account", name, doc.Accounts, func(a config.Account) string { return a.ID })
}

func findService(doc *config.Document, s *Statement, name Name) (int, error) {
	return findIn(s, "service", name, doc.Services, func(v config.Service) string { return v.ID })
}

func findEndpoint(doc *config.Document, s *Statement, name Name) (int, error) {
	return findIn(s, "endpoint", name, doc.Endpoints, func(e config.Endpoint) string { return e.ID })
}

func findIn[T any](s *Statement, what string, name Name, items []T, id func(T) string) (int, error) {
	if at := slices.IndexFunc(items, func(item T) bool { return id(item) == name.Text }); at >= 0 {
		return at, nil
	}
	names := make([]string, len(items))
	for i, item := range items {
		names[i] = id(item)
	}
	return -1, find(s, what, name, names)
}

// keysWith lists the account's key hashes that start with prefix.
func keysWith(a config.Account, prefix string) []string {
	var found []string
	for _, key := range a.Keys {
		if strings.HasPrefix(key, strings.ToLower(prefix)) {
			found = append(found, key)
		}
	}
	return found
}
