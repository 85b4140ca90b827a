// Package routing holds the routing table that operators publish: which service
// answers the requests for a host and path, for which client accounts, and
// within which limits.
//
// A Document is one version of the table's content. A Table is an immutable
// Document with indexes. A Keeper holds the table in force and installs only
// tables of a higher version, so that a process never reverts to an older one.
//
// The table comes from the users' platform and is used by process/gateway.
// The configuration of the entries, used by process/entry, is in version/config.
// Its types Document, Route, Service and Account are separate from those here.
package routing

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Kinds of route.
const (
	Idempotent Kind = iota // may run more than once
	Once                   // runs at most once for each request
	Stream                 // answers with events; runs at most once, unless Route.Resume is set
)

type (
	// Kind says whether a request may run more than once.
	Kind int

	// Route sends the requests for a host and a path prefix to a service.
	Route struct {
		Name     string
		Host     string
		Prefix   string // begins and ends with a slash
		Kind     Kind
		Targets  []Target
		Timeout  time.Duration // until the final answer; 0 means no timeout
		Aim      time.Duration // latency target of an answer
		Gap      time.Duration // longest pause between the events of a stream
		Attempts int           // maximum number of endpoints tried per request
		Rank     int           // 0 is the most urgent
		Open     bool          // callers need no key
		Resume   bool          // a broken stream may be run again at another endpoint, which continues after the last event
		Affinity bool          // requests that share parts of their prompts may be placed together
		Regions  Regions       // in which its requests may be served; nil allows all
	}

	// Target is a service that receives a weighted share of a route's requests.
	Target struct {
		Service string
		Weight  float64
	}

	// Service is a group of interchangeable endpoints.
	Service struct {
		ID       string
		Channels int     // connections that one endpoint accepts from all callers
		Engine   *Engine // nil for a plain service
		Cold     Cold
	}

	// Cold says how an endpoint is used while it is cold: for some time after its process
	// starts, and whenever it says so. The zero value is a service without cold endpoints.
	Cold struct {
		Time time.Duration // for which an endpoint that starts is cold
		Rate float64       // requests per second that a cold endpoint tolerates from all instances together
	}

	// Engine holds the properties that all model engines of a service share.
	Engine struct {
		Slots   int           // requests in one batch
		Tokens  int64         // memory of one engine, in tokens
		Moves   bool          // a running generation can be moved
		Backups bool          // copies may be made before an engine gives notice
		Stride  int           // tokens in one event
		Keep    time.Duration // time for which an engine keeps a copy that is not renewed
	}

	// Account is a client account with the keys that its callers present.
	Account struct {
		Name string
		Keys []string
		Rank *int // overrides the route's rank unless nil
		// Regions in which requests of the account may be served; nil allows all. Those of
		// the route bind too.
		Regions Regions
	}

	// Limits bound what a caller may send. A field that is zero sets no limit.
	Limits struct {
		HeaderBytes int           // largest header of a request
		BodyBytes   int64         // largest body
		HeaderTime  time.Duration // for sending a header
		IdleTime    time.Duration // for which a connection without a request is kept
	}

	// Document is the content of one version of the routing table.
	Document struct {
		Version  int64
		Routes   []Route
		Services []Service
		Accounts []Account
		// Open means that callers need no key on any route. It does not follow from Accounts:
		// an empty list withdraws all keys.
		Open   bool
		Limits Limits
	}

	// Table is a Document with lookup indexes.
	Table struct {
		Document

		hosts    map[string]map[string]*Route
		services map[string]*Service
		accounts map[string]*Account
	}

	// Keeper holds the table in force. The zero value is ready to use.
	Keeper struct {
		// Installed is called, under a lock, with each table that is installed.
		// It must be set before the Keeper is used.
		Installed func(*Table)

		mu      sync.Mutex
		current atomic.Pointer[Table]
		ready   chan struct{}
	}
)

// New indexes doc, which must not be changed afterwards.
func New(doc Document) *Table {
	t := &Table{
		Document: doc, hosts: map[string]map[string]*Route{},
		services: make(map[string]*Service, len(doc.Services)), accounts: make(map[string]*Account),
	}
	for i := range doc.Routes {
		r := &doc.Routes[i]
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = map[string]*Route{}
		}
		t.hosts[host][r.Prefix] = r
	}
	for i := range doc.Services {
		t.services[doc.Services[i].ID] = &doc.Services[i]
	}
	for i := range doc.Accounts {
		for _, key := range doc.Accounts[i].Keys {
			if key != "" { // else each caller without a key would be the account
				t.accounts[key] = &doc.Accounts[i]
			}
		}
	}
	return t
}

// Route returns the route of host with the longest prefix of path, or nil if
// there is none. The comparison of hosts ignores case and a port.
func (t *Table) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	prefixes := t.hosts[strings.ToLower(host)]
	if len(prefixes) == 0 {
		return nil
	}
	for end := len(path); ; {
		i := strings.LastIndexByte(path[:end], '/')
		if i < 0 {
			return nil
		}
		if r := prefixes[path[:i+1]]; r != nil {
			return r
		}
		end = i
	}
}

// Service returns the service with the given ID, or nil.
func (t *Table) Service(id string) *Service { return t.services[id] }

// Account returns the account that holds key, or nil. No account holds an empty key.
func (t *Table) Account(key string) *Account { return t.accounts[key] }

// NeedsKey reports whether a request on a route of the table is refused unless an account
// holds its key.
func (t *Table) NeedsKey(r *Route) bool { return !t.Open && !r.Open }

// Pick chooses one of the route's services by weight and returns its ID, or ""
// if the route has none. fraction is a random number in [0, 1).
func (r *Route) Pick(fraction float64) string {
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	remaining := fraction * sum
	for _, t := range r.Targets {
		if t.Weight > 0 && remaining < t.Weight {
			return t.Service
		}
		remaining -= t.Weight
	}
	return ""
}

// Repeatable reports whether a request may run again after it may have run
// already.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resume }

// Install puts t in force if its version is higher than the current one, and
// reports whether it did.
func (k *Keeper) Install(t *Table) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if old := k.current.Load(); old != nil && old.Version >= t.Version {
		return false
	}
	k.current.Store(t)
	if old := k.readyLocked(); !isClosed(old) {
		close(old)
	}
	if k.Installed != nil {
		k.Installed(t)
	}
	return true
}

// Ready returns a channel that is closed once the first table is in force.
func (k *Keeper) Ready() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.readyLocked()
}

func (k *Keeper) readyLocked() chan struct{} {
	if k.ready == nil {
		k.ready = make(chan struct{})
	}
	return k.ready
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Current returns the table in force, or nil before the first Install.
func (k *Keeper) Current() *Table { return k.current.Load() }

// Version returns the version in force, or -1 before the first Install.
func (k *Keeper) Version() int64 {
	if t := k.current.Load(); t != nil {
		return t.Version
	}
	return -1
}
