package stream_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/request/stream"
)

// FuzzCheck guards against tokens that are accepted twice, out of order, after
// the end or from another generation or boot. Each input byte is one frame.
func FuzzCheck(f *testing.F) {
	f.Add([]byte{1, 2, 3, 0x83})
	f.Add([]byte{1, 1, 2, 0x11, 2, 4})
	f.Add([]byte{1, 0x21, 0x42, 0x82, 1})
	f.Add([]byte{2, 1, 0xc1, 1})
	f.Fuzz(func(t *testing.T, input []byte) {
		c := stream.Check{Gen: "g"}
		last, ended := 0, false
		for _, b := range input {
			frame := stream.Frame{Boot: "b", Gen: "g", N: int(b & 15), End: b&0x80 != 0}
			if b&0x10 != 0 {
				frame.Gen = "other"
			}
			if b&0x20 != 0 {
				frame.Boot = "other"
			}
			if b&0x40 != 0 {
				frame.Error = "failed"
			}
			boot := c.Boot
			pass, err := c.Accept(frame)
			if err != nil {
				require.ErrorIs(t, err, stream.ErrOrder)
				require.False(t, pass)
			}
			if !pass {
				continue
			}
			require.False(t, ended, "frame after the end")
			require.Equal(t, "g", frame.Gen)
			require.True(t, boot == "" || boot == frame.Boot)
			if ended = frame.End; ended {
				require.True(t, frame.N == last || frame.Error != "")
				continue
			}
			require.Equal(t, last+1, frame.N)
			last = frame.N
		}
	})
}

// Guards against an engine's error that is taken for a token without text.
func TestErrorIsNoToken(t *testing.T) {
	c := stream.Check{Gen: "g", Boot: "b", Last: 3}
	_, err := c.Accept(stream.Frame{Boot: "b", Gen: "g", N: 4, Error: "out of memory"})
	require.ErrorIs(t, err, stream.ErrOrder)
	require.ErrorContains(t, err, "out of memory")
	require.Equal(t, 3, c.Last)
	pass, err := c.Accept(stream.Frame{Boot: "b", Gen: "g", N: 3, End: true, Error: "out of memory"})
	require.NoError(t, err)
	require.True(t, pass)
}

// Guards against frames of two engine processes in one stream: a frame that names
// none may belong to any of them.
func TestFrameNamesItsBoot(t *testing.T) {
	c := stream.Check{Gen: "g"}
	_, err := c.Accept(stream.Frame{Gen: "g", N: 1})
	require.ErrorIs(t, err, stream.ErrOrder)
	require.Empty(t, c.Last)
}
