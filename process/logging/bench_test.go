package logging

import (
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// BenchmarkLine measures the CPU time of one line with the fields of a refusal.
// The output is the null device, which accepts every line.
func BenchmarkLine(b *testing.B) {
	out, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	require.NoError(b, err)
	defer out.Close()
	w := &Writer{Out: out}
	log, done, written := w.Logger("", "i1"), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(written)
		w.Run(done)
	}()
	b.ReportAllocs()
	for b.Loop() {
		log.WithFields(logrus.Fields{
			"event": "refused", "request": "0123456789abcdef", "reason": "no_room", "outcome": "not run", "status": 503,
			"version": int64(12), "retry_ms": int64(812), "route": "guide",
		}).Info("no engine has room for the request in time")
	}
	close(done)
	<-written
}

// writes counts the writes of an output.
type writes struct{ writes, bytes int }

func (w *writes) Write(p []byte) (int, error) {
	w.writes++
	w.bytes += len(p)
	return len(p), nil
}

// A write for each line costs more CPU time than the line itself, so lines that
// are logged together must be written together. Lines that are queued at the end
// must not be lost.
func TestLinesOfOneMomentGoOutTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out writes
		w := &Writer{Out: &out}
		done, written := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(written)
			w.Run(done)
		}()
		for range 100 {
			_, err := w.Write([]byte("line\n"))
			require.NoError(t, err)
		}
		time.Sleep(2 * batchDelay)
		synctest.Wait()
		require.Equal(t, writes{writes: 1, bytes: 500}, out)
		large := make([]byte, maxWriteBytes)
		for range 3 {
			_, err := w.Write(large)
			require.NoError(t, err)
		}
		close(done)
		<-written
		require.Equal(t, 500+3*maxWriteBytes, out.bytes)
	})
}
