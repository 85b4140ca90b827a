package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/platform/fake"
)

const (
	routeTimeout = 8 * time.Second // longest time for an answer
	foreignTable = "other"         // table of other programs
	foreignRows  = 20              // rows that they write before each change
)

// operators stores configurations and remembers when each was stored.
type operators struct {
	s *Soak

	mu          sync.Mutex
	accounts    fake.Accounts
	stored      fake.Accounts // as in the stored configuration
	version     int64
	at          time.Time // when version was stored
	previous    int64     // version before the current one
	visitor     int       // number of the visitor key in force
	withdrawals []withdrawal
}

// withdrawal is a key that was revoked.
type withdrawal struct {
	key string
	at  time.Time
}

// permanentKey returns a key that is never withdrawn, and its account.
func permanentKey(n int) (key, account string) {
	n %= accountsUsed
	return fmt.Sprint("key", n), fmt.Sprint("club", n)
}

// change stores another configuration. If withdraw is set, it replaces the
// visitor's key by a new one.
func (o *operators) change(withdraw bool) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.accounts == nil {
		o.accounts = fake.Accounts{}
		for n := range accountsUsed {
			key, account := permanentKey(n)
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
	// Other programs write too. Otherwise what is written again after a Restore fault
	// would raise the store's versions above those of before at once.
	for n := range foreignRows {
		o.s.store.Put(foreignTable, strconv.Itoa(n), nil)
	}
	if o.s.Sabotage != Config || o.version == 0 {
		if err := o.s.store.Configure(version, stored, routeTimeout); err != nil {
			return err
		}
		o.stored = stored
	}
	o.accounts = accounts
	o.previous, o.version, o.at = o.version, version, time.Now()
	if gone != "" {
		o.withdrawals = append(o.withdrawals, withdrawal{key: gone, at: o.at})
	}
	return nil
}

// restore makes the store come back from an older copy of itself, and after a delay
// stores the newest configuration again. No other one is stored meanwhile.
func (o *operators) restore(age, delay time.Duration) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.s.store.Restore(age)
	sleep.For(o.s.ctx, delay)
	return o.s.store.Configure(o.version, o.stored, routeTimeout)
}

func visitorKey(n int) string { return fmt.Sprint("visitor", n) }

// state returns the current version, the previous one, and when the current one
// was stored.
func (o *operators) state() (version, before int64, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version, o.previous, o.at
}

// withdrawn returns a random key of those that were withdrawn before a time, if
// any.
func (o *operators) withdrawn(before time.Time) (withdrawal, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for n < len(o.withdrawals) && o.withdrawals[n].at.Before(before) {
		n++
	}
	if n == 0 {
		return withdrawal{}, false
	}
	return o.withdrawals[rand.IntN(n)], true
}
