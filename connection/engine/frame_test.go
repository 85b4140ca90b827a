package engine

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/eelgrassdock/eelgrassdock/request/stream"
)

// frameParts are joined at random, which produces many frames that nearly have the
// expected form.
var frameParts = []string{
	`{"boot":"b","gen":"g","n":`, `{"boot":"b","gen":"g","n":1,"text":"`, `{"gen":"g","boot":"b","n":`, "1", "0", "01", "1.0", "1e2", "-",
	"12345678901234567890", `,"text":"`, `,"TEXT":"`, `"}`, `"`, `}`, `,"end":true}`, `,"end":false}`, `,"error":"x"`, ` a`, `\n`, `\u00e9`, "é",
	"\xff", "\xed\xa0\x80", "\u2028", "\x01", "\x7f", `\`, "<&>", " ", "\t", "\n", `,"n":2`, "null", "\v", "\u00a0",
}

// TestFramesMatchJSON guards against a frame that the fast path decodes differently
// than encoding/json, or accepts although it is malformed.
func TestFramesMatchJSON(t *testing.T) {
	fast := 0
	rapid.Check(t, func(t *rapid.T) {
		var d frameDecoder
		d.setExpected(rapid.SampledFrom([]string{"b", "é", `b"`, "\xff"}).Draw(t, "boot"), "g")
		var data []byte
		if rapid.Bool().Draw(t, "valid") {
			f := stream.Frame{
				Boot: d.boot, Gen: "g", N: rapid.IntRange(-1, 2_000_000_000).Draw(t, "n"),
				Text: rapid.String().Draw(t, "text"), End: rapid.IntRange(0, 9).Draw(t, "end") == 0,
			}
			data, _ = json.Marshal(f)
		} else {
			for _, part := range rapid.SliceOfN(rapid.SampledFrom(frameParts), 1, 6).Draw(t, "parts") {
				data = append(data, part...)
			}
		}
		var want stream.Frame
		wantErr := json.Unmarshal(data, &want)
		if _, ok := d.decodeFast(data); ok {
			fast++
		}
		got, err := d.decode(data)
		if wantErr != nil {
			require.Error(t, err, "%q", data)
			return
		}
		require.NoError(t, err, "%q", data)
		require.Equal(t, want, got, "%q", data)
	})
	require.Positive(t, fast, "no frame took the fast path")
}

func BenchmarkFrame(b *testing.B) {
	data := []byte(` {"boot":"b0e7a9d2-3c41-4f60-9a55-6c1f0d7e8b21","gen":"5b1d3e44-0c7a-4d0e-8f21-000000000001","n":417,"text":" hxk2"}` + "\n")
	b.Run("json", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var f stream.Frame
			_ = json.Unmarshal(data, &f)
		}
	})
	b.Run("fast", func(b *testing.B) {
		b.ReportAllocs()
		var d frameDecoder
		for b.Loop() {
			_, _ = d.decode(data)
		}
	})
}
