package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

const otherHead = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nfail"

// unacceptable holds what an engine may send after event 1 that is no event that
// follows it.
var unacceptable = map[string]string{
	"nothing":                   "",
	"comment only":              ": busy\n\n",
	"text":                      "fail",
	"text as a line":            "fail\n\n",
	"error event without an ID": "data: {\"error\":1}\n\n",
	"error event of a type":     "event: error\ndata: {\"error\":1}\n\n",
	"empty ID":                  "id:\ndata: x\n\n",
	"ID without a number":       "id: x\ndata: x\n\n",
	"negative ID":               "id: -2\ndata: x\n\n",
	"head of another answer":    otherHead,
	"head and its events":       "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 2\ndata: x\n\n",
	"head inside an event":      "id: 2\nda" + otherHead + "\n\n",
	"header inside an event":    "id: 2\ndata: xHTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n",
	"events from the first":     "id: 1\ndata: x\n\nid: 2\ndata: x\n\n",
	"earlier ID":                "id: 0\ndata: x\n\n",
	"JSON":                      "{\"error\":1}\n\n",
}

func streamOf(seal, body string) *Answer {
	a := eventStream(seal, 1, 0, false)
	a.Body = strings.NewReader(body)
	return a
}

// Guards against an error's text, another answer's head or events out of order
// in the caller's stream, and against a stream that ends as complete, after the
// first engine broke off and the second one sent something else than the rest.
func TestContinuationThatIsNotTheRest(t *testing.T) {
	for _, path := range []string{"/short/1", "/guide/1"} {
		for name, body := range unacceptable {
			t.Run(path+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newTestGateway(t)
					w.answer = func(n int, c Call) (*Answer, error) {
						if n == 0 {
							return breakingStream("first", 1, 1), nil
						}
						require.Equal(t, "1", c.After)
						require.Equal(t, path == "/guide/1", c.Memory != "")
						return streamOf("second", body), nil
					}
					rec, err := w.request(path)
					require.Len(t, w.calls, 2)
					require.Equal(t, "id: 1\ndata: first\n\n", rec.Body.String())
					require.ErrorIs(t, err, ErrCut)
				})
			})
		}
	}
}

// Guards against the same in the stream of the first engine, which is broken off
// there: a route that allows it continues elsewhere.
func TestStreamThatBecomesSomethingElse(t *testing.T) {
	for name, body := range unacceptable {
		if name == "nothing" || name == "comment only" {
			continue // after an event, this is the end of a whole stream
		}
		for _, path := range []string{"/short/1", "/guide/1"} {
			t.Run(path+" "+name, func(t *testing.T) {
				w := newTestGateway(t)
				w.Tables.Current().Services[0].Engine.Backups = false
				w.answer = func(n int, c Call) (*Answer, error) {
					if n == 0 {
						return streamOf("first", "id: 1\ndata: first\n\n"+body), nil
					}
					return eventStream("second", atoi(c.After)+1, 3, false), nil
				}
				rec, err := w.request(path)
				require.NotContains(t, rec.Body.String(), "rror")
				require.NotContains(t, rec.Body.String(), "HTTP")
				if path == "/short/1" {
					require.NoError(t, err)
					require.Equal(t, strings.Fields("1 2 3"), eventIDs(withoutLateEvent(t, rec.Body.String())))
					return
				}
				require.ErrorIs(t, err, ErrCut)
				require.Len(t, w.calls, 1)
			})
		}
	}
}

// withoutLateEvent checks that no ID is in a stream twice, and returns the stream.
func withoutLateEvent(t *testing.T, text string) string {
	seen := map[string]bool{}
	for _, id := range eventIDs(text) {
		require.False(t, seen[id], "event %s twice", id)
		seen[id] = true
	}
	return text
}

// Guards against a success whose stream begins with something else than an event.
func TestStreamThatIsNone(t *testing.T) {
	for name, body := range unacceptable {
		if strings.HasPrefix(body, "id: ") && body[4] < '2' {
			continue // this may be how a stream begins
		}
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			w.answer = func(int, Call) (*Answer, error) { return streamOf("first", body), nil }
			rec, err := w.request("/guide/1")
			require.Equal(t, refusal.Unknown, w.refusalOf(err).Outcome)
			require.Empty(t, rec.Body.String())
			require.Len(t, w.calls, 1)
		})
	}
}

// Guards against events that are missing between two engines.
func TestContinuationWithAGap(t *testing.T) {
	for _, path := range []string{"/short/1", "/guide/1"} {
		synctest.Test(t, func(t *testing.T) {
			w := newTestGateway(t)
			w.answer = func(n int, _ Call) (*Answer, error) {
				if n == 0 {
					return breakingStream("first", 1, 3), nil
				}
				return eventStream("second", 5, 6, false), nil
			}
			rec, err := w.request(path)
			require.ErrorIs(t, err, ErrCut)
			require.Equal(t, strings.Fields("1 2 3"), eventIDs(rec.Body.String()))
		})
	}
}

// Streams that the platform's pages or the standard allow must be passed on
// unchanged, also by a second engine.
func TestProperStreamsArePassedOn(t *testing.T) {
	for name, event := range map[string]func(n int) string{
		"version first":   func(n int) string { return fmt.Sprintf("x-weights: %d\nid: %d\ndata: x\n\n", n, n) },
		"no space":        func(n int) string { return fmt.Sprintf("x-weights:%d\nid:%d\ndata:x\n\n", n, n) },
		"ID last":         func(n int) string { return fmt.Sprintf("event: token\ndata: x\ndata: y\nid: %d\n\n", n) },
		"CR LF":           func(n int) string { return fmt.Sprintf("x-weights: 1\r\nid: %d\r\ndata: x\r\n\r\n", n) },
		"comments":        func(n int) string { return fmt.Sprintf(": a\nid: %d\n:b\ndata: x\n: c\n\n: keep\n\n", n) },
		"retry":           func(n int) string { return fmt.Sprintf("retry: 100\nid: %d\ndata\n\nretry: 7\n\n", n) },
		"steps of tokens": func(n int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", 4*n) },
		"uneven steps":    func(n int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", 3*n-n%2) },
		"from zero":       func(n int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", n-1) },
		"long numbers":    func(n int) string { return fmt.Sprintf("id: 17000000000000000%02d\ndata: x\n\n", n) },
		"like a head":     func(n int) string { return fmt.Sprintf("id: %d\ndata: HTTP/1.1 200 OK\ndata: A: b\n\n", n) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t)
				var first, rest strings.Builder
				for n := 1; n <= 4; n++ {
					first.WriteString(event(n))
				}
				for n := 5; n <= 7; n++ {
					rest.WriteString(event(n))
				}
				w.answer = func(n int, _ Call) (*Answer, error) {
					if n > 0 {
						return streamOf("second", rest.String()), nil
					}
					a := streamOf("first", "")
					a.Body = io.MultiReader(strings.NewReader(first.String()+"id: 99\nda"), failingReader{})
					return a, nil
				}
				rec, err := w.request("/short/1")
				require.NoError(t, err)
				require.Equal(t, first.String()+rest.String(), rec.Body.String())
				require.Equal(t, http.StatusOK, rec.Code)
			})
		})
	}
}

// Guards against a stream that ends as complete because its continuation ended
// without any event. A caller that resumes by itself may have received them all.
func TestContinuationWithoutEvents(t *testing.T) {
	for _, path := range []string{"/short/1", "/guide/1"} {
		synctest.Test(t, func(t *testing.T) {
			w := newTestGateway(t)
			w.answer = func(n int, _ Call) (*Answer, error) {
				if n == 0 {
					return breakingStream("first", 1, 1), nil
				}
				return eventStream("second", 2, 1, false), nil
			}
			rec, err := w.request(path)
			require.ErrorIs(t, err, ErrCut, path)
			require.Equal(t, []string{"1"}, eventIDs(rec.Body.String()))
			require.Len(t, w.calls, 2)
		})
	}
	w := newTestGateway(t)
	w.answer = func(int, Call) (*Answer, error) { return eventStream("first", 8, 7, false), nil }
	r := promptRequest("/short/1")
	r.After = "7"
	_, err := w.requestWith(t.Context(), r)
	require.NoError(t, err)
}

// For whatever the engines send, the caller must get whole events whose IDs
// increase, and an answer is complete only if the last engine ended its stream in an
// orderly way after an event that was passed on.
func TestOnlyEventsInOrder(t *testing.T) {
	pieces := []string{"\n", "\r\n", ": c\n", "x-weights: 3\n", "data: x\n", "data: x", "event: error\n", "fail ", "HTTP/1.1 200 OK\r\n", "A: b\r\n", "id: ", "id:\n"}
	for n := range 6 {
		pieces = append(pieces, fmt.Sprintf("id: %d\n", n), fmt.Sprintf("id: %d\ndata: x\n\n", n), fmt.Sprintf("id: %d\ndata: x\n\n", n))
	}
	synctest.Test(t, func(t *testing.T) {
		// Deadline must not be called in a bubble; the wrapper hides it.
		rapid.Check(struct{ testing.TB }{t}, func(rt *rapid.T) {
			w := newTestGateway(t)
			path := rapid.SampledFrom([]string{"/guide/1", "/short/1"}).Draw(rt, "path")
			var last string // what the last engine sent
			ended := false  // whether its stream ended in an orderly way
			w.answer = func(int, Call) (*Answer, error) {
				last = strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 8).Draw(rt, "pieces"), "")
				ended = rapid.Bool().Draw(rt, "ended")
				if rapid.Bool().Draw(rt, "whole before") {
					last = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n" + last
				}
				a := streamOf("x", last)
				if !ended {
					a.Body = io.MultiReader(a.Body, delayedFailure{time.Second, errors.New("connection reset")})
				}
				return a, nil
			}
			rec, err := w.request(path)
			checkEvents(rt, rec.Body.String())
			if err == nil {
				require.True(rt, ended)
				require.NotEmpty(rt, eventIDs(last))
				ids := eventIDs(rec.Body.String())
				require.Equal(rt, ids[len(ids)-1], eventIDs(last)[len(eventIDs(last))-1])
			}
			w.cancel()
			synctest.Wait()
		})
	})
}

// checkEvents checks that a stream consists of comments and of whole events with an
// ID each, which increase.
func checkEvents(t require.TestingT, text string) {
	line := regexp.MustCompile(`^(:.*|(data|event|id|retry): ?.*|x-weights: 3)$`)
	previous := -1
	blocks := strings.Split(strings.ReplaceAll(text, "\r\n", "\n"), "\n\n")
	require.Empty(t, blocks[len(blocks)-1], "an event is not whole")
	for _, block := range blocks[:len(blocks)-1] {
		comment := true
		id := ""
		for l := range strings.SplitSeq(block, "\n") {
			require.Regexp(t, line, l)
			comment = comment && l[0] == ':'
			if after, ok := strings.CutPrefix(l, "id:"); ok {
				id = strings.TrimSpace(after)
			}
		}
		if comment {
			continue
		}
		n, err := strconv.Atoi(id)
		require.NoError(t, err)
		require.Greater(t, n, previous)
		previous = n
	}
}

// Guards against an event that the caller gets late, or not at all, because a part
// of the next one came with it.
func TestEventDoesNotWaitForTheNext(t *testing.T) {
	for name, part := range map[string]string{"part": "id: 2\nda", "CR LF part": "\r\nid: 2\r\nda", "garbage": "fail\n\n", "empty lines": "\n\r\n\n"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t)
				reader, writer := io.Pipe()
				w.answer = func(int, Call) (*Answer, error) {
					a := streamOf("s", "")
					a.Body = reader
					return a, nil
				}
				flushed := 0
				rec := &hookedCaller{ResponseRecorder: httptest.NewRecorder(), flushed: func() { flushed++ }}
				done := make(chan error)
				go func() { done <- w.Serve(t.Context(), rec, promptRequest("/guide/1")) }()
				_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n"+part)
				synctest.Wait()
				require.Equal(t, 1, flushed)
				_ = writer.CloseWithError(errors.New("connection reset"))
				require.ErrorIs(t, <-done, ErrCut)
			})
		})
	}
}
