package operator

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// Sources gives the relations of one entry. A nil function means that the
// entry does not offer the relation.
type Sources struct {
	// Entry names the entry in the relations that differ between entries.
	Entry string

	Streams, Endpoints, Accounts, Entries, Services func() Table
	Versions, Pending, Leases, Routes, Limits       func() Table
}

// Relations that each entry answers for itself. The others are the same on
// all entries that have the same configuration and membership.
var perEntry = []string{"streams", "endpoints", "versions", "pending", "leases", "limits"}

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

// table reads a relation and puts the entry's name in front of the rows of
// those that differ between entries.
func (s Sources) table(relation string) (Table, bool) {
	source := s.relation(relation)
	if source == nil {
		return Table{}, false
	}
	t := source()
	if !slices.Contains(perEntry, relation) || t.Index("entry") >= 0 {
		return t, true
	}
	out := Table{Columns: append([]Column{{Name: "entry", Kind: Text}}, t.Columns...), Missing: t.Missing}
	for _, row := range t.Rows {
		out.Rows = append(out.Rows, append([]Value{TextOf(s.Entry)}, row...))
	}
	return out, true
}

// Answer runs a query over this entry's own relations. It is what an entry
// does when another one asks it.
func (s Sources) Answer(q Query) (Table, error) {
	t, ok := s.table(q.Relation.Text)
	if !ok {
		return Table{}, &Error{Kind: NotOffered, Message: "relation " + q.Relation.Text + " is not available on this entry"}
	}
	return Select(t, q)
}

// locate gives an error of Select the statement that it points into.
func locate(err error, text string) error {
	var e *Error
	if !errors.As(err, &e) || e.Text != "" || e.Column == 0 {
		return err
	}
	found := errorAt(e.Kind, text, e.Column-1, "%s", e.Message)
	found.Allowed, found.Nearest = e.Allowed, e.Nearest
	return found
}
