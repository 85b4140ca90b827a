package hostile

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/platform/fake"
)

const headBytes = 16 << 10 // largest head that the configuration allows

// smallest are the limits of the smallest instance of the deployments.
var smallest = Limits{Memory: 112, Files: 3075}

// fill adds header lines to the begin of a request until its head has size bytes.
func fill(text, line string, size int) string {
	for len(text)+2*len(line)+2 <= size {
		text += line
	}
	text += strings.TrimSuffix(line, "\r\n")
	return text + strings.Repeat("z", size-len(text)-4) + "\r\n\r\n"
}

// Guards against a single request within the limits that is refused by the smallest
// instance: the largest head and body, alone and together, with the shortest lines, and in
// each way in which a client may send them on one connection.
func TestLargestRequestIsServed(t *testing.T) {
	p, err := Serve(t.Context(), binaryPath, t.TempDir(), smallest)
	require.NoError(t, err)
	defer p.Close()
	require.NoError(t, p.AskUntilAnswered(t.Context()))
	path, large := fake.SafePrefix+"x", strings.Repeat("b", bodyBytes)
	length := fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)
	conn, err := net.Dial("tcp", p.Addrs["callers"])
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(2*time.Minute)))
	r := bufio.NewReader(conn)
	answered := func(what string) {
		res, err := http.ReadResponse(r, nil)
		require.NoError(t, err, what)
		_, err = io.Copy(io.Discard, res.Body)
		require.NoError(t, err, what)
		require.Equal(t, http.StatusOK, res.StatusCode, what)
		require.False(t, res.Close, what)
	}
	send := func(text string) {
		_, err := io.WriteString(conn, text)
		require.NoError(t, err)
	}
	for _, line := range []string{"a:\r\n", "x-name: value\r\n", "x: " + strings.Repeat("y", 4000) + "\r\n"} {
		send(fill(head("GET", path, "1"), line, headBytes))
		answered("largest head of " + line[:2])
		send(fill(head("POST", path, "2")+length, line, headBytes) + large)
		answered("largest head and body")
	}
	send(head("POST", path, "3") + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", bodyBytes) + large + "\r\n0\r\n\r\n")
	answered("largest body in one chunk")
	send(head("POST", path, "4") + length + "Expect: 100-continue\r\n\r\n")
	line, err := r.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "100 Continue")
	_, err = r.ReadString('\n')
	require.NoError(t, err)
	send(large)
	answered("largest body after 100 Continue")
	send(strings.Repeat(head("GET", path, "5")+"\r\n", 5))
	for range 5 {
		answered("pipelined")
	}
	// A body over the limit is refused before it is received, and without 100 Continue.
	send(head("POST", path, "6") + fmt.Sprintf("Content-Length: %d\r\nExpect: 100-continue\r\n\r\n", bodyBytes+1))
	res, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	defer res.Body.Close()
	require.Equal(t, http.StatusRequestEntityTooLarge, res.StatusCode)
	peaks, err := p.Peaks()
	require.NoError(t, err)
	require.LessOrEqual(t, peaks.Memory, smallest.Memory<<10)
}
