package engine

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestLines guards against bytes that are lost, repeated or joined wrongly when the
// buffer is compacted or grows, for any sizes of reads and lines.
func TestLines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text []byte
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 3000), 1, 40).Draw(t, "sizes") {
			text = append(text, strings.Repeat(string(rune('a'+n%26)), n)+"\n"...)
		}
		in := io.Reader(bytes.NewReader(text))
		switch rapid.IntRange(0, 3).Draw(t, "reader") {
		case 0:
			in = iotest.OneByteReader(in)
		case 1:
			in = iotest.HalfReader(in)
		case 2:
			in = iotest.DataErrReader(in)
		}
		l := lineReader{in: in}
		for rest := text; len(rest) > 0; {
			line, err := l.next()
			require.NoError(t, err)
			want := rest[:bytes.IndexByte(rest, '\n')+1]
			require.Equal(t, string(want), string(line))
			rest = rest[len(want):]
		}
		_, err := l.next()
		require.ErrorIs(t, err, io.EOF)
	})
	_, err := (&lineReader{in: strings.NewReader(strings.Repeat("x", 1<<20))}).next()
	require.ErrorIs(t, err, errLongLine)
}
