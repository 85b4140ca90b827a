package operator

import (
	"slices"
	"strings"
	"time"
)

// Select applies a query's conditions, order and limit to a table. Rows that
// compare equal keep their order. An error is an *Error without the
// statement's text; Desk adds it.
func Select(t Table, q Query) (Table, error) {
	s := selection{table: t}
	keep := s.or(q.Where)
	sorted := s.order(q.Order)
	if s.err != nil {
		return Table{}, s.err
	}
	out := Table{Columns: t.Columns, Missing: t.Missing}
	for _, row := range t.Rows {
		if keep(row) {
			out.Rows = append(out.Rows, row)
		}
	}
	if len(q.Order) > 0 {
		slices.SortStableFunc(out.Rows, sorted)
	}
	if q.Limit != nil && int(q.Limit.Value) < len(out.Rows) {
		out.Rows = out.Rows[:int(q.Limit.Value)]
	}
	return out, nil
}

type (
	test func(row []Value) bool

	// selection turns a query into functions over the rows of one table; err is
	// the first fault. Fields and values are resolved once, not for each row.
	selection struct {
		table Table
		err   error
	}
)

func always([]Value) bool { return true }

func (s *selection) or(o *Or) test {
	if o == nil {
		return always
	}
	parts := make([]test, len(o.Any))
	for i, and := range o.Any {
		parts[i] = s.and(and)
	}
	return func(row []Value) bool {
		return slices.ContainsFunc(parts, func(part test) bool { return part(row) })
	}
}

func (s *selection) and(a And) test {
	parts := make([]test, len(a.All))
	for i, term := range a.All {
		parts[i] = s.term(term)
	}
	return func(row []Value) bool {
		return !slices.ContainsFunc(parts, func(part test) bool { return !part(row) })
	}
}

func (s *selection) term(t Term) test {
	switch {
	case t.Not != nil:
		inner := s.term(*t.Not)
		return func(row []Value) bool { return !inner(row) }
	case t.Group != nil:
		return s.or(t.Group)
	case t.Test != nil:
		return s.test(*t.Test)
	default:
		return always
	}
}

func (s *selection) test(t Test) test {
	at := s.field(t.Field)
	if at < 0 {
		return always
	}
	want, ok := s.literal(t.Value, s.table.Columns[at])
	if !ok {
		return always
	}
	if t.Op == "~" {
		part := strings.ToLower(t.Value.Text)
		return func(row []Value) bool {
			v := cell(row, at)
			return v.Kind != Empty && strings.Contains(strings.ToLower(v.String()), part)
		}
	}
	holds := holdsFor(t.Op)
	return func(row []Value) bool {
		v := cell(row, at)
		return v.Kind != Empty && holds(v.Compare(want))
	}
}

// cell gives a value of a row; a row that is too short ends with empty ones.
func cell(row []Value, at int) Value {
	if at >= len(row) {
		return Value{}
	}
	return row[at]
}

func holdsFor(op string) func(order int) bool {
	switch op {
	case "=":
		return func(n int) bool { return n == 0 }
	case "!=":
		return func(n int) bool { return n != 0 }
	case "<":
		return func(n int) bool { return n < 0 }
	case "<=":
		return func(n int) bool { return n <= 0 }
	case ">":
		return func(n int) bool { return n > 0 }
	default:
		return func(n int) bool { return n >= 0 }
	}
}

func (s *selection) field(name Name) int {
	at := s.table.Index(strings.ToLower(name.Text))
	if at < 0 {
		s.fail(errorAt(BadName, "", 0, "unknown field %q", name.Text).allow(name.Text, s.table.names()), name.Pos.Offset)
	}
	return at
}

// literal reads a value as the kind of the column that it is compared with.
func (s *selection) literal(l Literal, c Column) (Value, bool) {
	allowed := ""
	switch c.Kind {
	case Number:
		if v, err := parseNumber(l.Text); err == nil {
			return NumberOf(v), true
		}
		allowed = "a number"
	case Duration:
		if d, err := time.ParseDuration(l.Text); err == nil {
			return DurationOf(d), true
		}
		allowed = "a duration such as 250ms or 2s"
	case Bool:
		switch strings.ToLower(l.Text) {
		case "true":
			return BoolOf(true), true
		case "false":
			return BoolOf(false), true
		}
		allowed = "true or false"
	default:
		return TextOf(l.Text), true
	}
	e := errorAt(BadValue, "", 0, "%q cannot be compared with field %q", l.Text, c.Name)
	e.Allowed = []string{allowed}
	s.fail(e, l.Pos.Offset)
	return Value{}, false
}

// fail keeps the first fault. Column holds the byte offset until locate has
// the statement's text.
func (s *selection) fail(e *Error, offset int) {
	if s.err == nil {
		e.Column = offset + 1
		s.err = e
	}
}

func (s *selection) order(keys []Key) func(a, b []Value) int {
	at := make([]int, len(keys))
	for i, key := range keys {
		at[i] = s.field(key.Field)
	}
	return func(a, b []Value) int {
		for i, key := range keys {
			n := cell(a, at[i]).Compare(cell(b, at[i]))
			if key.Desc {
				n = -n
			}
			if n != 0 {
				return n
			}
		}
		return 0
	}
}
