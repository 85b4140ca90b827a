package logging

import (
	"strings"
	"sync"
	"time"
)

const (
	// FaultInterval is the shortest time between two lines about faulty items of one list.
	FaultInterval = 10 * time.Second

	maxErrorBytes = 300 // of the text of an error in a line
)

// Faults limits the lines about the faulty items of a list that another program writes
// and that is read again and again. A line is due when the fault of an item is new, and
// none within FaultInterval of another one, however many items there are and however
// often they change. The zero value is ready for use.
type Faults struct {
	mu    sync.Mutex
	known map[string]string // fault by item
	next  time.Time         // earliest time of the next line
	left  int               // new faults without a line since the last line
}

// Add records the fault of an item, in a few words without its value. It reports whether
// a line about it is due now, and if so, how many other new faults got none since the
// last line.
func (f *Faults) Add(item, fault string, now time.Time) (others int, due bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.known == nil {
		f.known = map[string]string{}
	}
	if known, ok := f.known[item]; ok && known == fault {
		return 0, false
	}
	f.known[item] = fault
	if now.Before(f.next) {
		f.left++
		return 0, false
	}
	others, f.left = f.left, 0
	f.next = now.Add(FaultInterval)
	return others, true
}

// Remove records that an item is sound or has left the list.
func (f *Faults) Remove(item string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.known, item)
}

// Len returns the number of faulty items.
func (f *Faults) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.known)
}

// ShortError returns the text of an error for a line. It is cut, because an error may repeat
// a value of any length.
func ShortError(err error) string {
	text := err.Error()
	if len(text) <= maxErrorBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxErrorBytes], "") + "..."
}
