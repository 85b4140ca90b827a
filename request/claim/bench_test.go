package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/eelgrassdock/eelgrassdock/process/lease"
	"github.com/eelgrassdock/eelgrassdock/process/platform"
)

const storeDelay = 5 // milliseconds that the store takes for each answer

// capacity is a healthy store, one owner of all shards, and one guard, all in
// this process: latencies contain no network between entries.
type capacity struct {
	memory platform.Memory
	owner  *Owner
	guard  *Guard
	mu     sync.Mutex
	added  *hdrhistogram.Histogram
}

func newCapacity(b *testing.B, shards int, pace float64) *capacity {
	c := &capacity{added: hdrhistogram.New(1, 60_000_000, 3)}
	c.owner = &Owner{Platform: c.memory.Platform(), Holder: "e0", Shards: shards, Pace: pace}
	c.guard = &Guard{
		Ledger: &Ledger{}, Instance: "e0", Shards: shards,
		TakeRemote: func(ctx context.Context, _ int, claim Claim) (Grant, error) { return c.owner.Take(ctx, claim) },
	}
	for i := range shards {
		c.owner.Gained(lease.Lease{Duty: Duty(i), Holder: "e0", Fence: 1})
	}
	for _, s := range c.owner.all() {
		<-s.loaded
	}
	c.memory.Break(platform.Faults{Slow: storeDelay})
	b.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = c.owner.Run(ctx)
	})
	return c
}

// request runs one key and records the time until it is dispatched.
func (c *capacity) request(b *testing.B, instance string) {
	key, _ := NewKey(instance)
	start := time.Now()
	_, err := c.guard.Do(context.Background(), Request{Account: "a", Key: key, Fingerprint: "f"}, func(context.Context) (Result, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		_ = c.added.RecordValue(max(time.Since(start).Microseconds(), 1))
		return Result{Status: 200}, nil
	})
	if err != nil {
		b.Error(err)
	}
}

func (c *capacity) report(b *testing.B, writes int64) {
	b.ReportMetric(float64(c.memory.Usage().Writes-writes)*1000/float64(b.N), "writes/1000req")
	b.ReportMetric(float64(c.added.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(c.added.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkArrivals measures requests that arrive at random at a mean rate.
func BenchmarkArrivals(b *testing.B) {
	for _, set := range []struct {
		shards int
		pace   float64
		rate   int
	}{{16, 20, 100}, {16, 20, 1000}, {16, 10, 1000}, {16, 20, 4000}, {64, 5, 100}, {64, 5, 1000}, {64, 5, 4000}} {
		b.Run(fmt.Sprintf("shards=%d/pace=%g/rate=%d", set.shards, set.pace, set.rate), func(b *testing.B) {
			c := newCapacity(b, set.shards, set.pace)
			writes := c.memory.Usage().Writes
			b.ResetTimer()
			var wg sync.WaitGroup
			next := time.Now()
			for range b.N {
				next = next.Add(time.Duration(rand.ExpFloat64() * float64(time.Second) / float64(set.rate)))
				time.Sleep(time.Until(next))
				wg.Go(func() { c.request(b, "") })
			}
			wg.Wait()
			c.report(b, writes)
		})
	}
}

// BenchmarkConcurrency measures callers that send one request after another.
func BenchmarkConcurrency(b *testing.B) {
	for _, set := range []struct {
		form    string
		shards  int
		pace    float64
		callers int
	}{
		{"bound", 16, 20, 1},
		{"bound", 16, 20, 256},
		{"claim", 16, 20, 1},
		{"claim", 16, 20, 16},
		{"claim", 16, 20, 256},
		{"claim", 64, 5, 16},
		{"claim", 64, 5, 256},
	} {
		b.Run(fmt.Sprintf("%s/shards=%d/pace=%g/callers=%d", set.form, set.shards, set.pace, set.callers), func(b *testing.B) {
			c := newCapacity(b, set.shards, set.pace)
			writes := c.memory.Usage().Writes
			instance := map[string]string{"bound": "e0"}[set.form]
			b.ResetTimer()
			var wg sync.WaitGroup
			for i := range set.callers {
				wg.Go(func() {
					for n := i; n < b.N; n += set.callers {
						c.request(b, instance)
					}
				})
			}
			wg.Wait()
			c.report(b, writes)
		})
	}
}

// BenchmarkMemory measures the heap bytes per remembered key and per claim in an
// owner's memory.
func BenchmarkMemory(b *testing.B) {
	const keys = 100_000
	for range b.N {
		heap := func() float64 {
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			return float64(m.HeapAlloc)
		}
		start := heap()
		l := &Ledger{}
		for i := range keys {
			a, _ := l.Begin(context.Background(), "a", ParseKey(fmt.Sprint(i)), "f")
			a.Start()
			a.Finish(Result{Status: 200}, nil)
		}
		middle := heap()
		claims := map[Hash]held{}
		for i := range keys {
			claims[HashKey("a", fmt.Sprint(i))] = held{holder: "e0", nonce: uint64(i), expiry: int64(i)}
		}
		end := heap()
		runtime.KeepAlive(l)
		runtime.KeepAlive(claims)
		b.ReportMetric((middle-start)/keys, "B/record")
		b.ReportMetric((end-middle)/keys, "B/claim")
	}
}
