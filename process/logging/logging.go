// Package logging writes log lines without blocking the goroutines that log.
//
// Lines go through a bounded queue to one goroutine that writes them. If the
// output blocks or is slow and the queue is full, lines are dropped and counted.
// When the output accepts lines again, one line reports how many were dropped
// and when. Under load, the lines of successful requests are sampled by request
// ID, so that either all lines of a request are written or none. All other lines
// are written up to a rate limit.
package logging

import (
	"bytes"
	"expvar"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	queueLines    = 4096                  // capacity of the queue, about 1.5 MB of ordinary lines
	queueBytes    = 2 << 20               // capacity of the queue; a line that names a long request ID has over 12 KB
	batchDelay    = 20 * time.Millisecond // lines logged within this time go out in one write
	maxWriteBytes = 64 << 10              // per write; the default capacity of a pipe

	// UnsampledRate is the request rate per second up to which the lines of all
	// successful requests are logged.
	UnsampledRate = 20
	// MaxOtherRate is the largest rate of other lines, per second.
	MaxOtherRate = 400
	// burst is how many other lines may exceed that rate at once. It covers the
	// lines of an engine failure that ends all of its requests.
	burst = 2000

	rateWindow = time.Second
)

var counts = expvar.NewMap("log")

type (
	// Writer is an output for a logger. It queues lines until Run writes them to
	// Out.
	Writer struct {
		Out io.Writer
		// Now is the clock; time.Now if nil.
		Now func() time.Time

		once   sync.Once
		lines  chan []byte
		queued atomic.Int64 // bytes of lines

		mu          sync.Mutex
		dropped     int64     // lines dropped since the last successful write
		first, last time.Time // when the first and the last of them were dropped
	}

	// Sampler decides which lines are logged. The zero value is ready for use.
	Sampler struct {
		// Now is the clock; time.Now if nil.
		Now func() time.Time

		once    sync.Once
		others  *rate.Limiter
		count   atomic.Int64 // requests in this window
		oneIn   atomic.Int64 // one in this many requests is logged
		started atomic.Int64 // start of this window, Unix nanoseconds
	}
)

func (w *Writer) init() { w.once.Do(func() { w.lines = make(chan []byte, queueLines) }) }

func (w *Writer) now() time.Time {
	if w.Now != nil {
		return w.Now()
	}
	return time.Now()
}

// Write queues a line, or drops it if the queue is full. It never blocks or
// fails.
func (w *Writer) Write(p []byte) (int, error) {
	w.init()
	size := int64(len(p))
	if w.queued.Add(size) > queueBytes {
		w.queued.Add(-size)
		w.drop()
		return len(p), nil
	}
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.queued.Add(-size)
		w.drop()
	}
	return len(p), nil
}

// drop counts a line that is not queued.
func (w *Writer) drop() {
	counts.Add("dropped", 1)
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dropped == 0 {
		w.first = now
	}
	w.dropped++
	w.last = now
}

// Run writes queued lines to Out until done is closed. It then writes the lines
// that are still queued and returns. It waits for the output, which may block.
func (w *Writer) Run(done <-chan struct{}) {
	w.init()
	for {
		select {
		case line := <-w.lines:
			w.queued.Add(-int64(len(line)))
			select {
			case <-done:
			case <-time.After(batchDelay):
			}
			w.writeOut(w.appendQueued(line))
		case <-done:
			for lines := w.appendQueued(nil); len(lines) > 0; lines = w.appendQueued(nil) {
				w.writeOut(lines)
			}
			return
		}
	}
}

// appendQueued appends queued lines to lines until they reach maxWriteBytes.
func (w *Writer) appendQueued(lines []byte) []byte {
	for len(lines) < maxWriteBytes {
		select {
		case line := <-w.lines:
			w.queued.Add(-int64(len(line)))
			lines = append(lines, line...)
		default:
			return lines
		}
	}
	return lines
}

// writeOut writes lines to the output, followed by a report of dropped lines if
// there are any.
func (w *Writer) writeOut(lines []byte) {
	if _, err := w.Out.Write(lines); err != nil {
		counts.Add("failed", 1) // there is no other output to report it to
		return
	}
	counts.Add("written", int64(bytes.Count(lines, []byte{'\n'})))
	w.mu.Lock()
	dropped, first, last := w.dropped, w.first, w.last
	w.dropped = 0
	w.mu.Unlock()
	if dropped == 0 {
		return
	}
	if _, err := fmt.Fprintf(w.Out, `{"event":"log_dropped","level":"warning","msg":"log lines were dropped","lines":%d,"first":%q,"last":%q}`+"\n",
		dropped, first.Format(time.RFC3339Nano), last.Format(time.RFC3339Nano)); err != nil {
		counts.Add("failed", 1)
	}
}

// Arrived counts a request. The rate of each window sets how the next one is
// sampled.
func (s *Sampler) Arrived() {
	now := time.Now
	if s.Now != nil {
		now = s.Now
	}
	at := now().UnixNano()
	if start := s.started.Load(); at-start >= int64(rateWindow) && s.started.CompareAndSwap(start, at) {
		n := s.count.Swap(0)
		s.oneIn.Store(max(n/UnsampledRate, 1))
	}
	s.count.Add(1)
}

// Success reports whether the lines of the request with the ID are logged if it
// succeeds.
func (s *Sampler) Success(id string) bool {
	one := s.oneIn.Load()
	return one <= 1 || xxhash.Sum64String(id)%uint64(one) == 0
}

// Other reports whether a line that is not about a success may be logged now.
func (s *Sampler) Other() bool {
	s.once.Do(func() { s.others = rate.NewLimiter(MaxOtherRate, burst) })
	if s.others.Allow() {
		return true
	}
	counts.Add("limited", 1)
	return false
}

// instanceHook adds the name of the instance to each log line.
type instanceHook string

func (instanceHook) Levels() []logrus.Level { return logrus.AllLevels }

func (n instanceHook) Fire(e *logrus.Entry) error {
	e.Data["instance"] = string(n)
	return nil
}

// Logger returns a logger that writes JSON lines to w. Each line names the
// instance unless it is empty. An unknown level is ignored, which leaves the
// default level info.
func (w *Writer) Logger(level, instance string) *logrus.Logger {
	log := logrus.New()
	if instance != "" {
		log.AddHook(instanceHook(instance))
	}
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	if l, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(l)
	}
	return log
}
