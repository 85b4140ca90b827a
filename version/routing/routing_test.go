package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func table(version int64, routes ...Route) *Table {
	return New(Document{Version: version, Routes: routes})
}

// A shorter prefix that matches must not hide a longer one, and a prefix matches
// whole path elements only.
func TestRouteHasTheLongestPrefix(t *testing.T) {
	x := table(1,
		Route{Name: "a", Host: "One.example", Prefix: "/a/"},
		Route{Name: "ab", Host: "one.example", Prefix: "/a/b/"},
		Route{Name: "root", Host: "two.example", Prefix: "/"},
	)
	for path, want := range map[string]string{"/a/x": "a", "/a/b/x": "ab", "/a/bc/x": "a", "/a/b": "a", "/a/b/": "ab"} {
		r := x.Route("one.EXAMPLE:80", path)
		require.NotNil(t, r, path)
		require.Equal(t, want, r.Name, path)
	}
	require.Nil(t, x.Route("one.example", "/b/x"))
	require.Nil(t, x.Route("one.example", "/a"))
	require.Nil(t, x.Route("three.example", "/a/x"))
	require.Nil(t, x.Route("one.example", ""))
	require.Equal(t, "root", x.Route("two.example", "/anything").Name)
}

// Requests follow the weights, and a target of weight zero gets none.
func TestPickFollowsWeights(t *testing.T) {
	r := Route{Targets: []Target{{"none", 0}, {"a", 90}, {"b", 10}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000)]++
	}
	require.Equal(t, map[string]int{"a": 900, "b": 100}, counts)
	require.Empty(t, (&Route{}).Pick(0.5))
}

// A process must never go back to an older version, whatever arrives late.
func TestKeeperNeverGoesBack(t *testing.T) {
	var installed []int64
	k := Keeper{Installed: func(x *Table) { installed = append(installed, x.Version) }}
	require.Equal(t, int64(-1), k.Version())
	for _, v := range []int64{3, 2, 3, 7, 5} {
		k.Install(table(v))
	}
	require.Equal(t, int64(7), k.Version())
	require.Equal(t, []int64{3, 7}, installed)
}

// A key that a version took away names no account any more.
func TestAccountOfAKey(t *testing.T) {
	x := New(Document{Accounts: []Account{{Name: "club", Keys: []string{"k1", "k2"}}}})
	require.Equal(t, "club", x.Account("k2").Name)
	require.Nil(t, x.Account("k3"))
	require.Nil(t, x.Account(""))
}
