package operator

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

type (
	// Kind is the type of the values of a column.
	Kind string

	// Column is a named column of a table.
	Column struct {
		Name string `json:"name"`
		Kind Kind   `json:"kind"`
	}

	// Value is one cell. Text holds a Text value; Number holds a Number, the
	// seconds of a Duration, or 1 for a true Bool. The zero Value is empty.
	Value struct {
		Kind   Kind    `json:"kind,omitempty"`
		Text   string  `json:"text,omitempty"`
		Number float64 `json:"number,omitempty"`
	}

	// Table is the answer to a query. Missing names the entries that did not
	// answer, so that an incomplete table is not taken for a complete one.
	Table struct {
		Columns []Column  `json:"columns"`
		Rows    [][]Value `json:"rows"`
		Missing []string  `json:"missing,omitempty"`
	}
)

// Kinds of values.
const (
	Empty    Kind = "" // the entry that answered does not have the column
	Text     Kind = "text"
	Number   Kind = "number"
	Duration Kind = "duration"
	Bool     Kind = "bool"
)

// TextOf makes a text cell.
func TextOf(s string) Value { return Value{Kind: Text, Text: s} }

// NumberOf makes a number cell.
func NumberOf[N int | int32 | int64 | uint64 | float64](n N) Value {
	return Value{Kind: Number, Number: float64(n)}
}

// DurationOf makes a duration cell.
func DurationOf(d time.Duration) Value { return Value{Kind: Duration, Number: d.Seconds()} }

// BoolOf makes a boolean cell.
func BoolOf(b bool) Value {
	if b {
		return Value{Kind: Bool, Number: 1}
	}
	return Value{Kind: Bool}
}

// String returns the cell as it is printed and as a query can contain it.
func (v Value) String() string {
	switch v.Kind {
	case Text:
		return v.Text
	case Number:
		return formatNumber(v.Number)
	case Duration:
		return time.Duration(v.Number * float64(time.Second)).String()
	case Bool:
		return strconv.FormatBool(v.Number != 0)
	default:
		return ""
	}
}

// Compare orders two cells. Cells of different kinds are ordered by kind, empty
// ones first.
func (v Value) Compare(other Value) int {
	if v.Kind != other.Kind {
		return cmp.Compare(v.Kind, other.Kind)
	}
	if v.Kind == Text {
		return cmp.Compare(v.Text, other.Text)
	}
	return cmp.Compare(v.Number, other.Number)
}

// Index returns the index of the column with this name, or -1.
func (t Table) Index(name string) int {
	return slices.IndexFunc(t.Columns, func(c Column) bool { return c.Name == name })
}

func (t Table) names() []string {
	names := make([]string, len(t.Columns))
	for i, c := range t.Columns {
		names[i] = c.Name
	}
	return names
}

// Merge concatenates the answers of several entries. Entries of different
// releases may have different columns: the result has all of them, in the order
// of their first occurrence, and cells that an answer lacks are empty.
func Merge(tables []Table) Table {
	var out Table
	for _, t := range tables {
		for _, c := range t.Columns {
			if out.Index(c.Name) < 0 {
				out.Columns = append(out.Columns, c)
			}
		}
		out.Missing = append(out.Missing, t.Missing...)
	}
	for _, t := range tables {
		out.Rows = append(out.Rows, t.widen(out)...)
	}
	slices.Sort(out.Missing)
	out.Missing = slices.Compact(out.Missing)
	return out
}

// widen returns the rows of t with the columns of out. A cell whose kind differs
// from that of its column in out is left empty, since it could not be compared.
func (t Table) widen(out Table) [][]Value {
	at := make([]int, len(t.Columns))
	for i, c := range t.Columns {
		at[i] = out.Index(c.Name)
	}
	rows := make([][]Value, len(t.Rows))
	for i, row := range t.Rows {
		rows[i] = make([]Value, len(out.Columns))
		for j, v := range row[:min(len(row), len(at))] {
			if v.Kind == out.Columns[at[j]].Kind {
				rows[i][at[j]] = v
			}
		}
	}
	return rows
}
