package locate

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against entries that serve every service, because the cost of load
// reports would then grow with the number of services, and against services
// with too few entries.
func TestGroupsBoundTheServicesOfAnEntry(t *testing.T) {
	const services = 24
	var entries []Entry
	for i := range 500 {
		entries = append(entries, Entry{ID: fmt.Sprintf("e%d", i), Region: fmt.Sprintf("r%d", i%3)})
	}
	served := map[string]int{}
	for s := range services {
		group := Group(entries, fmt.Sprintf("s%d", s), 1.0/services)
		require.InDelta(t, 42, len(group), 3) // GroupFactor/services of the 500 entries
		for _, e := range group {
			served[e.ID]++
		}
	}
	var most, total int
	for _, n := range served {
		most, total = max(most, n), total+n
	}
	require.LessOrEqual(t, most, 8)
	require.InDelta(t, GroupFactor, float64(total)/float64(len(entries)), 0.2)
}

// Guards against a group that changes completely when one entry leaves, and
// against small systems in which some entries would serve no callers.
func TestGroupsAreStableAndNeverSmall(t *testing.T) {
	var entries []Entry
	for i := range 90 {
		entries = append(entries, Entry{ID: fmt.Sprintf("e%d", i), Region: fmt.Sprintf("r%d", i%3)})
	}
	before := Group(entries, "guide", 0.1)
	after := Group(entries[1:], "guide", 0.1)
	kept := map[string]bool{}
	for _, e := range after {
		kept[e.ID] = true
	}
	var lost int
	for _, e := range before {
		if !kept[e.ID] {
			lost++
		}
	}
	require.LessOrEqual(t, lost, 1)
	require.Len(t, Group(entries[:7], "guide", 0.01), 7)
	entries[0].Leaving = true
	require.Len(t, Group(entries[:7], "guide", 0.01), 6)
}
