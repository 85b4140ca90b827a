package config

import "slices"

// Index is a document with lookup indexes. It is immutable.
type Index struct {
	Document      Document
	accounts      map[string]*Account
	accountsByKey map[string]*Account
	services      map[string]*Service
	endpoints     map[string]*Endpoint
	byService     map[string][]*Endpoint
	drained       map[string]bool
}

// NewIndex indexes a document for which Check returned no faults.
func NewIndex(doc Document) *Index {
	x := &Index{
		Document: doc, accounts: map[string]*Account{}, accountsByKey: map[string]*Account{},
		services: map[string]*Service{}, endpoints: map[string]*Endpoint{}, byService: map[string][]*Endpoint{},
		drained: map[string]bool{},
	}
	for _, e := range doc.Entries {
		x.drained[e.ID] = e.Drain
	}
	for i := range doc.Accounts {
		account := &doc.Accounts[i]
		x.accounts[account.ID] = account
		for _, key := range account.Keys {
			x.accountsByKey[key] = account
		}
	}
	for i := range doc.Services {
		x.services[doc.Services[i].ID] = &doc.Services[i]
	}
	for i := range doc.Endpoints {
		e := &doc.Endpoints[i]
		x.endpoints[e.ID] = e
		x.byService[e.Service] = append(x.byService[e.Service], e)
	}
	return x
}

// Account returns the account with the given ID, or nil.
func (x *Index) Account(id string) *Account { return x.accounts[id] }

// Authenticate returns the account that a caller's key belongs to, or nil.
func (x *Index) Authenticate(key string) *Account { return x.accountsByKey[HashKey(key)] }

// Service returns the service with the given ID, or nil.
func (x *Index) Service(id string) *Service { return x.services[id] }

// Endpoint returns the endpoint with the given ID, or nil.
func (x *Index) Endpoint(id string) *Endpoint { return x.endpoints[id] }

// Endpoints returns the endpoints of a service. The slice must not be changed.
func (x *Index) Endpoints(service string) []*Endpoint { return x.byService[service] }

// Drained returns the drain setting by entry ID; drained entries get no new
// callers. The map must not be changed.
func (x *Index) Drained() map[string]bool { return x.drained }

// Allows reports whether the account may call the service.
func (a *Account) Allows(service string) bool {
	return a.Services == nil || slices.Contains(a.Services, service)
}
