package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// ConfirmTime is the time after the end of a connection in which it may still become
	// known that the endpoint has crashed. It covers a restart and its notice in a list of
	// endpoints.
	ConfirmTime    = 5 * time.Second
	maxUnconfirmed = 128
)

type (
	// Unconfirmed holds crashes of which nothing shows yet that the endpoint's process has
	// ended, the oldest first. The zero value is ready for use, also concurrently.
	Unconfirmed[T any] struct {
		mu   sync.Mutex
		list []unconfirmed[T]
	}

	unconfirmed[T any] struct {
		crash T
		ended time.Time
	}
)

// Add adds a crash whose connection ended at a time. Beyond 128, it drops the oldest.
func (u *Unconfirmed[T]) Add(crash T, ended time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.list) >= maxUnconfirmed {
		u.list = slices.Delete(u.list, 0, 1)
	}
	u.list = append(u.list, unconfirmed[T]{crash: crash, ended: ended})
}

// Take removes the crashes that are confirmed and returns them. It drops those that are
// older than ConfirmTime.
func (u *Unconfirmed[T]) Take(now time.Time, isConfirmed func(T) bool) (confirmed []T) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.list = slices.DeleteFunc(u.list, func(c unconfirmed[T]) bool {
		ok := isConfirmed(c.crash)
		if ok {
			confirmed = append(confirmed, c.crash)
		}
		return ok || now.Sub(c.ended) > ConfirmTime
	})
	return confirmed
}
