package roster

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// What an endpoint said of its own leaving must not be taken back by a list that
// lags, but a new start under the same ID counts as a new endpoint.
func TestLeavingIsNotTakenBack(t *testing.T) {
	var left []string
	r := Roster{Leaves: func(e Endpoint, source string) { left = append(left, e.ID+" "+source) }}
	e := Endpoint{ID: "a", Service: "s", Addr: "10.0.0.1:1", Born: 1}
	r.Set(e)
	r.Leave("a", FromEndpoint)
	r.Set(e)
	require.True(t, r.List("s")[0].Leaving)
	e.Born = 2
	r.Set(e)
	require.False(t, r.List("s")[0].Leaving)
	r.Remove("a")
	r.Remove("a")
	require.Empty(t, r.List("s"))
	require.Equal(t, []string{"a endpoint", "a list"}, left)
}

// Runs at an endpoint that starts again under its ID are lost there, so the old
// start is reported as leaving.
func TestRebornEndpointHasLeft(t *testing.T) {
	var left []Endpoint
	r := Roster{Leaves: func(e Endpoint, _ string) { left = append(left, e) }}
	r.Set(Endpoint{ID: "a", Service: "s", Born: 1})
	r.Set(Endpoint{ID: "a", Service: "s", Born: 5})
	require.Len(t, left, 1)
	require.Equal(t, int64(1), left[0].Born)
}

// An endpoint that moves to another service is listed there only.
func TestServiceOfAnEndpointChanges(t *testing.T) {
	var changed []string
	r := Roster{Changed: func(service string) { changed = append(changed, service) }}
	r.Set(Endpoint{ID: "a", Service: "s"})
	r.Set(Endpoint{ID: "a", Service: "u"})
	require.Empty(t, r.List("s"))
	require.Len(t, r.List("u"), 1)
	r.Set(Endpoint{ID: "a", Service: "u"})
	require.Equal(t, []string{"s", "s", "u"}, changed, "both services have changed; an unchanged row is no news")
}

// Pattern: a large fleet starts, and thousands of endpoints register at once.
// What follows from each change costs as much as the service has endpoints, so
// it must be done once for the changes of one answer.
func TestChangesOfOneAnswerAreToldOnce(t *testing.T) {
	told := map[string]int{}
	var left []string
	r := Roster{
		Changed: func(service string) { told[service]++ },
		Leaves:  func(e Endpoint, _ string) { left = append(left, e.ID) },
	}
	const endpoints = 3000
	var changes []Change
	for n := range endpoints {
		changes = append(changes, Change{Endpoint: Endpoint{ID: fmt.Sprint("e", n), Service: "a", Born: 1}})
	}
	changes = append(changes,
		Change{Endpoint: Endpoint{ID: "e0", Service: "a", Born: 1, Leaving: true}},
		Change{Endpoint: Endpoint{ID: "e1"}, Gone: true},
		Change{Endpoint: Endpoint{ID: "e2", Service: "b", Born: 1}},
	)
	r.Apply(changes)
	require.Equal(t, map[string]int{"a": 1, "b": 1}, told)
	require.Equal(t, []string{"e0", "e1"}, left)
	require.Len(t, r.List("a"), endpoints-2)
	require.Len(t, r.List("b"), 1)
}
