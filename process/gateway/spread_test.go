package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/mirror"
	"github.com/eelgrassdock/eelgrassdock/version/routing"
)

const (
	passTime    = 400 * time.Millisecond // pass_ms of the users: longest time from an engine's event to the caller
	slowLink    = 10                     // Mbit/s
	fastLink    = 200                    // Mbit/s
	detectTime  = 2 * time.Second        // until the members show that one is gone
	settingTime = 5 * time.Second
)

// region is the instances of one region, their links, and the store.
type region struct {
	t     *testing.T
	links links

	mu        sync.Mutex
	instances []*regional
	others    []member.Member // that are no instances of this build
	random    *rand.Rand

	// The configuration in the store.
	version int64
	content []byte
	changed chan struct{}
	away    bool               // the store does not answer
	refuses func(i *host) bool // the store refuses the connections of an instance; may be nil
	hangs   func(i *host) bool // nothing of an instance reaches the store any more; may be nil
	calls   int                // to the store
	reads   int64              // bytes of the configuration that instances have read from the store
	lists   int                // times that an instance has read the whole table from the store
}

// regional is one instance.
type regional struct {
	*Gateway
	host *host

	mu        sync.Mutex
	missingAt time.Time // when the members show that it is gone; zero while it is not
}

// stop ends or freezes an instance.
func (i *regional) stop(how func(*host)) {
	i.mu.Lock()
	i.missingAt = time.Now().Add(detectTime)
	i.mu.Unlock()
	i.cancel()
	how(i.host)
}

// state reports whether the instance is gone, and whether the members show it.
func (i *regional) state() (gone, missing bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.missingAt.IsZero(), !i.missingAt.IsZero() && !time.Now().Before(i.missingAt)
}

// newRegion starts one instance for each link rate, with a configuration of 2,848
// routes. It must be called in a synctest bubble.
func newRegion(t *testing.T, rates ...int) *region {
	r := &region{t: t, changed: make(chan struct{}), random: rand.New(rand.NewPCG(1, 1)), version: 10, content: firstTable}
	for n, rate := range rates {
		r.add(instanceID(fmt.Sprintf("i%02d", n), "x", float64(rate)), rate)
	}
	r.start()
	time.Sleep(settingTime)
	r.requireVersion(1, 0)
	return r
}

// start starts all instances, until the test ends.
func (r *region) start() {
	for _, i := range r.instances {
		i.start()
	}
	go r.gossip(r.t.Context())
	r.t.Cleanup(func() {
		for _, i := range r.list() {
			i.cancel()
			i.host.end()
			_ = i.host.Close()
		}
	})
}

func (r *region) add(id string, rate int) *regional {
	w := newTestGateway(r.t)
	i := &regional{Gateway: w.Gateway, host: r.links.add(id, float64(rate))}
	i.id, i.Settings.Peer, i.Settings.Region, i.Settings.Link = id, id, "r0", float64(rate)
	i.Tables = routing.Keeper{}
	i.Decode = func(data []byte) (*routing.Table, error) {
		var d routing.Document
		_, err := fmt.Fscanf(strings.NewReader(string(data)), `{"version":%d`, &d.Version)
		return routing.New(d), err
	}
	i.listMembers, i.memberStatus = r.members, func(string) member.Status { return member.Alive }
	i.peers.Dial = i.host.dial
	table := &mirror.Table{
		Name: "t", BatchDelay: 250 * time.Millisecond, Log: i.Log, Changed: i.ConfigurationHandler("t", "config"),
		List: func(ctx context.Context) (mirror.Page, error) { return r.read(ctx, i.host, 0, 0) },
		Follow: func(ctx context.Context, after int64, wait time.Duration) (mirror.Page, error) {
			return r.read(ctx, i.host, after, wait)
		},
	}
	i.shareTable(table)
	r.mu.Lock()
	r.instances = append(r.instances, i)
	r.mu.Unlock()
	return i
}

func (i *regional) start() {
	_ = i.servePeers(i.host)
	go i.feeds["t"].table.Run(i.base)
}

// The configurations of a test.
var (
	firstTable = routesDocument(1, 2848)
	grownTable = routesDocument(2, 4248)
	idleTable  = routesDocument(3, 4249)
)

// routesDocument returns a configuration with routes that have random names, as the
// store has them. A higher number of routes adds to the same ones.
func routesDocument(version, routes int) []byte {
	random := rand.New(rand.NewPCG(7, 7))
	list := make([]string, 0, routes)
	for range routes {
		list = append(list, fmt.Sprintf(
			`{"name":"r-%07x","host":"h.example","prefix":"/%08x/","kind":"safe","timeout":1000,"aim":1000,"rank":0,"service":"desk","attempts":2,"open":true}`,
			random.Uint32(), random.Uint32()))
	}
	slices.Sort(list)
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s]}`, version, strings.Join(list, ","))
}

// read is a read of the store by the instance on a host. The store sends base64.
func (r *region) read(ctx context.Context, h *host, after int64, wait time.Duration) (mirror.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	r.mu.Lock()
	r.calls++
	r.mu.Unlock()
	for {
		r.mu.Lock()
		if r.refuses != nil && r.refuses(h) {
			r.mu.Unlock()
			return mirror.Page{}, errors.Join(errors.New("connection reset"), pause(ctx, 4*time.Millisecond))
		}
		if r.away || r.hangs != nil && r.hangs(h) {
			r.mu.Unlock()
			<-ctx.Done()
			return mirror.Page{}, ctx.Err()
		}
		page, changed := mirror.Page{Version: r.version, Rows: []mirror.Row{{Key: "config", Version: r.version, Value: r.content}}}, r.changed
		r.mu.Unlock()
		if page.Version > after {
			size := len(r.content) * 4 / 3
			r.mu.Lock()
			r.reads += int64(size)
			if wait == 0 {
				r.lists++
			}
			r.mu.Unlock()
			if err := h.receive(ctx, size); err != nil {
				return mirror.Page{}, err
			}
			return page, nil
		}
		select {
		case <-ctx.Done():
			return mirror.Page{}, ctx.Err()
		case <-changed:
		case <-timer.C:
			if r.isCut(h) {
				<-ctx.Done()
				return mirror.Page{}, ctx.Err()
			}
			return mirror.Page{Version: after}, pause(ctx, 4*time.Millisecond)
		}
	}
}

// cut drops, without an error, what passes between the store and some instances.
func (r *region) cut(hangs func(*host) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hangs = hangs
}

func (r *region) isCut(h *host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hangs != nil && r.hangs(h)
}

// refuse has the store refuse the connections of some instances, and end their polls.
func (r *region) refuse(refuses func(*host) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuses = refuses
	close(r.changed)
	r.changed = make(chan struct{})
}

// put writes a configuration to the store.
func (r *region) put(content []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.content = r.version+7, content
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *region) list() []*regional {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.instances)
}

func (r *region) members() (list []member.Member) {
	for _, i := range r.list() {
		if _, missing := i.state(); !missing {
			m := i.self()
			m.RPC = i.host.addr
			list = append(list, m)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(list, r.others...)
}

// gossip has each instance tell two others each 100 ms which version it has.
func (r *region) gossip(ctx context.Context) {
	for pause(ctx, member.Tick) == nil {
		list := r.list()
		for _, i := range list {
			for range 2 {
				to := list[r.random.IntN(len(list))]
				from, _ := i.state()
				if gone, _ := to.state(); to != i && !gone && !from {
					to.onPayload(i.id, i.payload())
				}
			}
		}
	}
}

// polled returns the instance that most others poll.
func (r *region) polled() *regional {
	count := map[string]int{}
	list := r.list()
	for _, i := range list {
		if m, ok := i.feedSource(i.feeds["t"]); ok {
			count[m.ID]++
		}
	}
	return slices.MaxFunc(list, func(a, b *regional) int { return count[a.id] - count[b.id] })
}

// requireVersion waits until all instances have a version, within a time.
func (r *region) requireVersion(version int64, within time.Duration) {
	r.t.Helper()
	for end := time.Now().Add(within); ; time.Sleep(10 * time.Millisecond) {
		var without []string
		for _, i := range r.list() {
			if gone, _ := i.state(); !gone && i.Tables.Version() < version {
				without = append(without, i.id)
			}
		}
		if len(without) == 0 {
			return
		}
		if time.Now().After(end) {
			r.t.Errorf("%d instances without version %d after %v: %v", len(without), version, within, without)
			return
		}
	}
}

// events sends an event of a stream each 20 ms through the link of each instance, until
// the context ends, and returns the longest time that one waited there.
func (r *region) events(ctx context.Context) time.Duration {
	var longest time.Duration
	for pause(ctx, 20*time.Millisecond) == nil {
		for _, i := range r.list() {
			now := time.Now()
			for _, l := range []*lane{&i.host.up, &i.host.down} {
				longest = max(longest, l.pass(360, now).Sub(now))
			}
		}
	}
	return longest
}

// grow writes a configuration with 1,400 routes more and, when it is acknowledged, one
// that changes next to nothing.
func (r *region) grow() {
	r.put(grownTable)
	time.Sleep(2 * time.Millisecond)
	r.put(idleTable)
}

// deployment is the links of one region, and config_apply_ms of the users for
// deployments with such links.
type deployment struct {
	name  string
	rates []int // Mbit/s
	apply time.Duration
}

func deployments() []deployment {
	some := slices.Concat(slices.Repeat([]int{fastLink}, 4), slices.Repeat([]int{slowLink}, 23))
	return []deployment{
		{"small", slices.Repeat([]int{1000}, 6), 3 * time.Second},
		{"some fast links", some, 3 * time.Second}, // 4 s; stricter than theirs
		{"slow links", slices.Repeat([]int{slowLink}, 27), 4 * time.Second},
	}
}

// Guards against a configuration that fills the links of instances, so that events,
// probes and requests wait behind it.
func TestTableLeavesRoomOnLinks(t *testing.T) {
	for _, d := range deployments() {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				r := newRegion(t, d.rates...)
				for _, i := range r.list() {
					i.host.up.longest()
					i.host.down.longest()
				}
				ctx, cancel := context.WithCancel(t.Context())
				longest := make(chan time.Duration, 1)
				go func() { longest <- r.events(ctx) }()
				r.grow()
				r.requireVersion(3, d.apply)
				time.Sleep(settingTime)
				cancel()
				assert.LessOrEqual(t, <-longest, passTime, "time that an event waited for a link")
				for _, i := range r.list() {
					wait, stretch := i.host.up.longest()
					assert.LessOrEqual(t, wait, passTime, "%s: wait for the link", i.host)
					assert.LessOrEqual(t, stretch, passTime, "%s: time without a pause on the link", i.host)
					wait, _ = i.host.down.longest()
					assert.LessOrEqual(t, wait, passTime, "%s: wait for the link", i.host)
				}
			})
		})
	}
}

// Guards against instances that get a configuration late because the one that they poll
// ends or falls silent while it gives it.
func TestTableArrivesWithoutThePolledInstance(t *testing.T) {
	for _, d := range deployments() {
		for how, stop := range map[string]func(*host){"ends": (*host).end, "frozen": (*host).freeze} {
			for _, after := range []time.Duration{0, 20, 60, 100, 200, 400, 800, 1000, 1200, 1600, 2000, 2400} {
				t.Run(fmt.Sprint(d.name, " ", how, " ", int(after), " ms"), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						r := newRegion(t, d.rates...)
						polled := r.polled()
						time.AfterFunc(after*time.Millisecond, func() { polled.stop(stop) })
						r.grow()
						r.requireVersion(3, d.apply)
					})
				})
			}
		}
	}
}
