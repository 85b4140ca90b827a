// Package routing holds one version of the routing table that operators write:
// which service answers a path of a host, for which client accounts, and within
// which limits.
//
// A Table is immutable. A Keeper holds the table in force; it takes newer
// versions only, so that one process never goes back.
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
	Stream                 // answers with events; runs once unless it may be resumed
)

type (
	// Kind says what may be repeated.
	Kind int

	// Route sends the requests for a host and a path prefix to a service.
	Route struct {
		Name     string
		Host     string
		Prefix   string // begins and ends with a slash
		Kind     Kind
		Targets  []Target
		Timeout  time.Duration // longest time for a final answer; 0 for none
		Aim      time.Duration // time within which an answer has its full value
		Gap      time.Duration // longest pause between the events of a stream
		Attempts int           // endpoints that one request may be sent to
		Rank     int           // 0 is the most urgent
		Open     bool          // needs no key
		Resume   bool          // a stream may go on at another endpoint after its last event
	}

	// Target is one of the services that share the requests of a route.
	Target struct {
		Service string
		Weight  float64
	}

	// Service is a group of endpoints that answer alike.
	Service struct {
		ID       string
		Channels int     // connections that one endpoint accepts from all callers
		Engine   *Engine // nil for a plain service
	}

	// Engine describes the model engines of a service.
	Engine struct {
		Slots   int   // requests in one batch
		Tokens  int64 // memory of one engine, in tokens
		Moves   bool  // a running generation can be moved
		Backups bool  // a generation's memory can be copied while it runs
		Stride  int   // tokens in one event
		Keep    time.Duration
	}

	// Account is a client account.
	Account struct {
		Name string
		Keys []string
		Rank *int // goes before the route's rank
	}

	// Limits bound what a caller may send.
	Limits struct {
		HeaderBytes int
		BodyBytes   int64
	}

	// Document is the content of one version.
	Document struct {
		Version  int64
		Routes   []Route
		Services []Service
		Accounts []Account
		Limits   Limits
	}

	// Table is a Document with indexes for its look-ups.
	Table struct {
		Document

		hosts    map[string]map[string]*Route
		services map[string]*Service
		accounts map[string]*Account
	}

	// Keeper holds the table in force. The zero value is ready.
	Keeper struct {
		// Installed is called with each table that comes into force. It is set
		// before use.
		Installed func(*Table)

		mu      sync.Mutex
		current atomic.Pointer[Table]
		ready   chan struct{}
	}
)

// New indexes a document. The document must not be changed afterwards.
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
			t.accounts[key] = &doc.Accounts[i]
		}
	}
	return t
}

// Route gives the route with the longest prefix of the path, or nil.
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

// Service gives a service by its ID, or nil.
func (t *Table) Service(id string) *Service { return t.services[id] }

// Account gives the account that holds a key, or nil.
func (t *Table) Account(key string) *Account { return t.accounts[key] }

// Pick chooses one of the route's services by weight, and gives "" if it has
// none. fraction is a random number from 0 to 1.
func (r *Route) Pick(fraction float64) string {
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	at := fraction * sum
	for _, t := range r.Targets {
		if t.Weight > 0 && at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return ""
}

// Repeatable tells whether a request may run again after it may have run.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resume }

// Install puts a table in force if its version is higher than the present one,
// and tells whether it did.
func (k *Keeper) Install(t *Table) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if old := k.current.Load(); old != nil && old.Version >= t.Version {
		return false
	}
	k.current.Store(t)
	if old := k.readyLocked(); !closed(old) {
		close(old)
	}
	if k.Installed != nil {
		k.Installed(t)
	}
	return true
}

// Ready is closed when the first table is in force.
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

func closed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Current gives the table in force, nil before the first.
func (k *Keeper) Current() *Table { return k.current.Load() }

// Version gives the version in force, -1 before the first.
func (k *Keeper) Version() int64 {
	if t := k.current.Load(); t != nil {
		return t.Version
	}
	return -1
}
