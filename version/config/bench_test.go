package config_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/process/platform"
	"github.com/eelgrassdock/eelgrassdock/version/config"
)

const many = 30_000 // accounts at the design scale

func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

// BenchmarkLoad measures loading, checking and indexing of the largest document.
// Command: go test ./version/config -run '^$' -bench . -benchtime 5x
func BenchmarkLoad(b *testing.B) {
	var m platform.Memory
	store := &config.Store{Platform: m.Platform()}
	_, err := store.Change(b.Context(), 0, replace(document(many)), "ann")
	require.NoError(b, err)
	data, err := json.Marshal(document(many))
	require.NoError(b, err)
	b.Run("store", func(b *testing.B) {
		var x *config.Index
		before := heap()
		for b.Loop() {
			doc, err := (&config.Store{Platform: m.Platform()}).Load(b.Context())
			require.NoError(b, err)
			x = config.NewIndex(doc)
		}
		b.ReportMetric(heap()-before, "MiB-kept")
		b.ReportMetric(float64(len(data))/(1<<20), "MiB-json")
		runtime.KeepAlive(x)
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			_, faults := config.Decode(data)
			require.Empty(b, faults)
		}
	})
}

// BenchmarkDelta measures the cost of one changed account at the entry where
// the change is made (change) and at every other entry (apply).
func BenchmarkDelta(b *testing.B) {
	var m platform.Memory
	store := &config.Store{Platform: m.Platform()}
	v, err := store.Change(b.Context(), 0, replace(document(many)), "ann")
	require.NoError(b, err)
	b.Run("change", func(b *testing.B) {
		for b.Loop() {
			v, err = store.Change(b.Context(), v, setRank("account-00100", 1+int(v%9)), "ann")
			require.NoError(b, err)
		}
	})
	doc, err := store.Load(b.Context())
	require.NoError(b, err)
	deltas, err := store.Deltas(b.Context(), v-1, v)
	require.NoError(b, err)
	row, err := json.Marshal(deltas[0])
	require.NoError(b, err)
	b.Run("apply", func(b *testing.B) {
		for b.Loop() {
			config.NewIndex(config.Apply(doc, deltas[0]))
		}
		b.ReportMetric(float64(len(row)), "B/delta")
		b.ReportMetric(float64(len(row))*11_000/86_400, "B/s-at-11000/day")
	})
}

// BenchmarkPropagation measures under the manual clock, with 2 % loss, the time
// until one change is in force on all entries and acknowledged, the time until
// a burst of 100 changes is in force, and the datagram bytes per entry and
// second with a change every 8 s.
// Command: go test ./version/config -run '^$' -bench Propagation -benchtime 1x
func BenchmarkPropagation(b *testing.B) {
	for _, n := range []int{7, 50, 500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newSystem(b, n, 9)
			s.run(40 * time.Second)
			s.loss = 0.02
			e := s.entries[n/2]
			s.changes(b, e, 1)
			s.run(8 * time.Second)
			var worst, accepted time.Duration
			bytes, start := s.bytes(), s.now
			own := e.node.Stats()
			for range 10 {
				v := s.changes(b, e, 1)
				worst = max(worst, s.until(30*time.Second, s.allHave(v)))
				took := s.until(30*time.Second, func() bool { return len(e.tracker.Pending(v)) == 0 })
				accepted = max(accepted, worst+took)
				s.run(8*time.Second - took)
			}
			seconds := s.now.Sub(start).Seconds()
			b.ReportMetric(float64(s.bytes()-bytes)/float64(n)/seconds, "B/s")
			b.ReportMetric(float64(e.node.Stats().Received-own.Received)/seconds, "B/s-in-at-origin")
			b.ReportMetric(worst.Seconds(), "s-all")
			b.ReportMetric(accepted.Seconds(), "s-accepted")
			v := s.changes(b, e, 100)
			b.ReportMetric(s.until(30*time.Second, s.allHave(v)).Seconds(), "s-burst")
			var oldest time.Duration
			for range 300 {
				s.run(100 * time.Millisecond)
				for _, e := range s.entries {
					oldest = max(oldest, s.now.Sub(e.holder.Evidence().At))
				}
			}
			b.ReportMetric(oldest.Seconds(), "s-oldest-evidence")
			reads := s.memory.Usage().Reads
			s.run(30 * time.Second)
			b.ReportMetric(float64(s.memory.Usage().Reads-reads)/30, "reads/s")
		})
	}
}

func (s *system) changes(b *testing.B, e *entry, n int) (v int64) {
	for range n {
		var err error
		v, err = s.change(e)
		require.NoError(b, err)
	}
	return v
}

func (s *system) bytes() (sum int64) {
	for _, e := range s.entries {
		sum += e.node.Stats().Bytes
	}
	return sum
}
