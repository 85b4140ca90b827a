package member_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a cluster that does not find itself from its seeds.
func TestJoin(t *testing.T) {
	for _, n := range []int{1, 2, 7, 50, 500} {
		w := newWorld(n, 1)
		took := w.until(2*time.Minute, w.agree)
		require.Positive(t, took+1, "%d nodes", n)
		t.Log(n, took)
		w.run(30 * time.Second)
		var deaths, susp int64
		for _, h := range w.nodes {
			deaths += h.Stats().Deaths
			susp += h.Stats().Suspicions
		}
		t.Log("deaths", deaths, susp)
		b0 := w.nodes[0].Stats()
		w.run(30 * time.Second)
		b1 := w.nodes[0].Stats()
		t.Log("bytes/s", (b1.Bytes-b0.Bytes)/30, (b1.Received-b0.Received)/30)
		w.nodes[0].down = true
		t.Log("death seen by all", w.until(time.Minute, w.agree))
	}
}
