package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	outageTime = 8 * time.Second // trouble-3 of the users' large deployment
	// Calls to the store for one table in an outage that do not grow with its length, by
	// instance: one that finds the store away, one that probes it, and one for chance.
	outageCalls = 3
)

// newCrowd starts 98 instances with links as in the users' large deployment, and a small
// configuration.
func newCrowd(t *testing.T) *region {
	r := &region{t: t, changed: make(chan struct{}), random: rand.New(rand.NewPCG(1, 1)), version: 10, content: []byte(`{"version":1}`)}
	for n := range 98 {
		rate := slowLink
		if n%8 == 0 {
			rate = fastLink
		}
		i := r.add(instanceID(fmt.Sprintf("i%02d", n), "x", float64(rate)), rate)
		i.begun = time.Now()
	}
	r.start()
	time.Sleep(settingTime)
	r.requireVersion(1, 0)
	return r
}

func (r *region) calledSince(before int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls - before
}

// Guards against calls to the store in an outage that grow with the number of instances
// and its length (trouble-3 of the users' large deployment: 5,683 in 8 s, and 591 after it),
// and against a configuration that is in force late because of that.
func TestOutageIsPolledByFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCrowd(t)
		before := r.calledSince(0)
		r.refuse(func(*host) bool { return true })
		time.Sleep(outageTime)
		during := r.calledSince(before)
		r.put([]byte(`{"version":2}`))
		r.refuse(nil)
		r.requireVersion(2, 3*time.Second)
		time.Sleep(settingTime)
		t.Logf("%d calls in the outage, %d after it", during, r.calledSince(before)-during)
		require.LessOrEqual(t, r.calledSince(before), outageCalls*len(r.list()))
	})
}

// Guards against instances that believe the few that poll the store when only those
// cannot reach it.
func TestOutageOfThePollersIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCrowd(t)
		cut := map[string]bool{}
		// Members without a known link come late in the order.
		for _, p := range placesBefore("~", "t", r.members())[:outageReaders] {
			cut[p.RPC] = true
		}
		r.refuse(func(h *host) bool { return cut[h.addr] })
		for version := range 4 {
			time.Sleep(outageTime / 2)
			r.put(fmt.Appendf(nil, `{"version":%d}`, version+2))
			r.requireVersion(int64(version+2), 3*time.Second)
		}
	})
}
