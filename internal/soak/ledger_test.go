package soak

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a check that cannot fail: each case violates one promise in
// what callers and endpoints report, and the ledger must record a breach. The
// kept variant of each case must record none.
func TestLedgerSeesEachBreach(t *testing.T) {
	now := time.Now()
	sent := func(l *Ledger, id string, once bool) { l.Sent(id, "i1", "desk", "club", once, now) }
	for name, tt := range map[string]struct {
		promise string
		broken  func(l *Ledger)
		kept    func(l *Ledger)
	}{
		"run twice": {Once, func(l *Ledger) {
			sent(l, "q", true)
			l.Began("q", "a", "club", false, now)
			l.Began("q", "b", "club", false, now)
		}, func(l *Ledger) {
			sent(l, "q", true)
			l.Began("q", "a", "club", false, now)
			l.Began("q", "b", "club", true, now)
		}},
		"refused after it ran": {NotRun, func(l *Ledger) {
			sent(l, "q", true)
			l.Began("q", "a", "club", false, now)
			l.Refused("q")
		}, func(l *Ledger) {
			sent(l, "q", true)
			l.Refused("q")
		}},
		"runs after it was refused": {NotRun, func(l *Ledger) {
			sent(l, "q", true)
			l.Refused("q")
			l.Began("q", "a", "club", false, now)
		}, func(l *Ledger) { sent(l, "q", true) }},
		"another account": {Own, func(l *Ledger) {
			sent(l, "q", false)
			l.Began("q", "a", "yard", false, now)
		}, func(l *Ledger) {
			sent(l, "q", false)
			l.Began("q", "a", "club", false, now)
		}},
		"more than the limit": {Limits, func(l *Ledger) {
			l.Reached("", "a", 0.1)
			time.Sleep(limitContact)
			for range 6 {
				l.Reached("", "a", 0.1)
			}
		}, func(l *Ledger) {
			l.Reached("", "a", 0.1)
			time.Sleep(limitContact)
			for range 5 {
				l.Reached("", "a", 0.1)
			}
		}},
		"never sent": {Own, func(l *Ledger) { l.Began("q", "a", "club", false, now) }, func(*Ledger) {}},
		"two engines": {Single, func(l *Ledger) {
			sent(l, "q", true)
			l.Began("q", "a", "club", false, now)
			l.Began("q", "b", "club", true, now)
			time.Sleep(2 * maxOverlap)
		}, func(l *Ledger) {
			sent(l, "q", true)
			l.Began("q", "a", "club", false, now)
			l.Began("q", "b", "club", true, now)
			l.Ended("q", "a", false)
			time.Sleep(2 * maxOverlap)
		}},
		"new work after leaving": {Leaving, func(l *Ledger) {
			l.Leaves("a", now.Add(-leaveBound-time.Second))
			sent(l, "q", false)
			l.Began("q", "a", "club", false, now)
		}, func(l *Ledger) {
			l.Leaves("a", now.Add(-leaveBound-time.Second))
			l.Disturb("i1", now.Add(-time.Second))
			sent(l, "q", false)
			l.Began("q", "a", "club", false, now)
		}},
		"cut by a stop": {Planned, func(l *Ledger) {
			sent(l, "q", true)
			l.Began("q", "a", "club", false, now)
			l.Cut("q", errors.New("reset"))
		}, func(l *Ledger) {
			sent(l, "q", true)
			l.Began("q", "a", "club", false, now)
			l.Ended("q", "a", false)
			l.Cut("q", errors.New("reset"))
		}},
		"too many repeats": {Budget, func(l *Ledger) {
			sent(l, "q", false)
			for range budgetSlack + 3 {
				l.Began("q", "a", "club", false, now)
			}
		}, func(l *Ledger) {
			sent(l, "q", false)
			for range budgetSlack {
				l.Began("q", "a", "club", false, now)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var broken, kept Ledger
			tt.broken(&broken)
			broken.Close()
			_, breaches, details := broken.Result()
			require.Positive(t, breaches[tt.promise])
			require.NotEmpty(t, details)
			tt.kept(&kept)
			kept.Close()
			_, breaches, _ = kept.Result()
			require.Empty(t, breaches)
		})
	}
}
