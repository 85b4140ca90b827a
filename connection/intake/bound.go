package intake

import (
	"runtime/debug"
	"time"
)

const (
	megabyte = 1 << 20
	maxHead  = 1 << 20 // of net/http, whatever the limits in force

	// fixedMemory is what a process of the product has without clients: 25 to 31 MB were
	// measured, of which 14 MB are pages of the program.
	fixedMemory = 32 * megabyte
	// outsideMemory is what the Go runtime does not count: 14 MB of pages of the program,
	// received bytes that are not read (7 MB at most were measured), and a margin, as the
	// limit of the runtime is a soft one.
	outsideMemory = 28 * megabyte
	// garbageFactor is how much memory a charged byte takes, with what is not collected yet.
	garbageFactor = 2

	// defaultLarge is the most that larger charges may sum up to if the memory of a process
	// is not known: 8 bodies of 4 MB. With what is not collected yet, the process stays below
	// the 112 MB of the smallest instance.
	defaultLarge = 32 * megabyte

	// Shares of the descriptors of a process. The rest is for connections to endpoints,
	// one for each request in work, to the store and to other instances.
	callerShare = 3.0 / 8
	peerShare   = 1.0 / 8  // also of the directory
	otherShare  = 1.0 / 32 // readiness checks; counters
)

// Defaults are the limits where no others are in force. Clients that conform to those of
// the deployments, 16 KB, 3 s and 15 s, do not reach them.
var Defaults = Limits{HeadBytes: 64 << 10, HeadTime: 10 * time.Second, IdleTime: 120 * time.Second}

// Bound returns the budget of a process with a memory in MB, and sets the soft memory limit
// of the Go runtime. With 0, neither has a bound, except that the larger charges, of
// bodies and answers, have one that fits every instance.
func Bound(memory int) *Budget {
	if memory <= 0 {
		b := NewBudget(0)
		b.most = defaultLarge
		return b
	}
	total := int64(memory) * megabyte
	debug.SetMemoryLimit(max(total-outsideMemory, total/2))
	return NewBudget(max((total-fixedMemory)/garbageFactor, total/8))
}

// CallerConns returns the largest number of connections of callers of a process with a
// number of descriptors, 0 if there is no limit.
func CallerConns(files int) int { return int(float64(files) * callerShare) }

// PeerConns is CallerConns for connections of other instances, and for the directory.
func PeerConns(files int) int { return int(float64(files) * peerShare) }

// OtherConns is CallerConns for each of the other listeners.
func OtherConns(files int) int { return int(float64(files) * otherShare) }

// CountMessageRefused counts a call of another instance that was too long, or for which there was no
// room.
func CountMessageRefused() { counters.Add("messages_refused", 1) }
