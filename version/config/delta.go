package config

import (
	"cmp"
	"reflect"
	"slices"
	"time"
)

type (
	// Delta is the difference between a version of the document and a later one.
	Delta struct {
		// Base is the version that the delta applies to, 0 for a delta that
		// holds a whole document.
		Base    int64 `json:"base"`
		Version int64 `json:"version"`
		// Nonce is unique to the change. A writer whose answer was lost recognises
		// its own write by it, and it distinguishes two documents of one version.
		Nonce string    `json:"nonce"`
		Who   string    `json:"who,omitempty"`
		Time  time.Time `json:"time,omitzero"`
		// Origin is the ID of the entry that made the change, to which the others
		// send their acknowledgements.
		Origin    string            `json:"origin,omitempty"`
		Accounts  Changes[Account]  `json:"accounts,omitzero"`
		Services  Changes[Service]  `json:"services,omitzero"`
		Endpoints Changes[Endpoint] `json:"endpoints,omitzero"`
		Entries   Changes[Entry]    `json:"entries,omitzero"`
		// Secrets replaces the list if it is not empty.
		Secrets []string `json:"secrets,omitempty"`
	}

	// Changes holds the elements of one list that were added or modified, and the
	// IDs of those that were removed, both sorted by ID.
	Changes[T any] struct {
		Put  []T      `json:"put,omitempty"`
		Drop []string `json:"drop,omitempty"`
	}

	// element is an element of one of the lists of a document.
	element interface{ id() string }
)

func (a Account) id() string  { return a.ID }
func (s Service) id() string  { return s.ID }
func (e Endpoint) id() string { return e.ID }
func (e Entry) id() string    { return e.ID }

// IsZero reports whether nothing changes.
func (c Changes[T]) IsZero() bool { return len(c.Put) == 0 && len(c.Drop) == 0 }

// IsZero reports whether the delta changes nothing but the version.
func (d Delta) IsZero() bool {
	return d.Accounts.IsZero() && d.Services.IsZero() && d.Endpoints.IsZero() && d.Entries.IsZero() && len(d.Secrets) == 0
}

// Canonical returns the form in which documents are stored and compared: lists
// sorted by ID, empty lists nil except for Account.Services. It copies the
// top-level lists only.
func Canonical(doc Document) Document {
	doc.Accounts, doc.Services = sorted(doc.Accounts), sorted(doc.Services)
	doc.Endpoints, doc.Entries = sorted(doc.Endpoints), sorted(doc.Entries)
	if len(doc.Secrets) == 0 {
		doc.Secrets = nil
	}
	for i := range doc.Accounts {
		a := &doc.Accounts[i]
		a.Keys = nilIfEmpty(a.Keys)
	}
	for i := range doc.Services {
		doc.Services[i].Routes = nilIfEmpty(doc.Services[i].Routes)
	}
	for i := range doc.Endpoints {
		doc.Endpoints[i].Models = nilIfEmpty(doc.Endpoints[i].Models)
	}
	return doc
}

func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

func sorted[T element](list []T) []T {
	list = nilIfEmpty(slices.Clone(list))
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(a.id(), b.id()) })
	return list
}

// Diff returns the delta from one canonical document to another.
func Diff(old, new Document) Delta {
	d := Delta{
		Base: old.Version, Version: new.Version,
		Accounts:  diff(old.Accounts, new.Accounts),
		Services:  diff(old.Services, new.Services),
		Endpoints: diff(old.Endpoints, new.Endpoints),
		Entries:   diff(old.Entries, new.Entries),
	}
	if !slices.Equal(old.Secrets, new.Secrets) {
		d.Secrets = new.Secrets
	}
	return d
}

// diff merges two lists that are sorted by ID.
func diff[T element](old, new []T) Changes[T] {
	var c Changes[T]
	for len(old) > 0 || len(new) > 0 {
		switch {
		case len(new) == 0 || len(old) > 0 && old[0].id() < new[0].id():
			c.Drop = append(c.Drop, old[0].id())
			old = old[1:]
		case len(old) == 0 || new[0].id() < old[0].id():
			c.Put = append(c.Put, new[0])
			new = new[1:]
		default:
			if !reflect.DeepEqual(old[0], new[0]) {
				c.Put = append(c.Put, new[0])
			}
			old, new = old[1:], new[1:]
		}
	}
	return c
}

// Apply returns the document that results from applying d to doc. Lists that
// the delta does not change are shared with doc; the others are copied.
func Apply(doc Document, d Delta) Document {
	doc.Version = d.Version
	doc.Accounts = apply(doc.Accounts, d.Accounts)
	doc.Services = apply(doc.Services, d.Services)
	doc.Endpoints = apply(doc.Endpoints, d.Endpoints)
	doc.Entries = apply(doc.Entries, d.Entries)
	if len(d.Secrets) > 0 {
		doc.Secrets = d.Secrets
	}
	return doc
}

func apply[T element](list []T, c Changes[T]) []T {
	if c.IsZero() {
		return list
	}
	merged := make([]T, 0, len(list)+len(c.Put))
	put, drop := c.Put, c.Drop
	for _, e := range list {
		for len(put) > 0 && put[0].id() < e.id() {
			merged = append(merged, put[0])
			put = put[1:]
		}
		for len(drop) > 0 && drop[0] < e.id() {
			drop = drop[1:]
		}
		switch {
		case len(put) > 0 && put[0].id() == e.id():
			merged = append(merged, put[0])
			put = put[1:]
		case len(drop) > 0 && drop[0] == e.id():
		default:
			merged = append(merged, e)
		}
	}
	return nilIfEmpty(append(merged, put...))
}
