package config

import "slices"

// Index is a document with the look-ups that requests need. It is immutable.
type Index struct {
	Document  Document
	accounts  map[string]*Account
	keys      map[string]*Account
	services  map[string]*Service
	endpoints map[string]*Endpoint
	groups    map[string][]*Endpoint
	drained   map[string]bool
}

// NewIndex indexes a document that Check found no fault with.
func NewIndex(doc Document) *Index {
	x := &Index{
		Document: doc, accounts: map[string]*Account{}, keys: map[string]*Account{},
		services: map[string]*Service{}, endpoints: map[string]*Endpoint{}, groups: map[string][]*Endpoint{},
		drained: map[string]bool{},
	}
	for _, e := range doc.Entries {
		x.drained[e.ID] = e.Drain
	}
	for i := range doc.Accounts {
		account := &doc.Accounts[i]
		x.accounts[account.ID] = account
		for _, key := range account.Keys {
			x.keys[key] = account
		}
	}
	for i := range doc.Services {
		x.services[doc.Services[i].ID] = &doc.Services[i]
	}
	for i := range doc.Endpoints {
		e := &doc.Endpoints[i]
		x.endpoints[e.ID] = e
		x.groups[e.Service] = append(x.groups[e.Service], e)
	}
	return x
}

// Account finds an account by name, or nil.
func (x *Index) Account(id string) *Account { return x.accounts[id] }

// Authenticate finds the account that a caller's key belongs to, or nil.
func (x *Index) Authenticate(key string) *Account { return x.keys[HashKey(key)] }

// Service finds a service by name, or nil.
func (x *Index) Service(id string) *Service { return x.services[id] }

// Endpoint finds an endpoint by name, or nil.
func (x *Index) Endpoint(id string) *Endpoint { return x.endpoints[id] }

// Endpoints lists the endpoints of a service. The slice must not be changed.
func (x *Index) Endpoints(service string) []*Endpoint { return x.groups[service] }

// Drained tells which entries are to get no new callers. The map must not be
// changed.
func (x *Index) Drained() map[string]bool { return x.drained }

// Allows tells whether the account may call the service.
func (a *Account) Allows(service string) bool {
	return len(a.Services) == 0 || slices.Contains(a.Services, service)
}
