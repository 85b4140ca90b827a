package entry_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/internal/system"
)

// Each lease, shard and account looks for its owner several times a second. A
// list made for each look-up costs the square of the entries, and a hundred
// entries that start at once beside load did not learn their configuration.
func TestOwnersAreListedOncePerChange(t *testing.T) {
	t.Parallel()
	s := start(t, &system.System{Entries: 2, Engines: 1})
	e := s.Nodes()[0].Entry
	require.Eventually(t, func() bool { return len(e.Candidates()) == 2 }, 10*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		a, b := e.Candidates(), e.Candidates()
		return &a[0] == &b[0]
	}, 10*time.Second, 10*time.Millisecond)
	_, err := s.StartEntry(context.Background(), 2)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(e.Candidates()) == 3 }, 10*time.Second, 10*time.Millisecond)
}
