package operator

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// Sources holds functions that return the relations of one entry. A nil function
// means that the entry does not offer the relation.
type Sources struct {
	// Entry is the name of the entry, for relations that differ between entries.
	Entry string

	Streams, Endpoints, Accounts, Entries, Services func() Table
	Versions, Pending, Leases, Routes, Limits       func() Table
}

// perEntryRelations lists the relations whose rows differ between entries. The
// others are the same on all entries with the same configuration and membership.
var perEntryRelations = []string{"streams", "endpoints", "versions", "pending", "leases", "limits"}

// relation returns the function of a relation, or nil.
func (s Sources) relation(name string) func() Table {
	switch name {
	case "streams":
		return s.Streams
	case "endpoints":
		return s.Endpoints
	case "accounts":
		return s.Accounts
	case "entries":
		return s.Entries
	case "services":
		return s.Services
	case "versions":
		return s.Versions
	case "pending":
		return s.Pending
	case "leases":
		return s.Leases
	case "routes":
		return s.Routes
	case "limits":
		return s.Limits
	default:
		return nil
	}
}

// table returns a relation, or false if it is not offered. A relation that
// differs between entries gets the entry's name as the first column, unless it
// already has a column named entry.
func (s Sources) table(relation string) (Table, bool) {
	source := s.relation(relation)
	if source == nil {
		return Table{}, false
	}
	t := source()
	if !slices.Contains(perEntryRelations, relation) || t.Index("entry") >= 0 {
		return t, true
	}
	out := Table{Columns: append([]Column{{Name: "entry", Kind: Text}}, t.Columns...), Missing: t.Missing}
	for _, row := range t.Rows {
		out.Rows = append(out.Rows, append([]Value{TextOf(s.Entry)}, row...))
	}
	return out, true
}

// Answer runs a query over the relations of this entry alone. Entries call it for
// the queries that they receive from other entries.
func (s Sources) Answer(q Query) (Table, error) {
	t, ok := s.table(q.Relation.Text)
	if !ok {
		return Table{}, &Error{Kind: NotOffered, Message: "relation " + q.Relation.Text + " is not available on this entry"}
	}
	return Select(t, q)
}

// addStatement adds the statement's text to an error of Select and replaces its
// byte offset by a column. Other errors are returned unchanged.
func addStatement(err error, text string) error {
	var e *Error
	if !errors.As(err, &e) || e.Text != "" || e.Column == 0 {
		return err
	}
	found := errorAt(e.Kind, text, e.Column-1, "%s", e.Message)
	found.Allowed, found.Nearest = e.Allowed, e.Nearest
	return found
}
