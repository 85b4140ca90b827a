package entry_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/internal/system"
)

// Guards against a list of candidates that is rebuilt for each lookup. The
// owner of each lease, shard and account is looked up several times a second,
// so the cost grew with the square of the number of entries, and a hundred
// entries that started at once under load did not receive their configuration.
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
