package operator

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

type (
	// ErrorKind is the category of an Error.
	ErrorKind string

	// Error describes the part of a statement that was rejected.
	Error struct {
		Kind    ErrorKind `json:"kind"`
		Message string    `json:"message"`
		// Text is the statement and Column the position of the rejected part in
		// it, counted in characters from 1; 0 means no position.
		Text   string `json:"text"`
		Column int    `json:"column"`
		// Allowed lists what is valid at that position, and Nearest is the word
		// that was most likely meant.
		Allowed []string `json:"allowed,omitempty"`
		Nearest string   `json:"nearest,omitempty"`
	}
)

// Kinds of errors.
const (
	BadSyntax  ErrorKind = "syntax"   // the words do not form a statement
	BadName    ErrorKind = "name"     // nothing has this name
	BadValue   ErrorKind = "value"    // the value is out of range or of another kind
	BadState   ErrorKind = "state"    // the change contradicts the current state
	NotOffered ErrorKind = "offering" // the entry lacks a function that the statement needs
)

const maxListed = 12 // names listed in an error; the rest is only counted

// Error returns the message, the statement with a caret under the column, and
// the allowed words.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.Message)
	if e.Nearest != "" {
		fmt.Fprintf(&b, "; did you mean %q?", e.Nearest)
	}
	if e.Column > 0 {
		line := strings.Map(blankControl, e.Text)
		fmt.Fprintf(&b, "\n  %s\n  %s^", line, strings.Repeat(" ", e.Column-1))
	}
	if len(e.Allowed) > 0 {
		b.WriteString("\nallowed: " + listAllowed(e.Allowed))
	}
	return b.String()
}

// blankControl replaces a control character by a space. It keeps a statement on
// one line, so that the caret is below the right character, and keeps control
// characters off the terminal.
func blankControl(r rune) rune {
	if r < ' ' || r == 0x7f {
		return ' '
	}
	return r
}

func listAllowed(names []string) string {
	if len(names) <= maxListed {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListed], ", "), len(names)-maxListed)
}

// errorAt returns an error that points at a byte offset of a statement. An offset
// outside the statement is moved to its nearest end.
func errorAt(kind ErrorKind, text string, offset int, format string, args ...any) *Error {
	offset = min(max(offset, 0), len(text))
	return &Error{
		Kind: kind, Text: text, Column: utf8.RuneCountInString(text[:offset]) + 1,
		Message: fmt.Sprintf(format, args...),
	}
}

// allow sets the words that are valid at the error's column and the nearest of
// them to got.
func (e *Error) allow(got string, names []string) *Error {
	e.Allowed = names
	e.Nearest = nearest(got, names)
	return e
}

// nearest returns the name with the smallest edit distance from got, ignoring
// case, or "" if all distances exceed a third of its length, plus 1.
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

// distance returns the optimal string alignment distance of two strings: the
// number of insertions, deletions, replacements and swaps of adjacent bytes.
func distance(a, b string) int {
	beforeLast, last, row := make([]int, len(b)+1), make([]int, len(b)+1), make([]int, len(b)+1)
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
				row[j] = min(row[j], beforeLast[j-2]+1)
			}
		}
		beforeLast, last, row = last, row, beforeLast
	}
	return last[len(b)]
}
