package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	manyCallers   = 1650 // of long generations; the product accepts 1,537 connections
	fewCallers    = 200
	crowdAddrs    = 16  // addresses from which they come; each ordinary caller has one of its own
	longEvents    = 120 // of the 232 events that a route-guide has on average
	callers       = 10  // ordinary ones; the rule asks for seven
	contactTime   = contactMs * time.Millisecond
	channelsTime  = 25 * time.Second
	settleTime    = 3 * time.Second // before anything is judged
	readyInterval = time.Second
)

// channels lets clients that nobody controls hold long generations at one of two instances,
// one each. Ordinary callers book at that instance meanwhile, each on a new channel. The rule
// is broken if all of their channels are closed without a byte for contact_ms or longer, with
// seven callers or more trying, though the instance says that it is ready.
func channels(r *record) (bool, error) {
	store, addr, err := startPlatform()
	if err != nil {
		return false, err
	}
	table, plain := engineTable(), plainTable(7, oneTenant)
	table.Routes, table.Services = append(table.Routes, plain.Routes...), append(table.Services, plain.Services...)
	configure(store, table)
	if err := startEngines(store, kukukEel.place, longEvents); err != nil {
		return false, err
	}
	if _, err := startReplicas(store, kukukEel.place); err != nil {
		return false, err
	}
	var list []*instance
	for n := range 2 {
		i, err := r.newInstance(n+1, addr, kukukEel)
		if err != nil {
			return false, err
		}
		list = append(list, i)
	}
	n := fewCallers
	if r.trouble {
		n = manyCallers
	}
	r.write("%d clients send a long generation each to %s", n, list[0].name)
	end := time.Now().Add(channelsTime)
	var crowd counts
	for k := range n {
		go func() {
			for time.Now().Before(end) {
				crowd.add(generate(list[0].callers, "5c1e07a2:4,91bd3f06:3,e4402b7d:3", fmt.Sprintf("127.0.1.%d", 1+k%crowdAddrs)))
				time.Sleep(500*time.Millisecond + rand.N(500*time.Millisecond))
			}
		}()
	}
	time.Sleep(settleTime)
	var unready atomic.Bool
	go func() {
		for time.Now().Before(end) {
			if !list[0].isReady() {
				unready.Store(true)
				r.write("%s is not ready", list[0].name)
			}
			time.Sleep(readyInterval)
		}
	}()
	w := &window{tried: map[int]bool{}, begun: time.Now()}
	var ordinary, other counts
	var wait sync.WaitGroup
	for c := range callers {
		from := fmt.Sprintf("127.0.2.%d", 1+c)
		wait.Go(func() {
			for time.Now().Before(end) {
				_, status := book(list[0].callers, heldKey, from)
				ordinary.add(shorten(status))
				w.note(c, isAnswer(status), time.Now())
				_, status = book(list[1].callers, heldKey, from)
				other.add(shorten(status))
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	w.note(-1, true, time.Now())
	r.write("ordinary callers at %s: %s", list[0].name, &ordinary)
	r.write("ordinary callers at %s: %s", list[1].name, &other)
	r.write("clients with generations so far: %s", &crowd)
	r.write("longest time without a channel that was answered: %s, in which %d callers tried", w.longest.Round(time.Millisecond), w.most)
	return w.longest >= contactTime && !unready.Load(), nil
}

// window measures how long no channel is answered while seven callers or more try.
type window struct {
	mu      sync.Mutex
	begun   time.Time // when a channel was answered last
	tried   map[int]bool
	longest time.Duration
	most    int
}

func (w *window) note(caller int, answered bool, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !answered {
		w.tried[caller] = true
		return
	}
	if d := now.Sub(w.begun); len(w.tried) >= 7 && d > w.longest {
		w.longest, w.most = d, len(w.tried)
	}
	w.begun = now
	clear(w.tried)
}

func isAnswer(status string) bool {
	return len(status) > 3 && status[0] >= '1' && status[0] <= '5' && status[3] == ' '
}

// shorten returns the kind of a result.
func shorten(status string) string {
	if isAnswer(status) {
		return status
	}
	return "channel closed"
}

func (i *instance) isReady() bool {
	res, err := http.Get("http://" + i.ready + "/eelgrassdock/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}
