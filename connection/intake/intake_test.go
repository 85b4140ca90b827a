package intake

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a budget that is exceeded, or not credited in full, or whose reserve for
// small charges is taken by larger ones or by one holder.
func TestBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 1 << 20
		b := NewBudget(size)
		accounts := make([]*Account, 12)
		for i := range accounts {
			accounts[i] = &Account{Budget: b, Holders: []string{fmt.Sprint(i % 3)}}
		}
		charged := make([]int64, len(accounts))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(accounts)-1).Draw(t, "account")
			n := rapid.Int64Range(1, size/4).Draw(t, "bytes")
			used, _ := b.Used()
			if rapid.Bool().Draw(t, "charge") {
				small := charged[i]+n <= SmallCharge
				if accounts[i].Charge(n) {
					charged[i] += n
					require.True(t, small || used+n <= size*3/4)
				} else {
					require.False(t, small && used+n <= size, "a small charge was refused while there was room")
				}
			} else {
				accounts[i].Credit(n)
				charged[i] -= min(n, charged[i])
			}
			sum := int64(0)
			for _, n := range charged {
				sum += n
			}
			used, _ = b.Used()
			require.Equal(t, sum, used)
			require.LessOrEqual(t, used, int64(size))
		}
		for _, a := range accounts {
			a.Release()
			require.False(t, a.Charge(1), "after Release")
		}
		used, _ := b.Used()
		require.Zero(t, used)
		require.Empty(t, b.holders)
	})
}

// Guards against bodies that are changed, cut or charged wrongly, whatever their length,
// the parts in which they arrive and whether the length is known.
func TestBodyIsReadWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := bytes.Repeat([]byte("0123456789abcde"), rapid.IntRange(0, 20000).Draw(t, "length"))
		b := NewBudget(8 << 20)
		a := &Account{Budget: b}
		length := int64(len(body))
		if rapid.Bool().Draw(t, "unknown") {
			length = -1
		}
		limit := int64(len(body) + rapid.IntRange(-1, 1).Draw(t, "limit"))
		if limit <= 0 {
			return
		}
		read, err := ReadBody(iotest.HalfReader(bytes.NewReader(body)), length, limit, a, nil)
		if int64(len(body)) > limit {
			require.ErrorIs(t, err, ErrLong)
		} else {
			require.NoError(t, err)
			require.True(t, bytes.Equal(body, read))
			used, _ := b.Used()
			require.Equal(t, int64(cap(read)), used)
		}
		a.Release()
		used, _ := b.Used()
		require.Zero(t, used)
	})
}

// Guards against a caller that announces a long body and sends a part, and thereby keeps
// memory for all of it, and against a refusal by any other error than ErrFull.
func TestBodyIsChargedAsItArrives(t *testing.T) {
	b := NewBudget(8 << 20)
	for _, sent := range []int{0, 1, 30 << 10, 100 << 10, 1 << 20} {
		a := &Account{Budget: b}
		body := io.MultiReader(strings.NewReader(strings.Repeat("x", sent)), iotest.ErrReader(io.ErrUnexpectedEOF))
		_, err := ReadBody(body, 4<<20, 4<<20, a, nil)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		used, _ := b.Used()
		require.LessOrEqual(t, used, int64(max(growth*sent, firstPart)), "%d bytes", sent)
		a.Release()
	}
	other := &Account{Budget: b}
	require.True(t, other.Charge(5<<20))
	_, err := ReadBody(bytes.NewReader(make([]byte, 4<<20)), 4<<20, 4<<20, &Account{Budget: b}, nil)
	require.ErrorIs(t, err, ErrFull)
}

// Guards against a body of unknown length that is a byte too long, and ends with that byte.
func TestLongBodyIsRefusedAtItsEnd(t *testing.T) {
	for _, limit := range []int64{1, firstPart - 1, firstPart, 100_000} {
		for long := range int64(2) {
			body := iotest.DataErrReader(bytes.NewReader(make([]byte, limit+long)))
			_, err := ReadBody(body, -1, limit, &Account{}, nil)
			require.Equal(t, long > 0, errors.Is(err, ErrLong), "limit %d, %d more", limit, long)
		}
	}
}

// testServer serves a gate and answers each request with the number of its header lines.
func testServer(t testing.TB, limits Limits, budget *Budget, most int) (*Gate, string) {
	t.Helper()
	l, err := Listen("127.0.0.1:0", budget)
	require.NoError(t, err)
	g := &Gate{Listener: l, Budget: budget, Most: most, Limits: func() Limits { return limits }}
	server := g.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lines := 0
		for _, values := range r.Header {
			lines += len(values)
		}
		fmt.Fprint(w, lines)
	}))
	go func() { _ = server.Serve(g) }() // ends with the test
	t.Cleanup(func() { _ = server.Close() })
	return g, l.Addr().String()
}

// exchange sends a text and returns the status and the body of the first answer.
func exchange(conn net.Conn, text string) (int, string, error) {
	if err := conn.SetDeadline(time.Now().Add(time.Minute)); err != nil {
		return 0, "", err
	}
	go func() { _, _ = io.WriteString(conn, text) }()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, string(body), err
}

// Guards against a legal head that is refused, whatever its lines, up to the limit in
// bytes and with the shortest lines, on the budget of the smallest instance, and against
// heads over the limits that are passed on.
func TestLegalHeadsAreServed(t *testing.T) {
	const limit = 16 << 10
	_, addr := testServer(t, Limits{HeadBytes: limit, HeadTime: time.Minute, IdleTime: time.Minute}, Bound(112), 0)
	rapid.Check(t, func(t *rapid.T) {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		defer conn.Close()
		for range rapid.IntRange(1, 3).Draw(t, "requests") {
			text, lines := "GET / HTTP/1.1\r\nHost: h\r\n", 0
			size := rapid.SampledFrom([]int{500, 4096, limit - 100, limit}).Draw(t, "size")
			name := strings.Repeat("x", rapid.SampledFrom([]int{1, 1, 2, 10}).Draw(t, "name"))
			value := strings.Repeat("y", rapid.SampledFrom([]int{0, 0, 1, 20, 200}).Draw(t, "value"))
			line := name + ":" + value + "\r\n"
			for len(text)+len(line)+len(line)+2 <= size {
				text += line
				lines++
			}
			// The last line fills the head up to the size.
			text += name + ":" + value + strings.Repeat("z", size-len(text)-len(line)-2) + "\r\n\r\n"
			require.Len(t, text, size)
			status, body, err := exchange(conn, text)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, fmt.Sprint(lines+1), body)
		}
	})
	for _, line := range []string{"a:\r\n", "a:\n", "x: " + strings.Repeat("y", 3000) + "\r\n"} {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		status, _, err := exchange(conn, "GET / HTTP/1.1\r\nHost: h\r\nb: c"+strings.Repeat(line, 40000/len(line)))
		if err == nil {
			require.Contains(t, []int{http.StatusBadRequest, http.StatusRequestHeaderFieldsTooLarge}, status)
		}
		_ = conn.Close()
	}
}

// Guards against an idle connection that is closed while there is room, and against the
// order in which connections are closed when there is none: those that never sent a request
// first, then the one that has been idle for longest.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	g, addr := testServer(t, Limits{HeadBytes: 16 << 10}, NewBudget(0), 3)
	var conns []net.Conn
	open := func() {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		conns = append(conns, conn)
	}
	ask := func(n int) error {
		status, _, err := exchange(conns[n], "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		if err == nil && status != http.StatusOK {
			err = errors.Newf("status %d", status)
		}
		return err
	}
	awaitIdle := func(n int) {
		require.Eventually(t, func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.queues[idle].Len() == n
		}, time.Minute, time.Millisecond)
	}
	for n := range 2 {
		open()
		require.NoError(t, ask(n))
		awaitIdle(n + 1)
	}
	open() // fresh
	require.Eventually(t, func() bool { return g.connections() == 3 }, time.Minute, time.Millisecond)
	open()
	require.NoError(t, ask(3))
	awaitIdle(3)
	require.Error(t, ask(2), "the connection without a request is closed first")
	open()
	require.NoError(t, ask(4))
	require.Error(t, ask(0), "then the one that has been idle for longest")
	require.NoError(t, ask(1))
}

// Guards against connections that are closed for a charge of one that has been closed
// itself, or for a larger charge, and against a small charge that closes none.
func TestWhatMakesRoom(t *testing.T) {
	budget := NewBudget(512 << 10)
	g, addr := testServer(t, Limits{}, budget, 0)
	for range 10 {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
	}
	require.Eventually(t, func() bool { return g.connections() == 10 }, time.Minute, time.Millisecond)
	gone := &Account{Budget: budget}
	gone.Release()
	require.False(t, g.charge(gone, 1))
	require.False(t, g.charge(&Account{Budget: budget}, 400<<10))
	require.Equal(t, 10, g.connections())
	require.True(t, g.charge(&Account{Budget: budget, Holders: []string{"a"}}, 200<<10))
	for range 3 {
		require.True(t, g.charge(&Account{Budget: budget}, SmallCharge))
	}
	require.Equal(t, 7, g.connections())
}

// The memory of an idle connection, with that of its client in the same process.
func BenchmarkIdleConnection(b *testing.B) {
	_, addr := testServer(b, Defaults, NewBudget(1<<40), 0)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	count := 0
	for b.Loop() {
		if count++; count > 2000 {
			continue
		}
		conn, err := net.Dial("tcp", addr)
		require.NoError(b, err)
		defer conn.Close() //nolint:revive // all stay open until the end
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(b, err)
		_, err = conn.Read(make([]byte, 256))
		require.NoError(b, err)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := after.HeapInuse + after.StackInuse - before.HeapInuse - before.StackInuse
	b.ReportMetric(float64(used)/float64(min(count, 2000)), "B/conn")
}

// Guards against idle connections that are all closed because a request arrives on one that
// has just been closed to make room.
func TestRequestOnAClosedConnectionClosesNoOthers(t *testing.T) {
	for _, size := range []int64{0, 1 << 20} {
		g, _ := testServer(t, Limits{HeadBytes: 16 << 10}, NewBudget(size), 3)
		var conns []*Conn
		for range 3 {
			here, there := net.Pipe()
			t.Cleanup(func() { _ = there.Close() })
			conns = append(conns, g.admit(here))
			g.move(conns[len(conns)-1], idle)
		}
		require.True(t, g.closeOne())
		conns[0].begin()
		require.Equal(t, 2, g.connections())
		require.False(t, g.charge(conns[0].account, 1))
		require.Equal(t, 2, g.connections())
		require.True(t, g.charge(conns[1].account, 1))
	}
}

// Guards against requests that are refused because line ends in their bodies, which arrive
// with the head, count as header lines.
func TestLinesOfABodyAreNotThoseOfAHead(t *testing.T) {
	const limit = 1 << 10
	_, addr := testServer(t, Limits{HeadBytes: limit, HeadTime: time.Minute, IdleTime: time.Minute}, Bound(112), 0)
	for _, lines := range []int{0, 1, 300, 400, 3000, 4000} {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		status, _, err := exchange(conn, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", lines, strings.Repeat("\n", lines)))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, "%d lines", lines)
		require.NoError(t, conn.Close())
	}
}

// Guards against clients that get no answer while all connections, or the whole budget, are in use,
// and against a request of theirs that is served, or keeps a connection that is served from it.
func TestConnectionsInSurplusAreAnswered(t *testing.T) {
	const count, request = 2 * surplusShare, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, x := range map[string]struct {
		most   int
		budget int64
	}{
		"connections": {count, 0},
		"budget":      {2 * count, count*(connCost+activeCost) + (2*count/surplusShare+1)*connCost},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := Listen("127.0.0.1:0", nil)
			require.NoError(t, err)
			g := &Gate{Listener: l, Budget: NewBudget(x.budget), Most: x.most, Limits: func() Limits { return Defaults }}
			served, release := make(chan struct{}, 2*count), make(chan struct{})
			server := g.Server(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				served <- struct{}{}
				<-release
			}))
			go func() { _ = server.Serve(g) }() // ends with the test
			t.Cleanup(func() { _ = server.Close() })
			open := func() net.Conn {
				conn, err := net.Dial("tcp", l.Addr().String())
				require.NoError(t, err)
				t.Cleanup(func() { _ = conn.Close() })
				return conn
			}
			// One beyond the surplus may be reset, and its client tries again.
			awaitStatus := func(want int) {
				require.Eventually(t, func() bool {
					conn := open()
					defer conn.Close()
					status, _, err := exchange(conn, request)
					return err == nil && status == want
				}, time.Minute, time.Millisecond)
			}
			for range count {
				_, err := io.WriteString(open(), request)
				require.NoError(t, err)
				<-served
			}
			for range 10 {
				awaitStatus(http.StatusServiceUnavailable)
			}
			for range 10 * g.mostSurplus() {
				open() // sends nothing
			}
			awaitStatus(http.StatusServiceUnavailable)
			g.mu.Lock()
			require.LessOrEqual(t, g.queues[surplus].Len()+g.queues[rejected].Len(), g.mostSurplus())
			require.Equal(t, count, g.count)
			g.mu.Unlock()
			require.Empty(t, served)
			close(release)
			awaitStatus(http.StatusOK)
		})
	}
}

// Guards against names of trailers, of which net/http makes a map entry each, that are not charged,
// however the head arrives, and against lists in other headers that are charged like them.
func TestNamesOfTrailersAreCharged(t *testing.T) {
	const names, few = 1000, 10
	list := strings.TrimSuffix(strings.Repeat("ab,", names), ",")
	folded := strings.ReplaceAll(list, "ab,ab,", "ab,\r\n ab,")
	for text, commas := range map[string]int{
		"Trailer: " + list + "\r\n":                            names - 1,
		"tRAILER:" + list + "\n":                               names - 1,
		"Trailer: " + folded + "\r\n":                          names - 1,
		"A: b\r\nTrailer: " + list + "\r\nC: d\r\n":            names - 1,
		"Trailer: " + list[:3*few] + "\r\nX: " + list + "\r\n": few,
		"X: " + list + "\r\n":                                  0,
	} {
		for _, part := range []int{1, 7, 1 << 20} {
			c := &Conn{}
			head := "POST / HTTP/1.1\r\n" + text + "\r\n"
			for len(head) > 0 {
				n := min(part, len(head))
				c.countLines([]byte(head[:n]))
				head = head[n:]
			}
			require.Equal(t, commas, c.names, text[:10])
		}
	}
	budget := NewBudget(activeCost + connCost + names*nameCost/2)
	_, addr := testServer(t, Limits{HeadBytes: 16 << 10, HeadTime: time.Minute, IdleTime: time.Minute}, budget, 0)
	for head, want := range map[string]int{"Trailer: " + list: http.StatusServiceUnavailable, "X: " + list: http.StatusOK} {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		status, _, err := exchange(conn, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"+head+"\r\n\r\n0\r\n\r\n")
		require.NoError(t, err)
		require.Equal(t, want, status, head[:10])
		require.NoError(t, conn.Close())
	}
}

// Guards against an end of a refused connection that is no longer shown to its client, which
// still sends a body: without it, the client gets a reset where it awaits the end.
func TestRefusedClientSeesTheEnd(t *testing.T) {
	_, addr := testServer(t, Limits{HeadBytes: 16 << 10, HeadTime: time.Minute, IdleTime: time.Minute}, nil, 0)
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 60000))
	require.NoError(t, err)
	answer, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Contains(t, string(answer), "200 OK")
}

// Guards against a head that is held open beyond its time, and against the timeout of a head that
// still runs while a request is answered.
func TestHeadTime(t *testing.T) {
	_, addr := testServer(t, Limits{HeadTime: 50 * time.Millisecond, IdleTime: time.Minute}, nil, 0)
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer conn.Close()
	for range 2 {
		status, _, err := exchange(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		time.Sleep(100 * time.Millisecond) // longer than the time of a head, which does not count here
	}
	_, _, err = exchange(conn, "GET / HTTP/1.1\r\n")
	require.Error(t, err)
}

// The cost of a charge and its credit; the goal is less than a microsecond.
func BenchmarkCharge(b *testing.B) {
	budget := NewBudget(1 << 30)
	b.RunParallel(func(pb *testing.PB) {
		a := &Account{Budget: budget, Holders: []string{"127.0.0.1", "account club"}}
		for pb.Next() {
			a.Charge(4096)
			a.Credit(4096)
		}
	})
}

// The cost of a request on a kept connection, with and without a gate.
func BenchmarkRequest(b *testing.B) {
	ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	for _, bound := range []bool{false, true} {
		b.Run(fmt.Sprint("gate ", bound), func(b *testing.B) {
			budget := NewBudget(1 << 30)
			l, err := Listen("127.0.0.1:0", budget)
			require.NoError(b, err)
			g := &Gate{Listener: l, Budget: budget, Most: 100, Limits: func() Limits { return Defaults }}
			server := g.Server(ok)
			if !bound {
				server.ConnState = nil
				go func() { _ = server.Serve(l) }() // ends with the benchmark
			} else {
				go func() { _ = server.Serve(g) }() // ends with the benchmark
			}
			defer func() { _ = server.Close() }()
			conn, err := net.Dial("tcp", l.Addr().String())
			require.NoError(b, err)
			defer conn.Close()
			r := bufio.NewReader(conn)
			text := []byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n" + strings.Repeat("x", 3000))
			b.ReportAllocs()
			for b.Loop() {
				_, _ = conn.Write(text)
				res, err := http.ReadResponse(r, nil)
				require.NoError(b, err)
				_ = res.Body.Close()
			}
		})
	}
}
