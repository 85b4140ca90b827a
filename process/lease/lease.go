// Package lease acquires and renews leases on duties. A duty is a task that one
// entry at a time performs.
//
// A duty has one row, lease/DUTY, with the holder, a fencing token and an
// absolute deadline. Acquiring and renewing are writes conditional on the row's
// version, so if two entries write at once, one write fails. Three times prevent
// two simultaneous holders although clocks differ: a lease lasts 6 s from the
// start of its write, the holder stops 1 s before the deadline, and a successor
// writes only 1 s after it. Clocks may therefore differ by up to 2 s. Deadlines
// have no monotonic clock reading, because the monotonic clock of a suspended
// machine stands still; a holder that was paused finds its lease expired at its
// next comparison.
//
// A lease alone does not stop an effect that a holder started before a pause
// and that arrives later. The fencing token does: it increases with each new
// holder, also when a lease is handed over, and the target of an effect refuses
// a token lower than the highest that it has seen.
//
// Only an entry that is the preferred holder of a duty (Keeper.Wants) reads its
// row, so the load on the store does not depend on the number of entries. A
// holder that is no longer preferred stops, and then writes the row without a
// holder, so that the successor can acquire the lease without waiting.
package lease

import (
	"encoding/json"
	"expvar"
	"fmt"
	"time"

	"github.com/eelgrassdock/eelgrassdock/process/platform"
)

const (
	// Term is the time from the start of a write to the deadline it sets.
	Term = 6 * time.Second
	// Margin is the time before the deadline at which the holder stops, and the
	// time after it from which a successor may acquire the lease.
	Margin = time.Second

	renewInterval = 2 * time.Second        // leaves time for two further attempts within the 5 s of use
	watchInterval = time.Second            // between reads of a row that another entry holds
	idleInterval  = 250 * time.Millisecond // between calls of Wants, which cost no store operation
	callTimeout   = time.Second            // a slower answer counts as lost, so that a renewal can be repeated in time
	minBackoff    = 200 * time.Millisecond
	maxBackoff    = 2 * time.Second // a longer wait would let a lease lapse after a short outage
	jitter        = 0.25            // fraction by which waits vary, so that entries do not act in step
	defaultRate   = 50.0            // operations per second; enough to renew 100 leases
)

type (
	// Lease is the right to perform a duty until shortly before Deadline.
	Lease struct {
		Duty     string
		Holder   string
		Fence    int64
		Version  int64 // version of the lease row at the last write
		Deadline time.Time
	}

	// row is the JSON value of a lease row.
	row struct {
		Holder string    `json:"holder,omitempty"`
		Fence  int64     `json:"fence"`
		Until  time.Time `json:"until"`
	}
)

var counters = expvar.NewMap("lease")

// Valid reports whether the holder may act at time now.
func (l Lease) Valid(now time.Time) bool {
	return l.Holder != "" && now.Round(0).Before(l.Deadline.Add(-Margin))
}

// Key returns the row key of a duty.
func Key(duty string) string { return "lease/" + duty }

func (l Lease) encode() ([]byte, error) {
	data, err := json.Marshal(row{Holder: l.Holder, Fence: l.Fence, Until: l.Deadline})
	if err != nil {
		return nil, fmt.Errorf("encode lease row: %w", err)
	}
	return data, nil
}

// decode returns the lease in a row; a row that does not exist contains a lease
// without holder.
func decode(duty string, r platform.Row) (Lease, error) {
	l := Lease{Duty: duty, Version: r.Version}
	if r.Version == 0 {
		return l, nil
	}
	var v row
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return l, fmt.Errorf("decode lease row: %w", err)
	}
	l.Holder, l.Fence, l.Deadline = v.Holder, v.Fence, v.Until
	return l, nil
}

// sameTenure reports whether two leases have equal holders and fencing tokens.
func (l Lease) sameTenure(other Lease) bool {
	return l.Holder == other.Holder && l.Fence == other.Fence
}

// availableTo reports whether holder may acquire the lease at time now. It need
// not wait for the deadline of its own lease, because it has stopped before it
// tries again, nor for that of a lease that was handed over.
func (l Lease) availableTo(holder string, now time.Time) bool {
	return l.Holder == "" || l.Holder == holder || now.Round(0).After(l.Deadline.Add(Margin))
}
