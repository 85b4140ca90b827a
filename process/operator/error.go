package operator

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

type (
	// ErrorKind says which rule of the language was broken.
	ErrorKind string

	// Error points at the part of a statement that cannot be accepted.
	Error struct {
		Kind    ErrorKind `json:"kind"`
		Message string    `json:"message"`
		// Text is the statement and Column the place in it, counted in
		// characters from 1.
		Text   string `json:"text"`
		Column int    `json:"column"`
		// Allowed lists what could stand there, Nearest the likeliest of them.
		Allowed []string `json:"allowed,omitempty"`
		Nearest string   `json:"nearest,omitempty"`
	}
)

// Kinds of error.
const (
	BadSyntax  ErrorKind = "syntax"   // the words do not form a statement
	BadName    ErrorKind = "name"     // nothing has this name
	BadValue   ErrorKind = "value"    // the value is out of range or of another kind
	BadState   ErrorKind = "state"    // the change contradicts the current state
	NotOffered ErrorKind = "offering" // the desk lacks the function that it needs
)

const maxAllowed = 12 // names listed in an error; the rest are counted

// Error gives the message, the statement with a caret under the column, and
// what is allowed.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.Message)
	if e.Nearest != "" {
		fmt.Fprintf(&b, "; did you mean %q?", e.Nearest)
	}
	if e.Column > 0 {
		line := strings.Map(flatten, e.Text)
		fmt.Fprintf(&b, "\n  %s\n  %s^", line, strings.Repeat(" ", e.Column-1))
	}
	if len(e.Allowed) > 0 {
		b.WriteString("\nallowed: " + listAllowed(e.Allowed))
	}
	return b.String()
}

// flatten keeps the statement on one line, so that the caret stands under the
// character that it points at, and control characters off the terminal.
func flatten(r rune) rune {
	if r < ' ' || r == 0x7f {
		return ' '
	}
	return r
}

func listAllowed(names []string) string {
	if len(names) <= maxAllowed {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxAllowed], ", "), len(names)-maxAllowed)
}

// errorAt makes an error for the byte offset of a statement.
func errorAt(kind ErrorKind, text string, offset int, format string, args ...any) *Error {
	offset = min(max(offset, 0), len(text))
	return &Error{
		Kind: kind, Text: text, Column: utf8.RuneCountInString(text[:offset]) + 1,
		Message: fmt.Sprintf(format, args...),
	}
}

// allow adds what could stand at the error's column.
func (e *Error) allow(got string, names []string) *Error {
	e.Allowed = names
	e.Nearest = nearest(got, names)
	return e
}

// nearest finds the name that takes the fewest edits from got, or "" if all
// differ by more than a third of their letters.
func nearest(got string, names []string) string {
	best, least := "", len(got)/3+1
	for _, name := range names {
		if abs(len(name)-len(got)) > least {
			continue
		}
		if n := distance(strings.ToLower(got), strings.ToLower(name)); n <= least && (best == "" || n < least) {
			best, least = name, n
		}
	}
	return best
}

func abs(n int) int { return max(n, -n) }

// distance counts insertions, deletions, replacements and swaps of neighbours
// (optimal string alignment).
func distance(a, b string) int {
	before, last, row := make([]int, len(b)+1), make([]int, len(b)+1), make([]int, len(b)+1)
	for j := range last {
		last[j] = j
	}
	for i := 1; i <= len(a); i++ {
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			row[j] = min(last[j]+1, row[j-1]+1, last[j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				row[j] = min(row[j], before[j-2]+1)
			}
		}
		before, last, row = last, row, before
	}
	return last[len(b)]
}
