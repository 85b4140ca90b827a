package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func table(version int64, routes ...Route) *Table {
	return New(Document{Version: version, Routes: routes})
}

// Guards against a shorter matching prefix that hides a longer one, and against
// a prefix that matches part of a path element.
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

// Guards against requests that are not distributed by weight, and against
// requests to a target of weight zero.
func TestPickFollowsWeights(t *testing.T) {
	r := Route{Targets: []Target{{"none", 0}, {"a", 90}, {"b", 10}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000)]++
	}
	require.Equal(t, map[string]int{"a": 900, "b": 100}, counts)
	require.Empty(t, (&Route{}).Pick(0.5))
}

// Guards against a process that reverts to an older version when an update
// arrives late.
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

// Guards against a key that is accepted although the installed version does not
// list it.
func TestAccountOfAKey(t *testing.T) {
	x := New(Document{Accounts: []Account{{Name: "club", Keys: []string{"k1", "k2"}}}})
	require.Equal(t, "club", x.Account("k2").Name)
	require.Nil(t, x.Account("k3"))
	require.Nil(t, x.Account(""))
	x = New(Document{Accounts: []Account{{Name: "club", Keys: []string{"", "k1"}}}})
	require.Nil(t, x.Account(""), "an empty key is held by every caller without one")
	require.Equal(t, "club", x.Account("k1").Name)
}

// Guards against a table without accounts that serves callers without a key.
func TestNeedsKey(t *testing.T) {
	keyed, open := &Route{}, &Route{Open: true}
	for _, accounts := range [][]Account{nil, {}, {{Name: "club"}}} {
		x := New(Document{Accounts: accounts})
		require.True(t, x.NeedsKey(keyed))
		require.False(t, x.NeedsKey(open))
	}
	require.False(t, New(Document{Open: true}).NeedsKey(keyed))
}
