package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassdock/eelgrassdock/platform/wire"
)

const (
	deskService = "hire-desk"
	deskCount   = 3
	pathCount   = 40 // requests to each instance
)

// desk is a stand-in of a replica of a plain service. It runs each request by the method,
// the path and the query that it was asked for. A target in absolute form names the host
// before the path (RFC 9112, 3.2.2).
type desk struct {
	id, zone string
	work     time.Duration
	ran      func(id, what string)
}

func (d *desk) start(r *rig) error {
	addr, err := r.serve(http.HandlerFunc(d.run))
	if err != nil {
		return err
	}
	row, err := json.Marshal(wire.Endpoint{
		Service: deskService, Address: addr, Zone: d.zone, Version: "v1", Slots: 6, State: "ready", Born: time.Now().UnixMilli(),
	})
	if err != nil {
		return fmt.Errorf("encode row: %w", err)
	}
	r.store.Put(wire.TableEndpoints, d.id, row)
	return nil
}

func (d *desk) run(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(wire.HeaderRequest)
	w.Header().Set(wire.HeaderRequest, id)
	if want := req.Header.Get(wire.HeaderExpect); id == "" || want != "" && want != d.id {
		w.Header().Set(wire.HeaderNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	d.ran(id, req.Method+" "+req.URL.RequestURI())
	time.Sleep(d.work)
	w.Header().Set(wire.HeaderSeal, "seal."+id+"."+d.id)
	_, _ = io.WriteString(w, "booked "+id)
}

// playPath adds a route whose prefix is a slash while clients work, and sends requests on
// it. The rule is broken if a replica runs a request with another path than its client's.
func playPath(ctx context.Context, r *rig) (bool, error) {
	var mu sync.Mutex
	ran := map[string]string{}
	for n := range deskCount {
		d := &desk{id: fmt.Sprintf("i-%d", n), zone: []string{"kurzeme-a", "vidzeme-a", "latgale-a"}[n%3], ran: func(id, what string) {
			mu.Lock()
			ran[id] = what
			mu.Unlock()
			r.note("run", id, what)
		}}
		if err := d.start(r); err != nil {
			return false, err
		}
	}
	route := func(name, prefix string) wire.Route {
		return wire.Route{
			Name: name, Host: host, Prefix: prefix, Kind: "unsafe", Timeout: 1500, Aim: 300, Priority: 2, Service: deskService, Attempts: 1,
		}
	}
	table := wire.Table{Routes: []wire.Route{route("r-book", "/book/")}, Services: []wire.Service{{Name: deskService, Channels: 96}}}
	if err := r.configure(table); err != nil {
		return false, err
	}
	if err := r.start(ctx, 3); err != nil {
		return false, err
	}
	prefix := "/more/"
	if r.trouble {
		prefix = "/"
	}
	table.Routes = append(table.Routes, route("r-added", prefix))
	if err := r.configure(table); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // config_apply_ms
	served, broken := 0, 0
	for _, i := range r.instances {
		for n := range pathCount {
			id := fmt.Sprintf("%08x%08x", rand.Uint32(), n)
			want := "POST " + prefix + "/club/2f?n=1"
			if n%4 == 0 {
				want = "POST /book/2f?n=1"
			}
			r.note("sent", id, want, "to", i.settings.Name)
			status, err := book(ctx, i.settings.Callers, id, want)
			if err != nil {
				r.note("answer", id, err.Error())
				continue
			}
			r.note("answer", id, fmt.Sprintf("status %d", status))
			if status == http.StatusOK {
				served++
			}
			mu.Lock()
			got := ran[id]
			mu.Unlock()
			if got != "" && got != want {
				broken++
				r.note("BROKEN", id, "was sent as", want, "and run as", got)
			}
		}
	}
	r.note("result", fmt.Sprintf("%d served, UNASKED broken %d times", served, broken))
	fmt.Printf("%d served, UNASKED broken %d times\n", served, broken)
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return broken > 0, nil
}

// book sends a request whose request line begins with what, as it is, and returns the
// status of the answer.
func book(ctx context.Context, addr, id, what string) (int, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return 0, fmt.Errorf("connect: %w", err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 3000\r\nAuthorization: Bearer %s\r\nContent-Length: 7\r\n\r\ndeposit",
		what, host, wire.HeaderRequest, id, wire.HeaderDeadline, key)
	if err != nil {
		return 0, fmt.Errorf("send: %w", err)
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, fmt.Errorf("read answer: %w", err)
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}
