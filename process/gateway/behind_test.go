package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/process/member"
)

const (
	noticeTime = 2500 * time.Millisecond // of the 3.0 s that the users allow for a leaving endpoint
	applyTime  = 3 * time.Second         // the users' bound from the ack of a change until it is in force
)

// newRegions starts 66 instances in three regions, with links as at the users' deployments
// and a table of one small row.
func newRegions(t *testing.T) *region { return startRegions(t, 66, 3) }

// startRegions is newRegions with other numbers of instances and regions.
func startRegions(t *testing.T, instances, regions int) *region {
	r := &region{t: t, changed: make(chan struct{}), random: rand.New(rand.NewPCG(3, 3)), version: 10, content: []byte(`{"version":1}`)}
	for n := range instances {
		rate := slowLink
		if n%5 == 0 {
			rate = fastLink
		}
		i := r.add(instanceID(fmt.Sprintf("i%02d", n), "x", float64(rate)), rate)
		i.begun, i.Settings.Region = time.Now(), fmt.Sprint("r", n%regions)
	}
	for _, i := range r.instances {
		i.start()
	}
	t.Cleanup(func() {
		for _, i := range r.list() {
			i.cancel()
			i.host.end()
			_ = i.host.Close()
		}
	})
	time.Sleep(settingTime)
	r.requireVersion(1, 0)
	return r
}

// probe has each instance probe another one at the rate of package member, until the test
// ends. The datagrams name no version of the routing table, which would be fetched.
func (r *region) probe() {
	list := r.list()
	for _, i := range list {
		random := rand.New(rand.NewPCG(4, r.random.Uint64()))
		go func() {
			for pause(i.base, time.Duration(random.Int64N(int64(2*member.Period)))) == nil {
				to := list[random.IntN(len(list))]
				if gone, _ := to.state(); gone || to == i {
					continue
				}
				to.onProgress(i.id, i.payload()[payloadBytes:])
				i.onProgress(to.id, to.payload()[payloadBytes:])
			}
		}()
	}
}

// reader returns the instance of a region that polls the store.
func (r *region) reader(name string) *regional {
	for _, i := range r.list() {
		if _, ok := i.feedSource(i.feeds["t"]); !ok && i.Settings.Region == name {
			return i
		}
	}
	return nil
}

// Guards against a notice that an instance gets as late as the one that polls the store for
// its region notices that nothing of the store reaches it (3.9 s), or that it has frozen.
func TestNoticePassesAReaderThatIsCutOff(t *testing.T) {
	for how, stop := range map[string]func(r *region, i *regional){
		"cut off": func(r *region, i *regional) { r.cut(func(h *host) bool { return h == i.host }) },
		"frozen":  func(_ *region, i *regional) { i.stop((*host).freeze) },
		"reader and the next": func(r *region, i *regional) {
			next := i.host
			for _, o := range r.list() {
				if before := placesBefore(o.id, "t", o.aliveNear(nil)); o.Settings.Region == "r0" && len(before) == 1 {
					next = o.host
				}
			}
			r.cut(func(h *host) bool { return h == i.host || h == next })
		},
	} {
		for _, before := range []int{10, 1500} {
			t.Run(fmt.Sprint(how, " after ", before, " ms"), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					r := newRegions(t)
					r.probe()
					time.Sleep(time.Duration(before) * time.Millisecond)
					stop(r, r.reader("r0"))
					calls := r.calledSince(0)
					time.Sleep(10 * time.Millisecond)
					r.put([]byte(`{"version":2}`))
					r.requireVersion(2, noticeTime)
					time.Sleep(settingTime)
					t.Logf("%d calls to the store", r.calledSince(calls))
					require.LessOrEqual(t, r.calledSince(calls), len(r.list()), "most of the instances do not call the store")
				})
			})
		}
	}
}

// Guards against a change that is in force late, because the instances that poll the store for
// the regions that are left are cut off from it without an error and tell the others that
// nothing has changed: no other region has a later row then.
func TestChangePassesAllReadersThatAreCutOff(t *testing.T) {
	for _, x := range []struct{ instances, regions int }{{2, 1}, {22, 1}, {4, 2}} {
		// The phase of the poll decides, and the pause of the readers after a change.
		for after := time.Duration(0); after <= 3*time.Second; after += 300 * time.Millisecond {
			t.Run(fmt.Sprintf("%d instances, %d regions, after %v", x.instances, x.regions, after), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					r := startRegions(t, x.instances, x.regions)
					r.probe()
					r.put([]byte(`{"version":2}`))
					time.Sleep(after)
					cut := map[*host]bool{}
					for n := range x.regions {
						cut[r.reader(fmt.Sprint("r", n)).host] = true
					}
					r.cut(func(h *host) bool { return cut[h] })
					r.put([]byte(`{"version":3}`))
					time.Sleep(applyTime)
					for _, i := range r.list() {
						if !cut[i.host] {
							require.EqualValues(t, 3, i.Tables.Version(), i.id)
						}
					}
				})
			})
		}
	}
}

// Guards against calls to the store that the instances make because they believe to be
// behind while nothing fails.
func TestNobodyIsBehindInSteadyState(t *testing.T) {
	calls := map[bool]int{}
	for _, probes := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := newRegions(t)
			if probes {
				r.probe()
			}
			before := r.calledSince(0)
			for n := range 60 {
				time.Sleep(time.Duration(50+r.random.IntN(1500)) * time.Millisecond)
				r.put(fmt.Appendf(nil, `{"version":%d}`, n+2))
			}
			calls[probes] = r.calledSince(before)
		})
	}
	t.Log(calls)
	require.LessOrEqual(t, calls[true], calls[false]*11/10)
}
