package platform

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/btree"
	"golang.org/x/time/rate"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
)

const (
	rowsPerRead = 100 // rows of a list that count as one read
	keyDegree   = 32  // degree of the B-tree of keys, a usual choice for the library
)

type (
	// Faults is the set of faults that a Memory simulates. The zero value is a
	// healthy platform.
	Faults struct {
		// Down refuses every call.
		Down bool `json:"down"`
		// Slow delays every response by this many milliseconds.
		Slow int `json:"slow"`
		// Lose is the fraction of writes, from 0 to 1, that take effect but whose
		// response is lost.
		Lose float64 `json:"lose"`
	}

	// Usage counts the calls to a Memory.
	Usage struct {
		Reads   int64 `json:"reads"`
		Writes  int64 `json:"writes"`
		Limited int64 `json:"limited"` // refused by a rate limit
		Failed  int64 `json:"failed"`  // refused while down, or the response was lost
	}

	// Memory is a platform in memory, for tests and for the stand-in process.
	// The zero value is ready for use, healthy and without rate limits.
	Memory struct {
		// Writes and Reads limit the rate per second; nil means no limit.
		Writes *rate.Limiter
		Reads  *rate.Limiter
		// Seed seeds the random choice of lost responses.
		Seed uint64

		mu           sync.Mutex
		random       *rand.Rand
		faults       Faults
		usage        Usage
		rows         map[string]Row
		keys         *btree.BTreeG[string] // of rows, in order
		lastVersions map[string]int64
		objects      map[string][]byte
		instances    []Instance
	}
)

// Platform returns the calls that m serves.
func (m *Memory) Platform() Platform {
	return Platform{
		Get: m.get, List: m.list, Commit: m.commit,
		GetObject: m.getObject, PutObject: m.putObject, Instances: m.listInstances,
	}
}

// Break sets the faults that m simulates from now on.
func (m *Memory) Break(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Usage returns the counts so far.
func (m *Memory) Usage() Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usage
}

// SetInstances replaces the list of instances.
func (m *Memory) SetInstances(list []Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instances = slices.Clone(list)
}

// admit waits for the configured delay and then applies the outage and the rate
// limit to a call that costs n units of the limiter.
func (m *Memory) admit(ctx context.Context, limiter *rate.Limiter, n int) error {
	m.mu.Lock()
	slow := m.faults.Slow
	m.mu.Unlock()
	if slow > 0 && !sleep.For(ctx, time.Duration(slow)*time.Millisecond) {
		return ErrUnknown
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Down {
		m.usage.Failed++
		return ErrDown
	}
	if limiter != nil && !limiter.AllowN(time.Now(), n) {
		m.usage.Limited++
		return ErrLimited
	}
	return nil
}

func (m *Memory) get(ctx context.Context, key string) (Row, error) {
	if err := m.admit(ctx, m.Reads, 1); err != nil {
		return Row{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usage.Reads++
	row := m.rows[key]
	row.Key = key
	return row, nil
}

func (m *Memory) list(ctx context.Context, prefix, after string, n int) ([]Row, error) {
	if err := m.admit(ctx, m.Reads, 1+n/rowsPerRead); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usage.Reads += int64(1 + n/rowsPerRead)
	var rows []Row
	if m.keys == nil {
		return nil, nil
	}
	m.keys.AscendGreaterOrEqual(max(prefix, after), func(key string) bool {
		if len(rows) == n || !strings.HasPrefix(key, prefix) {
			return false
		}
		if key > after {
			rows = append(rows, m.rows[key])
		}
		return true
	})
	return rows, nil
}

func (m *Memory) commit(ctx context.Context, ops []Op) error {
	var writes int
	for _, op := range ops {
		if op.Kind != Check {
			writes++
		}
	}
	if err := m.admit(ctx, m.Writes, writes); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, op := range ops {
		if m.rows[op.Key].Version != op.Version {
			return ErrConflict
		}
	}
	for _, op := range ops {
		m.apply(op)
	}
	m.usage.Writes += int64(writes)
	return m.loseAnswer()
}

// apply applies one operation. Versions keep growing after a row was deleted, so
// that a condition on an older row with the same key never holds again.
func (m *Memory) apply(op Op) {
	if m.rows == nil {
		m.rows, m.lastVersions = map[string]Row{}, map[string]int64{}
		m.keys = btree.NewOrderedG[string](keyDegree)
	}
	switch op.Kind {
	case Put:
		m.lastVersions[op.Key]++
		m.rows[op.Key] = Row{Key: op.Key, Value: slices.Clone(op.Value), Version: m.lastVersions[op.Key]}
		m.keys.ReplaceOrInsert(op.Key)
	case Delete:
		delete(m.rows, op.Key)
		m.keys.Delete(op.Key)
	}
}

// loseAnswer returns ErrUnknown for a random fraction Lose of the calls.
func (m *Memory) loseAnswer() error {
	if m.faults.Lose <= 0 {
		return nil
	}
	if m.random == nil {
		m.random = rand.New(rand.NewPCG(m.Seed, m.Seed))
	}
	if m.random.Float64() < m.faults.Lose {
		m.usage.Failed++
		return ErrUnknown
	}
	return nil
}

func (m *Memory) getObject(ctx context.Context, name string) ([]byte, error) {
	if err := m.admit(ctx, m.Reads, 1); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usage.Reads++
	data, ok := m.objects[name]
	if !ok {
		return nil, ErrAbsent
	}
	return slices.Clone(data), nil
}

func (m *Memory) putObject(ctx context.Context, name string, data []byte) error {
	if err := m.admit(ctx, m.Writes, 1); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects == nil {
		m.objects = map[string][]byte{}
	}
	m.objects[name] = slices.Clone(data)
	m.usage.Writes++
	return m.loseAnswer()
}

func (m *Memory) listInstances(ctx context.Context) ([]Instance, error) {
	if err := m.admit(ctx, m.Reads, 1); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usage.Reads++
	return slices.Clone(m.instances), nil
}
