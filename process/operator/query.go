package operator

import (
	"slices"
	"strings"
	"time"
)

// Select applies a query's condition, order and limit to a table. Rows that
// compare equal keep their order. An error is an *Error without the
// statement's text, which Executor adds.
func Select(t Table, q Query) (Table, error) {
	s := compiler{table: t}
	keep := s.compileOr(q.Where)
	sorted := s.compileOrder(q.Order)
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
	// predicate reports whether a row satisfies a condition.
	predicate func(row []Value) bool

	// compiler turns a query into functions over the rows of one table, so that
	// fields and values are resolved once and not for each row. err is the first
	// error.
	compiler struct {
		table Table
		err   error
	}
)

func always([]Value) bool { return true }

func (s *compiler) compileOr(o *Or) predicate {
	if o == nil {
		return always
	}
	parts := make([]predicate, len(o.Any))
	for i, and := range o.Any {
		parts[i] = s.compileAnd(and)
	}
	return func(row []Value) bool {
		return slices.ContainsFunc(parts, func(part predicate) bool { return part(row) })
	}
}

func (s *compiler) compileAnd(a And) predicate {
	parts := make([]predicate, len(a.All))
	for i, term := range a.All {
		parts[i] = s.compileTerm(term)
	}
	return func(row []Value) bool {
		return !slices.ContainsFunc(parts, func(part predicate) bool { return !part(row) })
	}
}

func (s *compiler) compileTerm(t Term) predicate {
	switch {
	case t.Not != nil:
		inner := s.compileTerm(*t.Not)
		return func(row []Value) bool { return !inner(row) }
	case t.Group != nil:
		return s.compileOr(t.Group)
	case t.Test != nil:
		return s.compileTest(*t.Test)
	default:
		return always
	}
}

func (s *compiler) compileTest(t Test) predicate {
	at := s.columnIndex(t.Field)
	if at < 0 {
		return always
	}
	want, ok := s.parseLiteral(t.Value, s.table.Columns[at])
	if !ok {
		return always
	}
	if t.Op == "~" {
		part := strings.ToLower(t.Value.Text)
		return func(row []Value) bool {
			v := cellAt(row, at)
			return v.Kind != Empty && strings.Contains(strings.ToLower(v.String()), part)
		}
	}
	holds := comparison(t.Op)
	return func(row []Value) bool {
		v := cellAt(row, at)
		return v.Kind != Empty && holds(v.Compare(want))
	}
}

// cellAt returns a cell of a row, or an empty one if the row is too short.
func cellAt(row []Value, at int) Value {
	if at >= len(row) {
		return Value{}
	}
	return row[at]
}

// comparison returns a function that reports whether the result of Compare
// satisfies an operator.
func comparison(op string) func(order int) bool {
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

// columnIndex returns the index of the named column. If there is none, it records
// an error and returns -1.
func (s *compiler) columnIndex(name Name) int {
	at := s.table.Index(strings.ToLower(name.Text))
	if at < 0 {
		s.fail(errorAt(BadName, "", 0, "unknown field %q", name.Text).allow(name.Text, s.table.names()), name.Pos.Offset)
	}
	return at
}

// parseLiteral parses a value as the kind of the column that it is compared with.
func (s *compiler) parseLiteral(l Literal, c Column) (Value, bool) {
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

// fail records the first error. The statement's text is not known here: Column
// holds the byte offset plus 1 until addStatement replaces it.
func (s *compiler) fail(e *Error, offset int) {
	if s.err == nil {
		e.Column = offset + 1
		s.err = e
	}
}

func (s *compiler) compileOrder(keys []SortKey) func(a, b []Value) int {
	at := make([]int, len(keys))
	for i, key := range keys {
		at[i] = s.columnIndex(key.Field)
	}
	return func(a, b []Value) int {
		for i, key := range keys {
			n := cellAt(a, at[i]).Compare(cellAt(b, at[i]))
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
