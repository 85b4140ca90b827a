package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/eelgrassdock/eelgrassdock/platform/stage"
)

const routeTime = 8 * time.Second // longest time for an answer

// operators write configurations and remember when.
type operators struct {
	s *Soak

	mu       sync.Mutex
	accounts stage.Accounts
	version  int64
	at       time.Time
	before   int64 // version before
	visitor  int   // number of the visitor whose key is in force
	gone     []withdrawal
}

// withdrawal is a key that was taken away.
type withdrawal struct {
	key string
	at  time.Time
}

// steadyKey gives a key that is never withdrawn, and its account.
func steadyKey(n int) (key, account string) {
	n %= accountsUsed
	return fmt.Sprint("key", n), fmt.Sprint("club", n)
}

// change stores another configuration; withdraw takes the visitor's key away.
func (o *operators) change(withdraw bool) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.accounts == nil {
		o.accounts = stage.Accounts{}
		for n := range accountsUsed {
			key, account := steadyKey(n)
			o.accounts[key] = account
		}
		o.accounts[visitorKey(0)] = "visitor"
	}
	accounts := o.accounts
	gone := ""
	if withdraw {
		gone = visitorKey(o.visitor)
		accounts = maps.Clone(o.accounts)
		delete(accounts, gone)
		o.visitor++
		accounts[visitorKey(o.visitor)] = "visitor"
	}
	version := o.version + 3
	stored := accounts
	if o.s.Sabotage == Revoked {
		stored = maps.Clone(accounts)
		for n := range o.visitor {
			stored[visitorKey(n)] = "visitor"
		}
	}
	if o.s.Sabotage != Config || o.version == 0 {
		if err := o.s.store.Configure(version, stored, routeTime); err != nil {
			return err
		}
	}
	o.accounts = accounts
	o.before, o.version, o.at = o.version, version, time.Now()
	if gone != "" {
		o.gone = append(o.gone, withdrawal{key: gone, at: o.at})
	}
	return nil
}

func visitorKey(n int) string { return fmt.Sprint("visitor", n) }

// state gives the version in force and since when, and the one before.
func (o *operators) state() (version, before int64, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version, o.before, o.at
}

// withdrawn gives one of the keys that were withdrawn before a time, if any.
func (o *operators) withdrawn(before time.Time) (withdrawal, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for n < len(o.gone) && o.gone[n].at.Before(before) {
		n++
	}
	if n == 0 {
		return withdrawal{}, false
	}
	return o.gone[rand.IntN(n)], true
}
