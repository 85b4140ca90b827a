package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/eelgrassdock/eelgrassdock/platform/fake"
	"github.com/eelgrassdock/eelgrassdock/platform/wire"
)

const (
	heldKey   = "xd9dnn2ctnfzs989anu6" // of the only tenant, until it is taken away
	otherKey  = "wsjnbanfqasnmgkcuyj8" // its second one
	unheldKey = "nobodyeverhadthiskey"
)

var oneTenant = wire.Account{Name: "huka270", Keys: []string{heldKey, otherKey}}

// plainTable returns a configuration with the plain service.
func plainTable(version int64, tenants ...wire.Account) wire.Table {
	return wire.Table{
		Version: version, Limits: limits, Tenants: append([]wire.Account{}, tenants...),
		Routes: []wire.Route{{
			Name: "r-2", Host: host, Prefix: "/pule252/", Kind: "unsafe", Timeout: 1500, Aim: 300, Priority: 2, Service: "xano55b", Attempts: 1,
		}},
		Services: []wire.Service{{Name: "xano55b", Channels: 96}},
	}
}

// replica is a replica of a plain service that notes for whom it has run requests.
type replica struct {
	id string

	mu   sync.Mutex
	runs map[string]string // tenant by request
}

// ServeHTTP runs a request.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.HeaderRequest)
	w.Header().Set(wire.HeaderRequest, id)
	if want := r.Header.Get(wire.HeaderExpect); want != "" && want != p.id {
		w.Header().Set(wire.HeaderEndpoint, p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil || id == "" {
		w.Header().Set(wire.HeaderNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.runs[id] = r.Header.Get(wire.HeaderAccount)
	p.mu.Unlock()
	time.Sleep(30 * time.Millisecond)
	w.Header().Set(wire.HeaderSeal, p.id+"."+id)
	fmt.Fprint(w, strings.Repeat("booked ", 100))
}

func (p *replica) ran(id string) (tenant string, ran bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	tenant, ran = p.runs[id]
	return tenant, ran
}

func startReplicas(store *fake.Store, place string) (*replica, error) {
	p := &replica{id: "i-5eb5e43d71", runs: map[string]string{}}
	addr, err := listen(p)
	if err != nil {
		return nil, err
	}
	store.Put("servers", p.id, fmt.Appendf(nil, `{"service":"xano55b","address":%q,"zone":%q,"version":"v1","slots":6,"state":"ready",`+
		`"cold_remaining_ms":0,"sequence":0,"born":%d}`, addr, place, time.Now().UnixMilli()))
	return p, nil
}

// book sends one booking on a new channel from an address, any if that is empty, and returns
// its request and its status.
func book(addr, key, from string) (id, status string) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/pule252/2f", strings.NewReader("a tandem for two"))
	if err != nil {
		return id, err.Error()
	}
	r.Host = host
	r.Header.Set(wire.HeaderRequest, id)
	r.Header.Set(wire.HeaderDeadline, "3000")
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	client := &http.Client{Transport: &http.Transport{DialContext: dialer(from).DialContext, DisableKeepAlives: true}}
	res, err := client.Do(r)
	if err != nil {
		return id, err.Error()
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body) // what counts is what has run
	return id, res.Status
}

// tenants takes the keys of the only tenant away, with a version whose list of tenants is
// empty. The rule is broken if a request runs that was sent later than config_apply_ms after
// the store has acknowledged that, with a key that was taken away, one that no configuration
// has held, or none.
func tenants(r *record) (bool, error) {
	store, addr, err := startPlatform()
	if err != nil {
		return false, err
	}
	configure(store, plainTable(7, oneTenant))
	p, err := startReplicas(store, tandemDock.place)
	if err != nil {
		return false, err
	}
	i, err := r.newInstance(1, addr, tandemDock)
	if err != nil {
		return false, err
	}
	names := map[string]string{heldKey: "the tenant's key", unheldKey: "a key that no configuration has held", "": "no key"}
	send := func(key string) bool {
		id, status := book(i.callers, key, "")
		tenant, ran := p.ran(id)
		r.write("request %s with %s: %s, has run %v, for tenant %q", id, names[key], status, ran, tenant)
		return ran
	}
	if !send(heldKey) {
		return false, fmt.Errorf("a request of the tenant has not run")
	}
	if send(unheldKey) || send("") {
		return false, fmt.Errorf("a request without a valid key has run before the change")
	}
	if r.trouble {
		configure(store, plainTable(12)) // its list of tenants is empty, not missing
		r.write("the store has acknowledged version 12, without the tenant")
	}
	time.Sleep(configMs*time.Millisecond + time.Second)
	isBroken := false
	for range 5 {
		ran := send(heldKey)
		isBroken = isBroken || ran && r.trouble
		for _, key := range []string{unheldKey, ""} {
			ran = send(key)
			isBroken = isBroken || ran
		}
		time.Sleep(time.Second)
	}
	return isBroken, nil
}
