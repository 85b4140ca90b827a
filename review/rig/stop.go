package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/platform/fake"
	"github.com/eelgrassdock/eelgrassdock/platform/wire"
)

const (
	stopInstances = 6
	stopAfter     = 2 * time.Second // from the begin of the traffic to the first SIGTERM
	stopGap       = time.Second
	stopTime      = 38 * time.Second
	stopRounds    = 2
	roundTime     = 17 * time.Second
	askPause      = 330 * time.Millisecond // on average, between two requests
	longEvents    = 800                    // 8 s
	earlySend     = 3 * time.Second        // after the SIGTERM; a request sent by then may be cut late
	planned       = (graceS + 1) * time.Second
)

// playStop stops all instances in turn, as roll_term does, while clients send streams that
// may run once at most. The rule is broken if an instance passes on a request that was sent
// more than earlySend after its SIGTERM, and its channel ends without a complete answer while
// the engine works on it.
func playStop(ctx context.Context, r *rig) (bool, error) {
	var mu sync.Mutex
	working, signalled, engines := map[string]bool{}, map[string]time.Time{}, map[string]*engine{}
	for n := range engineCount {
		e := &engine{
			id: fmt.Sprintf("i-%d", n), zone: []string{"kurzeme-a", "vidzeme-a", "latgale-a"}[n%3],
			began: func(e *engine, id, _ string, _ int) {
				mu.Lock()
				defer mu.Unlock()
				working[id] = true
				r.note("run", id, "begins at", e.id)
			},
			ended: func(e *engine, id string, events int) {
				mu.Lock()
				defer mu.Unlock()
				delete(working, id)
				r.note("run", id, "ends at", e.id, fmt.Sprintf("with event %d", events))
			},
			peer: func(addr string) *engine { return engines[addr] },
		}
		if err := e.start(r); err != nil {
			return false, err
		}
		engines[e.addr] = e
	}
	if err := r.configure(guideTable()); err != nil {
		return false, err
	}
	if err := r.start(ctx, stopInstances); err != nil {
		return false, err
	}
	until, cancel := context.WithTimeout(ctx, stopTime)
	defer cancel()
	var work sync.WaitGroup
	if r.trouble {
		work.Go(func() {
			begun := time.Now()
			for round := range stopRounds {
				sleep.For(until, time.Until(begun.Add(stopAfter+time.Duration(round)*roundTime)))
				for _, i := range r.instances {
					mu.Lock()
					signalled[i.settings.Callers] = time.Now()
					mu.Unlock()
					r.note("SIGTERM", i.settings.Name, i.settings.Callers)
					_ = i.cmd.Process.Signal(syscall.SIGTERM)
					work.Go(func() { r.restart(until, i) })
					sleep.For(until, stopGap)
				}
			}
		})
	}
	whole, refused, broken := 0, 0, 0
	for n := range len(r.instances) {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
		var addrs []string
		var expires time.Time
		work.Go(func() {
			for k := 0; sleep.For(until, askPause/2+rand.N(askPause)); k++ {
				if time.Now().After(expires) {
					if list, at, err := resolve(ctx, r, n); err == nil {
						addrs, expires = list, at
					}
				}
				if len(addrs) == 0 {
					continue
				}
				id, addr := fmt.Sprintf("%08x%04x%04x", rand.Uint32(), n, k), addrs[rand.IntN(len(addrs))]
				work.Go(func() {
					sent := time.Now()
					mu.Lock()
					at := signalled[addr]
					mu.Unlock()
					r.note("sent", id, "to", addr)
					status, events, err := readEvents(ctx, client, addr, id, longEvents)
					r.note("answer", id, fmt.Sprintf("status %d, %d events, %v", status, events, err))
					mu.Lock()
					defer mu.Unlock()
					switch after := sent.Sub(at); {
					case status == http.StatusOK && events == longEvents:
						whole++
					case status == http.StatusServiceUnavailable:
						refused++
					case (status == 0 || status == http.StatusOK) && working[id] && !at.IsZero() && after > earlySend && sent.Before(at.Add(planned)):
						broken++
						r.note("BROKEN", id, "was sent", after.String(), "after the SIGTERM and cut", time.Since(at).String(), "after it")
					}
				})
			}
		})
	}
	work.Wait()
	text := fmt.Sprintf("%d streams whole, %d refused with 503, LOST broken %d times", whole, refused, broken)
	r.note("result", text)
	fmt.Println(text)
	if whole == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return broken > 0, nil
}

// restart waits for the end of a process, kills it after its grace time, and starts it again.
func (r *rig) restart(ctx context.Context, i *instance) {
	kill := time.AfterFunc(graceS*time.Second, func() { _ = i.cmd.Process.Signal(syscall.SIGKILL) })
	_ = i.cmd.Wait()
	kill.Stop()
	r.note("ended", i.settings.Name)
	if ctx.Err() == nil {
		if err := r.startInstance(i); err != nil {
			r.note("failed", err.Error())
		}
	}
}

// resolve asks the instances where to connect, up to three of them.
func resolve(ctx context.Context, r *rig, n int) ([]string, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	order := slices.Clone(r.instances)
	rand.Shuffle(len(order), func(i, k int) { order[i], order[k] = order[k], order[i] })
	near := r.instances[n].settings
	var err error
	for _, i := range order[:3] {
		var list []string
		var until time.Time
		if list, until, err = fake.Resolve(ctx, http.DefaultClient, i.settings.Locate, near.Region, near.Place); err == nil {
			return list, until, nil
		}
	}
	return nil, time.Time{}, fmt.Errorf("no directory answers: %w", err)
}

// guideTable returns a configuration with one route for streams that may run once at most.
func guideTable() wire.Table {
	return wire.Table{
		Routes: []wire.Route{{
			Name: "r-guide", Host: host, Prefix: "/guide/", Kind: "streaming", Timeout: 39000, Aim: 1800, Gap: 180, Priority: 1,
			Service: engineService, Attempts: 1,
		}},
		Services: []wire.Service{{Name: engineService, Channels: 232, Engine: &wire.Engine{
			Slots: 24, Tokens: 34307, TokenBytes: 35136, LinkMbps: 5100, Moves: true, Backups: true, Stride: 1, HandleS: keepTime.Seconds(),
		}}},
	}
}

// readEvents sends one request for a stream and returns the status of the answer, 0 if there
// is none, and the number of whole events.
func readEvents(ctx context.Context, client *http.Client, addr, id string, events int) (status, got int, _ error) {
	ctx, cancel := context.WithTimeout(ctx, guideTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/guide/2f", strings.NewReader(fmt.Sprintf("events=%d", events)))
	if err != nil {
		return 0, 0, fmt.Errorf("create request: %w", err)
	}
	req.GetBody = nil // the client does not repeat it
	req.Host = host
	req.Header.Set(wire.HeaderRequest, id)
	req.Header.Set(wire.HeaderDeadline, "39000")
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Model-Name", "m")
	req.Header.Set(wire.HeaderTokens, fmt.Sprintf("100,%d", events))
	req.Header.Set(wire.HeaderParts, id+":100")
	res, err := client.Do(req)
	if err != nil {
		return 0, 0, fmt.Errorf("send: %w", err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		err = fmt.Errorf("read answer: %w", err)
	}
	return res.StatusCode, strings.Count(string(data), "\n\n"), err
}
