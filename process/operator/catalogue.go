package operator

import (
	"fmt"
	"slices"
	"strings"

	"github.com/eelgrassdock/eelgrassdock/version/config"
)

type (
	// Catalogue holds the objects that the names in a statement are checked
	// against: one version of the configuration and the current live entries.
	Catalogue struct {
		Document *config.Document
		Entries  []string
	}

	// Overlay holds desired state that is edited apart from the rest of the
	// configuration document. It is stored and distributed like the document.
	Overlay struct {
		Pins    []Pin    `json:"pins,omitempty"`
		Drained []string `json:"drained,omitempty"` // names of entries
	}

	// Pin sends an account's callers to one entry first. It has no effect while
	// the entry does not exist.
	Pin struct {
		Account string `json:"account"`
		Entry   string `json:"entry"`
	}
)

// Check compares a command's names with the catalogue and its change with the
// current state. Queries, help and cancel are not checked. An error is an *Error.
func (c Catalogue) Check(s *Statement) error {
	if !s.Command() || s.Cancel != nil {
		return nil
	}
	if editsDocument(s) {
		doc := *c.Document
		_, err := changeDocument(&doc, s)
		return err
	}
	if s.Undrain != nil {
		return nil // the entry may be gone and remain only in the stored overlay
	}
	_, err := c.changeOverlay(&Overlay{}, s)
	return err
}

// editsDocument reports whether a command edits the configuration document. The
// other commands edit the overlay, except cancel, which edits nothing.
func editsDocument(s *Statement) bool {
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

// changeOverlay applies a command to the overlay. It returns one line for each
// change, or none if the overlay already was as desired.
func (c Catalogue) changeOverlay(o *Overlay, s *Statement) ([]string, error) {
	switch {
	case s.Move != nil:
		return c.pinAccount(o, s)
	case s.Drain != nil:
		return c.drainEntry(o, s, s.Drain.Name, true)
	default:
		return c.drainEntry(o, s, s.Undrain.Name, false)
	}
}

// describe returns the state of the part of the overlay that a command changes.
// It is compared between attempts and listed in a Conflict.
func (o *Overlay) describe(s *Statement) string {
	switch {
	case s.Move != nil:
		for _, p := range o.Pins {
			if p.Account == s.Move.Account.Text {
				return "account " + p.Account + " goes to entry " + p.Entry
			}
		}
		// The account is not pinned to an entry.
		return "account " + s.Move.Account.Text + " goes to no entry first"
	case s.Drain != nil:
		return fmt.Sprintf("entry %s drains: %t", s.Drain.Name.Text, slices.Contains(o.Drained, s.Drain.Name.Text))
	default:
		return fmt.Sprintf("entry %s drains: %t", s.Undrain.Name.Text, slices.Contains(o.Drained, s.Undrain.Name.Text))
	}
}

func (c Catalogue) pinAccount(o *Overlay, s *Statement) ([]string, error) {
	at, err := accountIndex(c.Document, s, s.Move.Account)
	if err != nil {
		return nil, err
	}
	if err := c.checkEntry(s, s.Move.Entry); err != nil {
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

func (c Catalogue) drainEntry(o *Overlay, s *Statement, name Name, draining bool) ([]string, error) {
	drained := slices.Contains(o.Drained, name.Text)
	// An entry that is gone can still be undrained.
	if draining || !drained {
		if err := c.checkEntry(s, name); err != nil {
			return nil, err
		}
	}
	if drained == draining {
		return nil, nil
	}
	if !draining {
		o.Drained = slices.DeleteFunc(slices.Clone(o.Drained), func(e string) bool { return e == name.Text })
		return []string{"entry " + name.Text + " takes new work"}, nil
	}
	if err := c.checkNotLast(o, s, name); err != nil {
		return nil, err
	}
	o.Drained = append(slices.Clone(o.Drained), name.Text)
	return []string{"entry " + name.Text + " drains"}, nil
}

// checkNotLast returns an error if the entry to drain is the only one that still
// takes work, since no entry would then be left through which to undrain it.
func (c Catalogue) checkNotLast(o *Overlay, s *Statement, name Name) error {
	for _, entry := range c.Entries {
		if entry != name.Text && !slices.Contains(o.Drained, entry) {
			return nil
		}
	}
	return errorAt(BadState, s.Text, name.Pos.Offset, "entry %q is the last one that takes work", name.Text)
}

func (c Catalogue) checkEntry(s *Statement, name Name) error {
	return checkName(s, "entry", name, c.Entries)
}

// checkName returns an error that suggests the nearest of names if name is not
// among them.
func checkName(s *Statement, what string, name Name, names []string) error {
	if slices.Contains(names, name.Text) {
		return nil
	}
	names = slices.Sorted(slices.Values(names))
	return errorAt(BadName, s.Text, name.Pos.Offset, "no %s is named %q", what, name.Text).allow(name.Text, names)
}

func accountIndex(doc *config.Document, s *Statement, name Name) (int, error) {
	return indexByID(s, "account", name, doc.Accounts, func(a config.Account) string { return a.ID })
}

func serviceIndex(doc *config.Document, s *Statement, name Name) (int, error) {
	return indexByID(s, "service", name, doc.Services, func(v config.Service) string { return v.ID })
}

func endpointIndex(doc *config.Document, s *Statement, name Name) (int, error) {
	return indexByID(s, "endpoint", name, doc.Endpoints, func(e config.Endpoint) string { return e.ID })
}

// indexByID returns the index of the item that name refers to, or -1 and an
// error.
func indexByID[T any](s *Statement, what string, name Name, items []T, id func(T) string) (int, error) {
	if at := slices.IndexFunc(items, func(item T) bool { return id(item) == name.Text }); at >= 0 {
		return at, nil
	}
	names := make([]string, len(items))
	for i, item := range items {
		names[i] = id(item)
	}
	return -1, checkName(s, what, name, names)
}

// keysWithPrefix lists the account's key hashes that start with prefix in any
// case.
func keysWithPrefix(a config.Account, prefix string) []string {
	var found []string
	for _, key := range a.Keys {
		if strings.HasPrefix(key, strings.ToLower(prefix)) {
			found = append(found, key)
		}
	}
	return found
}
