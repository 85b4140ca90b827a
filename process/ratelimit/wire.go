package ratelimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/eelgrassdock/eelgrassdock/internal/packed"
)

const (
	repeatTime      = 10 * time.Second // for which the end of a limit is repeated
	repeatsExpected = 8                // copies of a repeated update that an instance gets from all others together
	maxVersion      = 1 << 62          // of a limit; the next version cannot overflow
	ratesPerUpdate  = 16               // so that an update fits into one packet
)

type (
	// sentRate is what an instance knows of one endpoint. Of two with different
	// versions, the higher one is newer; of two with the same, the lower rate counts.
	sentRate struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

		Endpoint string
		Born     int64
		Version  uint64
		Rate     float64
	}

	// State is a limit in force, for operators.
	State struct {
		Endpoint string    `json:"endpoint"`
		Rate     float64   `json:"rate"` // requests per second, of all instances
		Since    time.Time `json:"since"`
		Part     float64   `json:"part"`    // requests per second of this instance
		Granted  int64     `json:"granted"` // requests of this instance since then
		Pause    time.Time `json:"pause"`   // before which this instance sends nothing, zero if there is none
		// Cold is until when the endpoint is cold; zero if it is not.
		Cold time.Time `json:"cold,omitzero"`
	}
)

// Updates encodes the limits that have changed since the last call, as datagrams for
// the other instances. If all is set, it includes some of the other limits: all
// instances together repeat each of them often enough that every instance gets it,
// whatever their number.
func (l *Limiter) Updates(all bool, now time.Time) (datagrams [][]byte, _ error) {
	l.mu.Lock()
	var list []sentRate
	for _, x := range l.limits {
		repeated := all && (x.rate > 0 || now.Sub(x.since) < repeatTime) && l.repeats()
		if x.unsent || repeated {
			list = append(list, sentRate{Endpoint: x.ID, Born: x.Born, Version: x.version, Rate: x.rate})
		}
		x.unsent = false
	}
	l.mu.Unlock()
	for part := range slices.Chunk(list, ratesPerUpdate) {
		data, err := msgpack.Marshal(part)
		if err != nil {
			return nil, fmt.Errorf("encode limits: %w", err)
		}
		datagrams = append(datagrams, data)
	}
	return datagrams, nil
}

// repeats decides at random whether this instance is one of those that repeat an
// update. The lock must be held.
func (l *Limiter) repeats() bool {
	return rand.Float64()*float64(len(l.members)) < repeatsExpected
}

// Merge applies an update of another instance. Find returns an endpoint by its ID;
// what the update says of endpoints that do not exist here, or of another process of
// one, is ignored.
func (l *Limiter) Merge(data []byte, now time.Time, find func(id string) (Endpoint, bool)) error {
	var list []sentRate
	if err := packed.Unmarshal(data, &list); err != nil {
		return fmt.Errorf("decode limits: %w", err)
	}
	var changes []Change
	var err error
	for _, r := range list {
		if math.IsNaN(r.Rate) || math.IsInf(r.Rate, 0) || r.Rate < 0 || r.Rate > 0 && r.Rate < MinRate || r.Version == 0 || r.Version > maxVersion {
			err = errors.Newf("limit of %s is not valid: rate %v, version %d", r.Endpoint, r.Rate, r.Version)
			continue
		}
		if e, ok := find(r.Endpoint); ok && e.Born == r.Born {
			changes = append(changes, l.merge(e, r, now)...)
		}
	}
	l.report(changes)
	return err
}

func (l *Limiter) merge(e Endpoint, r sentRate, now time.Time) []Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.find(e)
	switch {
	case r.Version < x.version:
		x.unsent = x.unsent || l.repeats() // the sender has missed an update
		return nil
	case r.Version == x.version && !looser(x.rate, r.Rate):
		return nil
	}
	x.version = r.Version
	if r.Rate > 0 {
		x.learned = now
	}
	if r.Rate == x.rate {
		return nil
	}
	return []Change{l.set(x, r.Rate, Instance, now)}
}

// List returns the limits and pauses in force.
func (l *Limiter) List(now time.Time) []State {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := []State{}
	for _, x := range l.limits {
		if l.opens(x, now); x.rate == 0 && x.pause.IsZero() && x.cold == nil {
			continue
		}
		s := State{Endpoint: x.ID, Rate: x.rate, Since: x.since, Granted: x.granted, Pause: x.pause}
		if x.interval > 0 {
			s.Part = float64(time.Second) / float64(x.interval)
		}
		if x.cold != nil {
			s.Cold = x.cold.Until
		}
		list = append(list, s)
	}
	return list
}
