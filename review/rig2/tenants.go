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
)

const (
	heldKey   = "xd9dnn2ctnfzs989anu6" // of the only tenant, until it is taken away
	otherKey  = "wsjnbanfqasnmgkcuyj8" // its second one
	unheldKey = "nobodyeverhadthiskey"

	plainRoute = `{"name":"r-2","host":"` + host + `","prefix":"/pule252/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":300,` +
		`"priority":2,"service":"xano55b","max_attempts":1,"anonymous":false}`
	plainService = `{"name":"xano55b","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}`
	oneTenant    = `[{"name":"huka270","api_keys":["` + heldKey + `","` + otherKey + `"],"priority":1}]`
)

// plainConfig returns a configuration with the plain service.
func plainConfig(version int, tenants string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[%s],%s,"tenants":%s}`, version, plainRoute, plainService, limits, tenants)
}

// replica is a replica of a plain service that notes for whom it has run requests.
type replica struct {
	id string

	mu   sync.Mutex
	runs map[string]string // tenant by request
}

// ServeHTTP runs a request.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != p.id {
		w.Header().Set("Replica-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil || id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.runs[id] = r.Header.Get("Tenant-Id")
	p.mu.Unlock()
	time.Sleep(30 * time.Millisecond)
	w.Header().Set("Response-Seal", p.id+"."+id)
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
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "3000")
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
	store.Put("op", "config", plainConfig(7, oneTenant))
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
		r.write("request %s with %s: %s, has run %v, Tenant-Id %q", id, names[key], status, ran, tenant)
		return ran
	}
	if !send(heldKey) {
		return false, fmt.Errorf("a request of the tenant has not run")
	}
	if send(unheldKey) || send("") {
		return false, fmt.Errorf("a request without a valid key has run before the change")
	}
	if r.trouble {
		store.Put("op", "config", plainConfig(12, "[]"))
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
