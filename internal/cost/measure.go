package cost

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// microsPer returns the microseconds that each of n items took.
func microsPer(d time.Duration, n int) float64 { return float64(d.Nanoseconds()) / 1e3 / float64(n) }

// Latency measures the time that an entry adds to the first token and to each
// token of a stream.
func Latency(t testing.TB, rounds int) {
	r := newRig(t, 1, 1, nil)
	r.engine.pause.Store(int64(2 * time.Millisecond))
	r.engine.tokens.Store(300)
	var first, middle, tail []float64
	r.tokenDelays(t, false)
	for range 3 * rounds {
		first0, ages0 := r.tokenDelays(t, true)
		first1, ages1 := r.tokenDelays(t, false)
		slices.Sort(ages0)
		slices.Sort(ages1)
		first = append(first, microsPer(first1-first0, 1))
		middle = append(middle, microsPer(ages1[150]-ages0[150], 1))
		tail = append(tail, microsPer(ages1[285]-ages0[285], 1))
	}
	fmt.Println("added to first token:", summarize(first, "µs"))
	fmt.Println("added per token, median:", summarize(middle, "µs"))
	fmt.Println("added per token, p95:", summarize(tail, "µs"))
}

// Relay measures the processor time per relayed token and the tokens per
// second, at a steady rate and with engines that send without a pause. The
// entry's processor time is the difference between streams read through the
// entry and streams read directly from the engine.
func Relay(t testing.TB, rounds int) {
	r := newRig(t, 1, 1, nil)
	for _, load := range []struct {
		name            string
		streams, tokens int
		pause           time.Duration
	}{{"40,000 tokens/s", 200, 300, 5 * time.Millisecond}, {"no pause", 64, 10_000, 0}} {
		r.engine.pause.Store(int64(load.pause))
		r.engine.tokens.Store(int64(load.tokens))
		var values [4][]float64
		for range rounds {
			var used [2]float64
			for i := range 2 {
				begun := time.Now()
				used[i] = microsPer(cpuTime(func() { r.readStreams(t, i == 0, load.streams) }), load.streams*load.tokens)
				values[i] = append(values[i], float64(load.streams*load.tokens)/time.Since(begun).Seconds())
			}
			values[2], values[3] = append(values[2], used[0]), append(values[3], used[1]-used[0])
		}
		fmt.Println(load.name, "direct:", summarize(values[0], "tokens/s"))
		fmt.Println(load.name, "through one entry:", summarize(values[1], "tokens/s"))
		fmt.Println(load.name, "engine and reader per token:", summarize(values[2], "µs"))
		fmt.Println(load.name, "entry's part per token:", summarize(values[3], "µs"))
	}
}

// Memory measures the heap and stack memory that an entry needs for each open
// stream.
func Memory(t testing.TB, rounds int) {
	// Placement sends at most about 260 streams to one endpoint, so 16 endpoints
	// take the largest number of streams below, 2000.
	r := newRig(t, 1, 16, nil)
	r.engine.pause.Store(int64(time.Hour))
	r.engine.tokens.Store(2)
	for _, streams := range []int{500, 2000} {
		var heap, stacks, sum []float64
		for range rounds {
			heap0, stacks0 := r.memoryPerStream(t, true, streams)
			heap1, stacks1 := r.memoryPerStream(t, false, streams)
			heap, stacks = append(heap, heap1-heap0), append(stacks, stacks1-stacks0)
			sum = append(sum, heap1-heap0+stacks1-stacks0)
		}
		fmt.Printf("%d streams, entry's heap: %s\n", streams, summarize(heap, "KB"))
		fmt.Printf("%d streams, entry's stacks: %s\n", streams, summarize(stacks, "KB"))
		fmt.Printf("%d streams, entry's part: %s\n", streams, summarize(sum, "KB"))
	}
}

// memoryPerStream opens streams and returns the growth of the process's heap
// and stacks, in KB per stream.
func (r *rig) memoryPerStream(t testing.TB, direct bool, streams int) (heap, stacks float64) {
	before := readMemStats()
	r.engine.started.Store(0)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			res, err := r.open(ctx, direct, i)
			if err != nil {
				t.Error(err)
				return
			}
			defer res.Body.Close()
			if res.StatusCode != http.StatusOK {
				text, _ := io.ReadAll(res.Body)
				t.Errorf("status %d: %s", res.StatusCode, text)
			}
			_, _ = io.Copy(io.Discard, res.Body)
		})
	}
	require.Eventually(t, func() bool { return r.engine.started.Load() == int64(streams) }, time.Minute, 10*time.Millisecond)
	time.Sleep(300 * time.Millisecond) // time to relay the first tokens
	after := readMemStats()
	cancel()
	wg.Wait()
	r.client.CloseIdleConnections()
	time.Sleep(time.Second) // time for both ends to close the connections
	if !direct {
		time.Sleep(5 * time.Second) // an entry cancels a generation 5 s after its caller hung up
	}
	per := func(a, b uint64) float64 { return (float64(b) - float64(a)) / 1024 / float64(streams) }
	return per(before.HeapAlloc, after.HeapAlloc), per(before.StackInuse, after.StackInuse)
}

// readMemStats returns the memory statistics after garbage collection.
func readMemStats() (m runtime.MemStats) {
	for range 4 { // each collection halves the stacks that are too large
		runtime.GC()
	}
	runtime.ReadMemStats(&m)
	return m
}

// Request measures the processor time and the allocations of an admitted
// request with one token. Requests go straight to the entry's handler, and the
// engine is a pipe with a canned answer.
func Request(t testing.TB, rounds int) {
	r := newRig(t, 1, 1, func() net.Conn {
		near, far := net.Pipe()
		go serveCanned(far)
		return near
	})
	handler := r.Nodes()[0].Entry.Handler()
	const requests = 3000
	var used, allocated []float64
	for round := range rounds + 1 {
		var m0, m1 runtime.MemStats
		runtime.ReadMemStats(&m0)
		d := cpuTime(func() {
			for range requests {
				w := httptest.NewRecorder()
				req := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"guide","prompt":"p","stream":true}`))
				req.Header.Set("Authorization", "Bearer key-riga")
				handler.ServeHTTP(w, req)
				require.Contains(t, w.Body.String(), "[DONE]")
			}
		})
		runtime.ReadMemStats(&m1)
		if round > 0 {
			used = append(used, microsPer(d, requests))
			allocated = append(allocated, float64(m1.Mallocs-m0.Mallocs)/requests)
		}
	}
	fmt.Println("request of one token:", summarize(used, "µs"))
	fmt.Println("request of one token:", summarize(allocated, "allocations"))
}

// Idle measures the polls, bytes and processor time of idle entries for
// several numbers of endpoints and entries, which shows how the cost grows with
// each. The processor time includes the endpoints' side of the polls.
func Idle(t *testing.T) {
	const window = 10 * time.Second
	for _, size := range [][2]int{{1, 0}, {1, 8}, {1, 24}, {3, 24}, {6, 24}} {
		for _, used := range []bool{false, true} {
			measureIdle(t, size[0], size[1], used, window)
		}
	}
}

// measureIdle prints the cost of idle entries. If used is true, each entry has
// served one request before, so that it polls the service's endpoints.
func measureIdle(t *testing.T, entries, endpoints int, used bool, window time.Duration) {
	t.Run(fmt.Sprintf("%dx%d", entries, endpoints), func(t *testing.T) {
		r := newRig(t, entries, endpoints, nil)
		r.engine.tokens.Store(1)
		if used && endpoints > 0 {
			for _, n := range r.Nodes() {
				req, _ := http.NewRequest(http.MethodPost, "http://"+n.Entry.Addr()+"/v1/completions", strings.NewReader(`{"model":"guide","prompt":"p"}`))
				req.Header.Set("Authorization", "Bearer key-riga")
				res, err := r.client.Do(req)
				require.NoError(t, err)
				require.NoError(t, res.Body.Close())
			}
		}
		time.Sleep(3 * time.Second)
		gossip := func() (n int64) {
			for _, node := range r.Nodes() {
				s := node.Entry.MemberStats()
				n += s.Bytes + s.Received
			}
			return n
		}
		polls, ep, pf, gs := r.engine.polls.Load(), r.endpointBytes.Load(), r.platformBytes.Load(), gossip()
		d := cpuTime(func() { time.Sleep(window) })
		per := func(n int64) float64 { return float64(n) / float64(entries) / window.Seconds() }
		fmt.Printf("%d entries, %2d endpoints, used %-5v per entry: %5.1f polls/s, endpoints %6.0f B/s, platform %5.0f B/s, membership %5.0f B/s, cpu %.2f %% of a core\n",
			entries, endpoints, used, per(r.engine.polls.Load()-polls), per(r.endpointBytes.Load()-ep), per(r.platformBytes.Load()-pf), per(gossip()-gs),
			float64(d)/float64(window)/float64(entries)*100)
	})
}
