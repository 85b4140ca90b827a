// Package record writes log lines without holding up those who log.
//
// Lines go through a bounded queue to one goroutine. While the output is stuck
// or slow and the queue is full, lines are dropped and counted; when the output
// takes lines again, one line says how many were lost and when. Successes are
// sampled by the request's ID under load, so that a request has all of its
// lines or none; everything else is written up to a rate.
package record

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
	queueLines = 4096                  // about 1.5 MB of lines
	gather     = 20 * time.Millisecond // lines of this time go out in one write
	writeBytes = 64 << 10              // of one write, the usual size of a pipe

	// Usual is the number of requests a second whose successes are all logged.
	Usual = 20
	// Most is the number of other lines a second that are written.
	Most = 400
	// burst covers the lines of an engine that ends with all of its requests.
	burst = 2000

	rateWindow = time.Second
)

var counts = expvar.NewMap("log")

type (
	// Writer is an output for a logger. The zero value writes nowhere until Run.
	Writer struct {
		Out io.Writer
		// Now is the clock, time.Now if nil.
		Now func() time.Time

		once  sync.Once
		lines chan []byte

		mu          sync.Mutex
		lost        int64
		first, last time.Time
	}

	// Sampler decides which lines are logged.
	Sampler struct {
		// Now is the clock, time.Now if nil.
		Now func() time.Time

		once    sync.Once
		others  *rate.Limiter
		count   atomic.Int64 // requests in this window
		one     atomic.Int64 // of how many requests one is logged
		started atomic.Int64 // beginning of the window, Unix nanoseconds
	}
)

func (w *Writer) init() { w.once.Do(func() { w.lines = make(chan []byte, queueLines) }) }

func (w *Writer) now() time.Time {
	if w.Now != nil {
		return w.Now()
	}
	return time.Now()
}

// Write queues a line, or drops it. It never waits and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	w.init()
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		counts.Add("dropped", 1)
		now := w.now()
		w.mu.Lock()
		if w.lost == 0 {
			w.first = now
		}
		w.lost++
		w.last = now
		w.mu.Unlock()
	}
	return len(p), nil
}

// Run writes lines until done is closed, and then those that are still queued,
// for as long as the output takes them at once.
func (w *Writer) Run(done <-chan struct{}) {
	w.init()
	for {
		select {
		case line := <-w.lines:
			select {
			case <-done:
			case <-time.After(gather):
			}
			w.put(w.queued(line))
		case <-done:
			for lines := w.queued(nil); len(lines) > 0; lines = w.queued(nil) {
				w.put(lines)
			}
			return
		}
	}
}

// queued adds the lines that wait to lines, up to writeBytes.
func (w *Writer) queued(lines []byte) []byte {
	for len(lines) < writeBytes {
		select {
		case line := <-w.lines:
			lines = append(lines, line...)
		default:
			return lines
		}
	}
	return lines
}

func (w *Writer) put(lines []byte) {
	if _, err := w.Out.Write(lines); err != nil {
		counts.Add("failed", 1) // there is nowhere to tell
		return
	}
	counts.Add("written", int64(bytes.Count(lines, []byte{'\n'})))
	w.mu.Lock()
	lost, first, last := w.lost, w.first, w.last
	w.lost = 0
	w.mu.Unlock()
	if lost == 0 {
		return
	}
	if _, err := fmt.Fprintf(w.Out, `{"event":"log_dropped","level":"warning","msg":"log lines were dropped","lines":%d,"first":%q,"last":%q}`+"\n",
		lost, first.Format(time.RFC3339Nano), last.Format(time.RFC3339Nano)); err != nil {
		counts.Add("failed", 1)
	}
}

// Arrived counts a request.
func (s *Sampler) Arrived() {
	now := time.Now
	if s.Now != nil {
		now = s.Now
	}
	at := now().UnixNano()
	if begun := s.started.Load(); at-begun >= int64(rateWindow) && s.started.CompareAndSwap(begun, at) {
		n := s.count.Swap(0)
		s.one.Store(max(n/Usual, 1))
	}
	s.count.Add(1)
}

// Success tells whether the successes of a request are logged.
func (s *Sampler) Success(id string) bool {
	one := s.one.Load()
	return one <= 1 || xxhash.Sum64String(id)%uint64(one) == 0
}

// Other tells whether any other line is logged now.
func (s *Sampler) Other() bool {
	s.once.Do(func() { s.others = rate.NewLimiter(Most, burst) })
	if s.others.Allow() {
		return true
	}
	counts.Add("limited", 1)
	return false
}

// named is a hook that adds the instance to each line.
type named string

func (named) Levels() []logrus.Level { return logrus.AllLevels }

func (n named) Fire(e *logrus.Entry) error {
	e.Data["instance"] = string(n)
	return nil
}

// Logger gives a logger of JSON lines that writes to w. Each line names the
// instance, unless that is empty.
func (w *Writer) Logger(level, instance string) *logrus.Logger {
	log := logrus.New()
	if instance != "" {
		log.AddHook(named(instance))
	}
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	if l, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(l)
	}
	return log
}
