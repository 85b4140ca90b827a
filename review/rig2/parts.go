package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassdock/eelgrassdock/platform/fake"
	"github.com/eelgrassdock/eelgrassdock/platform/wire"
)

const (
	crowd       = 900 // clients of each instance; the product accepts 1,537 connections
	headBytes   = 16000
	crowdTime   = 30 * time.Second
	engines     = 18
	slots       = 24
	queue       = 72
	shortEvents = 40
	eventPause  = 150 * time.Millisecond
	restartTime = time.Second // until a process that was killed is started again
	manyEnds    = 3           // on each of two machines
)

// engineTable returns a configuration with the model service.
func engineTable() wire.Table {
	return wire.Table{
		Version: 7, Limits: limits, Tenants: []wire.Account{oneTenant},
		Routes: []wire.Route{{
			Name: "r-1", Host: host, Prefix: "/lohu930/", Kind: "streaming", Timeout: 39000, Aim: 1800, Gap: 180, Priority: 1,
			Service: "dele69a", Attempts: 1, Sticky: true,
		}},
		Services: []wire.Service{{Name: "dele69a", Channels: 232, Engine: &wire.Engine{
			Slots: slots, Tokens: 34307, TokenBytes: 35136, LinkMbps: 5100, Stride: 4, HandleS: 5,
		}}},
	}
}

var limits = wire.Limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderMs: 3000, IdleMs: 15000}

// engine is a model replica: 24 requests at once, and a queue.
type engine struct {
	id     string
	events int
	slots  chan struct{}
	queue  chan struct{}
}

// ServeHTTP answers reports and generations.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/eelgrassdock/") {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":%d,"active":%d,"kv_used":0,"kv_total":34307,"handles":0}`,
			len(e.queue)-len(e.slots), len(e.slots))
		return
	}
	id := r.Header.Get(wire.HeaderRequest)
	w.Header().Set(wire.HeaderRequest, id)
	select {
	case e.queue <- struct{}{}:
	default:
		w.Header().Set(wire.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-e.queue }()
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-e.slots }()
	w.Header().Set(wire.HeaderSeal, e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range e.events {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, id)
		_ = http.NewResponseController(w).Flush() // the context shows that the instance has left
	}
}

func startEngines(store *fake.Store, place string, events int) error {
	for n := range engines {
		e := &engine{id: fmt.Sprintf("i-%08d", n), events: events, slots: make(chan struct{}, slots), queue: make(chan struct{}, slots+queue)}
		addr, err := listen(e)
		if err != nil {
			return err
		}
		store.Put("servers", e.id, fmt.Appendf(nil, `{"service":"dele69a","address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready",`+
			`"cold_remaining_ms":0,"stage":"both","models":[],"sequence":0,"born":%d}`, addr, place, slots, time.Now().UnixMilli()))
	}
	return nil
}

// generation returns a request of a client. Its head is smaller than max_header_bytes.
func generation(prefix string) (id, text string) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	return id, "POST /lohu930/2f HTTP/1.1\r\nHost: " + host + "\r\n" + wire.HeaderRequest + ": " + id + "\r\nModel-Name: m\r\n" +
		wire.HeaderTokens + ": 10,80\r\n" + wire.HeaderParts + ": " + prefix + "\r\n" + wire.HeaderDeadline + ": 39000\r\n" +
		"Authorization: Bearer " + heldKey + "\r\nContent-Length: 0\r\n\r\n"
}

// dialer opens channels from an address, any if that is empty.
func dialer(from string) *net.Dialer {
	d := &net.Dialer{Timeout: time.Second}
	if from != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	return d
}

// generate sends one request on a new channel and reads its answer to the end.
// The channel comes from an address, any if that is empty.
func generate(addr, prefix, from string) string {
	conn, err := dialer(from).Dial("tcp", addr)
	if err != nil {
		return "no channel"
	}
	defer conn.Close()
	_, text := generation(prefix)
	if _, err := io.WriteString(conn, text); err != nil {
		return "channel closed"
	}
	_ = conn.SetReadDeadline(time.Now().Add(40 * time.Second)) // fails on a closed connection only
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "channel closed"
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return res.Status + ", cut"
	}
	return res.Status
}

// counts counts results.
type counts struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *counts) add(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = map[string]int{}
	}
	c.n[what]++
}

func (c *counts) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.n)
}

// parts lets clients that nobody controls send requests of legal size and form whose prompts
// have thousands of parts. A process whose memory exceeds that of its machine is killed and
// started again, as the platform does. The rule is broken if processes of two machines end
// three times each.
func parts(r *record) (bool, error) {
	store, addr, err := startPlatform()
	if err != nil {
		return false, err
	}
	configure(store, engineTable())
	if err := startEngines(store, tandemDock.place, shortEvents); err != nil {
		return false, err
	}
	prefix := "5c1e07a2:4,91bd3f06:3,e4402b7d:3" // three parts, as on the page
	if r.trouble {
		_, rest := generation("")
		prefix = strings.Repeat("1:0,", (headBytes-len(rest))/len("1:0,")-1) + "1:10"
	}
	_, text := generation(prefix)
	r.write("each client sends heads of %d bytes, whose prompts have %d parts", len(text), strings.Count(prefix, ",")+1)
	var list []*instance
	for n := range 2 {
		i, err := r.newInstance(n+1, addr, tandemDock)
		if err != nil {
			return false, err
		}
		list = append(list, i)
	}
	end := time.Now().Add(crowdTime)
	var ends [2]atomic.Int64
	var wait sync.WaitGroup
	var answers [2]counts
	for n, i := range list {
		wait.Go(func() { r.watch(i, end, &ends[n]) })
		for range crowd {
			go func() {
				for ends[n].Load() < manyEnds && time.Now().Before(end) {
					answers[n].add(generate(i.callers, prefix, ""))
					time.Sleep(500*time.Millisecond + rand.N(500*time.Millisecond))
				}
			}()
		}
	}
	done := make(chan struct{})
	go func() {
		wait.Wait()
		close(done)
	}()
	<-done
	isBroken := true
	for n, i := range list {
		r.write("%s: ended %d times because of its memory; answers %s", i.name, ends[n].Load(), &answers[n])
		isBroken = isBroken && ends[n].Load() >= manyEnds
	}
	return isBroken, nil
}

// watch does what the platform does with a process: it kills one that exceeds memory_mb, and
// starts it again.
func (r *record) watch(i *instance, end time.Time, ends *atomic.Int64) {
	most := 0
	for time.Now().Before(end) && ends.Load() < manyEnds {
		time.Sleep(20 * time.Millisecond)
		kb := i.memory()
		most = max(most, kb)
		if kb <= tandemDock.memory*1024 {
			continue
		}
		i.kill()
		ends.Add(1)
		r.write("%s has %d kB, over memory_mb = %d: killed", i.name, kb, tandemDock.memory)
		time.Sleep(restartTime)
		if err := i.start(); err != nil {
			r.write("%v", err)
			return
		}
		r.write("%s started again", i.name)
	}
	r.write("%s: at most %d kB", i.name, most)
}
