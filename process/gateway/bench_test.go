package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const benchEvents = 1000 // number of events in a stream

// BenchmarkEvent measures the processor time of a relayed event, without the
// network.
func BenchmarkEvent(b *testing.B) {
	w := newTestGateway(b)
	body := eventStream("s", 1, benchEvents, false)
	data, err := io.ReadAll(body.Body)
	require.NoError(b, err)
	w.answer = func(int, Call) (*Answer, error) {
		a := eventStream("s", 1, 1, false)
		a.Body = strings.NewReader(string(data))
		return a, nil
	}
	b.ReportAllocs()
	for b.Loop() {
		rec := httptest.NewRecorder()
		require.NoError(b, w.Serve(context.Background(), rec, benchRequest("q", benchEvents)))
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchEvents, "ns/event")
}

// BenchmarkOpenStreams measures the memory of a stream that waits for its next
// event, without the memory of its connections.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 80 // most of the 96 slots of the four engines of newTestGateway
	for b.Loop() {
		w := newTestGateway(b)
		ctx, cancel := context.WithCancel(context.Background())
		var opened, ended sync.WaitGroup
		w.answer = func(int, Call) (*Answer, error) {
			reader, writer := io.Pipe()
			a := eventStream("s", 1, 1, false)
			a.Body = reader
			opened.Add(1)
			go func() {
				_, _ = fmt.Fprint(writer, "id: 1\ndata: s\n\n")
				opened.Done()
				<-ctx.Done()
				_ = writer.CloseWithError(ctx.Err())
			}()
			return a, nil
		}
		before := heapBytes()
		for n := range streams {
			ended.Go(func() {
				_ = w.Serve(ctx, httptest.NewRecorder(), benchRequest(fmt.Sprint("q", n), benchEvents)) // returns when ctx ends
			})
		}
		require.Eventually(b, func() bool { return w.Active() == streams }, time.Minute, time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		opened.Wait()
		b.ReportMetric(float64(heapBytes()-before)/streams, "heap-B/stream")
		cancel()
		ended.Wait()
	}
}

func benchRequest(id string, most int) *Request {
	return &Request{
		ID: id, Method: http.MethodPost, Host: "h", Path: "/guide/1", Target: "/guide/1", Header: http.Header{}, Key: "key",
		Arrived: time.Now(), Deadline: time.Now().Add(time.Minute), Prompt: 200, Max: most,
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
