package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"unicode/utf8"
)

const maxCellWidth = 60 // characters of a cell in a text table; WriteJSON does not truncate

// Write writes an aligned text table. Numbers and durations are right-aligned.
// The entries that did not answer are listed after the rows.
func Write(w io.Writer, t Table) error {
	var b bytes.Buffer
	lines := make([][]string, 0, len(t.Rows)+1)
	lines = append(lines, t.names())
	for _, row := range t.Rows {
		lines = append(lines, formatRow(row))
	}
	widths := make([]int, len(t.Columns))
	for _, line := range lines {
		for i, cell := range line[:min(len(line), len(widths))] {
			widths[i] = max(widths[i], utf8.RuneCountInString(cell))
		}
	}
	for _, line := range lines {
		writeLine(&b, t.Columns, widths, line)
	}
	fmt.Fprintf(&b, "(%d rows)\n", len(t.Rows))
	if len(t.Missing) > 0 {
		fmt.Fprintf(&b, "no answer from: %s\n", strings.Join(t.Missing, ", "))
	}
	if _, err := w.Write(b.Bytes()); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// formatRow returns the row's cells as text on one line each, truncated to
// maxCellWidth.
func formatRow(row []Value) []string {
	line := make([]string, len(row))
	for i, v := range row {
		text := strings.Map(blankControl, v.String())
		if utf8.RuneCountInString(text) > maxCellWidth {
			text = string([]rune(text)[:maxCellWidth-1]) + "…"
		}
		line[i] = text
	}
	return line
}

func writeLine(b *bytes.Buffer, columns []Column, widths []int, line []string) {
	var out strings.Builder
	for i, width := range widths {
		cell := ""
		if i < len(line) {
			cell = line[i]
		}
		space := strings.Repeat(" ", width-utf8.RuneCountInString(cell))
		if columns[i].Kind == Number || columns[i].Kind == Duration {
			out.WriteString(space + cell)
		} else {
			out.WriteString(cell + space)
		}
		out.WriteString("  ")
	}
	b.WriteString(strings.TrimRight(out.String(), " ") + "\n")
}

// WriteJSON writes the table as one JSON object whose rows are objects with
// the columns in order. Durations are in seconds.
func WriteJSON(w io.Writer, t Table) error {
	var b bytes.Buffer
	b.WriteString(`{"rows":[`)
	for i, row := range t.Rows {
		if i > 0 {
			b.WriteByte(',')
		}
		if err := writeRow(&b, t.Columns, row); err != nil {
			return fmt.Errorf("encode table: %w", err)
		}
	}
	missing, err := json.Marshal(append([]string{}, t.Missing...))
	if err != nil {
		return fmt.Errorf("encode table: %w", err)
	}
	fmt.Fprintf(&b, "],\"missing\":%s}\n", missing)
	if _, err := w.Write(b.Bytes()); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

func writeRow(b *bytes.Buffer, columns []Column, row []Value) error {
	b.WriteByte('{')
	for i, v := range row[:min(len(row), len(columns))] {
		name, err := json.Marshal(columns[i].Name)
		if err != nil {
			return err
		}
		cell, err := json.Marshal(v.jsonValue())
		if err != nil {
			return err
		}
		if i > 0 {
			b.WriteByte(',')
		}
		b.Write(name)
		b.WriteByte(':')
		b.Write(cell)
	}
	b.WriteByte('}')
	return nil
}

// jsonValue returns the cell as a value for encoding/json.
func (v Value) jsonValue() any {
	switch v.Kind {
	case Text:
		return v.Text
	case Number, Duration:
		if math.IsNaN(v.Number) || math.IsInf(v.Number, 0) {
			return nil // JSON has no such numbers
		}
		return v.Number
	case Bool:
		return v.Number != 0
	default:
		return nil
	}
}
