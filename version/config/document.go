// Package config holds the configuration: accounts, services, routes,
// endpoints, limits and weights, and distributes its versions to all entries.
//
// A Document is one version of the configuration, immutable once installed. A
// change edits a copy of the current document, validates the result as a whole
// and writes it under the next version number, on the condition that the stored
// version is still the one that the change was based on. Store reads and writes
// documents on the platform, as snapshots and a Delta for each later version.
//
// A Holder keeps the version in force on one entry. It exchanges Evidence about
// the newest version with the other entries and fetches the missing deltas from
// them or from the Store. It never installs a version lower than one it has
// had. A Tracker records which version each entry has acknowledged.
package config

import (
	"crypto/sha256"
	"encoding/hex"
)

type (
	// Document is one version of the whole configuration.
	Document struct {
		// Version grows by one with each accepted change.
		Version   int64      `json:"version" validate:"gte=0,lte=9007199254740992"`
		Accounts  []Account  `json:"accounts" validate:"dive"`
		Services  []Service  `json:"services" validate:"dive"`
		Endpoints []Endpoint `json:"endpoints" validate:"dive"`
		// Entries holds the operators' settings for single entries.
		Entries []Entry `json:"entries,omitempty" validate:"dive"`
		// Secrets sign resume tokens: new tokens with the first one, while all of
		// them verify. Each has at least 32 hex digits.
		Secrets []string `json:"secrets" validate:"min=1,dive,hexadecimal,min=32"`
	}

	// Account is a client account that several callers may share.
	Account struct {
		ID string `json:"id" validate:"required,max=64,printascii"`
		// Keys are SHA-256 hashes, in hex, of the keys that authenticate callers.
		Keys []string `json:"keys" validate:"min=1,dive,hexadecimal,len=64"`
		// Services that the account may call; all if the field is missing or null. An empty
		// list is refused, so that withdrawing the last service does not allow all.
		Services []string `json:"services,omitzero" validate:"omitnil,min=1"`
		// Rank is the account's priority: higher goes first, but a low rank still
		// makes progress.
		Rank int `json:"rank,omitempty" validate:"gte=0,lte=9"`
		// Operator allows the account to use the operators' language.
		Operator bool `json:"operator,omitempty"`
		// Pin is the entry that callers are sent to first; empty for none.
		Pin string `json:"pin,omitempty" validate:"max=128"`
		// Limit applies to all entries together; a zero field means no limit.
		Limit Limit `json:"limit,omitzero"`
	}

	// Limit bounds the requests and tokens of one account.
	Limit struct {
		Rate   float64 `json:"rate,omitempty" validate:"gte=0,lte=1000000000"`      // requests per second
		Burst  int     `json:"burst,omitempty" validate:"gte=0,lte=1000000000"`     // requests at once
		Active int     `json:"active,omitempty" validate:"gte=0,lte=1000000000"`    // requests in flight
		Tokens int64   `json:"tokens,omitempty" validate:"gte=0,lte=1000000000000"` // expected tokens in flight
	}

	// Service is a model that engines serve, or a plain service.
	Service struct {
		ID   string `json:"id" validate:"required,max=64,printascii"`
		Kind string `json:"kind" validate:"oneof=engine plain"`
		// Model is the model that an engine must have loaded; empty means the
		// service's ID.
		Model  string  `json:"model,omitempty"`
		Routes []Route `json:"routes,omitempty" validate:"dive"`
		// Policy is the placement policy; "" means "current".
		Policy  string  `json:"policy,omitempty" validate:"omitempty,oneof=current previous roundrobin leastconn twochoice"`
		Weights Weights `json:"weights,omitzero"`
		// Strict means that an entry whose configuration may be out of date sends
		// the service no new work.
		Strict bool `json:"strict,omitempty"`
		// Max is the largest output in tokens; 0 means 65536.
		Max int `json:"max,omitempty" validate:"gte=0,lte=1000000"`
	}

	// Weights are the relative costs of a stall, a gap and a preemption for the
	// users of a service. All zero means 1, 1, 1.
	Weights struct {
		Stall   float64 `json:"stall,omitempty" validate:"gte=0,lte=1000000"`
		Gap     float64 `json:"gap,omitempty" validate:"gte=0,lte=1000000"`
		Preempt float64 `json:"preempt,omitempty" validate:"gte=0,lte=1000000"`
	}

	// Route is a method and path that a plain service handles. Path may contain
	// httprouter parameters such as ":id".
	Route struct {
		Method     string `json:"method" validate:"oneof=GET HEAD POST PUT PATCH DELETE"`
		Path       string `json:"path" validate:"required,startswith=/"`
		Idempotent bool   `json:"idempotent,omitempty"`
	}

	// Entry holds the operators' settings for one entry.
	Entry struct {
		ID string `json:"id" validate:"required,max=128,printascii"`
		// Drain means that callers are not directed to the entry.
		Drain bool `json:"drain,omitempty"`
	}

	// Endpoint is one engine replica or one replica of a plain service.
	Endpoint struct {
		ID      string `json:"id" validate:"required,max=64,printascii"`
		Service string `json:"service" validate:"required"`
		Place   string `json:"place" validate:"required"`
		Region  string `json:"region" validate:"required"`
		// Addr is an IP address and port.
		Addr string `json:"addr" validate:"required,hostname_port"`
		// Fenced means that the endpoint refuses an order with an old fencing token.
		Fenced bool `json:"fenced,omitempty"`
		// Drain means that the endpoint should get no new work.
		Drain bool `json:"drain,omitempty"`
		// Models should be loaded; empty means the service's model.
		Models []string `json:"models,omitempty"`
		Role   string   `json:"role,omitempty"`
		// Tokens is the assumed memory of an engine in tokens, until the engine
		// reports it.
		Tokens int64 `json:"tokens,omitempty" validate:"gte=0,lte=1000000000000"`
	}
)

// Kinds of service.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

// HashKey returns the form in which an account key is stored: its SHA-256 hash
// in hex.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
