// Package config holds the configuration: accounts, services, routes,
// endpoints, limits and weights.
//
// A Document is one version of it. Documents are immutable once installed: a
// change makes a new document with the next version number, is checked whole,
// and is written on the condition that the stored version is the one the
// operator saw. An entry never installs a version lower than one it has had.
package config

import (
	"crypto/sha256"
	"encoding/hex"
)

type (
	// Document is one version of the whole configuration.
	Document struct {
		// Version grows by one with each accepted change.
		Version   int64      `json:"version" validate:"gte=0"`
		Accounts  []Account  `json:"accounts" validate:"dive"`
		Services  []Service  `json:"services" validate:"dive"`
		Endpoints []Endpoint `json:"endpoints" validate:"dive"`
		// Entries holds what operators ordered of single entries.
		Entries []Entry `json:"entries,omitempty" validate:"dive"`
		// Secrets seal resume tokens. The first seals, all verify; each is at
		// least 32 hex digits.
		Secrets []string `json:"secrets" validate:"min=1,dive,hexadecimal,min=32"`
	}

	// Account is a client account that several callers may share.
	Account struct {
		ID string `json:"id" validate:"required,max=64,printascii"`
		// Keys are SHA-256 hashes, in hex, of the keys that authenticate callers.
		Keys []string `json:"keys" validate:"min=1,dive,hexadecimal,len=64"`
		// Services that the account may call; empty means all.
		Services []string `json:"services,omitempty"`
		// Rank orders work: higher goes first. A low rank still makes progress.
		Rank int `json:"rank,omitempty" validate:"gte=0,lte=9"`
		// Operator accounts may use the operators' language.
		Operator bool `json:"operator,omitempty"`
		// Pin is the entry that callers are sent to first; empty for none.
		Pin string `json:"pin,omitempty" validate:"max=128"`
		// Limit holds across all entries; a zero field means no limit.
		Limit Limit `json:"limit,omitzero"`
	}

	// Limit bounds the work of one account.
	Limit struct {
		Rate   float64 `json:"rate,omitempty" validate:"gte=0"`   // requests per second
		Burst  int     `json:"burst,omitempty" validate:"gte=0"`  // requests at once
		Active int     `json:"active,omitempty" validate:"gte=0"` // requests in flight
		Tokens int64   `json:"tokens,omitempty" validate:"gte=0"` // expected tokens in flight
	}

	// Service is a model or a plain service.
	Service struct {
		ID   string `json:"id" validate:"required,max=64,printascii"`
		Kind string `json:"kind" validate:"oneof=engine plain"`
		// Model is what an engine must have loaded; the service's ID if empty.
		Model  string  `json:"model,omitempty"`
		Routes []Route `json:"routes,omitempty" validate:"dive"`
		// Policy chooses the placement; "" is the current policy.
		Policy  string  `json:"policy,omitempty" validate:"omitempty,oneof=current previous roundrobin leastconn twochoice"`
		Weights Weights `json:"weights,omitzero"`
		// Strict services get no new work from an entry whose configuration may
		// be out of date.
		Strict bool `json:"strict,omitempty"`
		// Max is the largest output in tokens; 0 means 65536.
		Max int `json:"max,omitempty" validate:"gte=0,lte=1000000"`
	}

	// Weights say what a service's users mind most. All zero means 1, 1, 1.
	Weights struct {
		Stall   float64 `json:"stall,omitempty" validate:"gte=0"`
		Gap     float64 `json:"gap,omitempty" validate:"gte=0"`
		Preempt float64 `json:"preempt,omitempty" validate:"gte=0"`
	}

	// Route is one call of a plain service. Path may contain httprouter
	// parameters such as ":id".
	Route struct {
		Method     string `json:"method" validate:"oneof=GET HEAD POST PUT PATCH DELETE"`
		Path       string `json:"path" validate:"required,startswith=/"`
		Idempotent bool   `json:"idempotent,omitempty"`
	}

	// Entry is an order that concerns one entry.
	Entry struct {
		ID string `json:"id" validate:"required,max=128,printascii"`
		// Drain keeps the entry out of the answers to callers.
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
		// Fenced endpoints refuse an order that carries an old fencing number.
		Fenced bool `json:"fenced,omitempty"`
		// Drain is the wish that the endpoint gets no new work.
		Drain bool `json:"drain,omitempty"`
		// Models that should be loaded; empty means the service's model.
		Models []string `json:"models,omitempty"`
		Role   string   `json:"role,omitempty"`
		// Tokens is the memory of an engine in tokens, until it reports its own.
		Tokens int64 `json:"tokens,omitempty" validate:"gte=0"`
	}
)

// Kinds of service.
const (
	Engine = "engine"
	Plain  = "plain"
)

// HashKey gives the form in which an account key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
