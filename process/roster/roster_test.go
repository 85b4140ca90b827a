package roster

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// An endpoint that reported that it is leaving must stay marked when an outdated
// list still shows it as usable. A restart under the same ID counts as a new
// endpoint.
func TestLeavingIsNotTakenBack(t *testing.T) {
	var left []string
	r := Roster{OnLeaving: func(e Endpoint, source string) { left = append(left, e.ID+" "+source) }}
	e := Endpoint{ID: "a", Service: "s", Addr: "10.0.0.1:1", Born: 1}
	r.Set(e)
	r.MarkLeaving("a", FromEndpoint)
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

// An endpoint that restarts under the same ID has lost the generations that ran
// there, so its previous run must be reported as leaving.
func TestRebornEndpointHasLeft(t *testing.T) {
	var left []Endpoint
	r := Roster{OnLeaving: func(e Endpoint, _ string) { left = append(left, e) }}
	r.Set(Endpoint{ID: "a", Service: "s", Born: 1})
	r.Set(Endpoint{ID: "a", Service: "s", Born: 5})
	require.Len(t, left, 1)
	require.Equal(t, int64(1), left[0].Born)
}

// An endpoint that moves to another service must be listed under the new one
// only.
func TestServiceOfAnEndpointChanges(t *testing.T) {
	var changed []string
	r := Roster{Changed: func(service string) { changed = append(changed, service) }}
	r.Set(Endpoint{ID: "a", Service: "s"})
	r.Set(Endpoint{ID: "a", Service: "u"})
	require.Empty(t, r.List("s"))
	require.Len(t, r.List("u"), 1)
	r.Set(Endpoint{ID: "a", Service: "u"})
	require.Equal(t, []string{"s", "s", "u"}, changed, "both services have changed; an unchanged row is not reported")
}

// When a large fleet starts, thousands of endpoints register at once. The cost
// of a notification grows with the number of the service's endpoints, so all
// changes of one response must cause only one notification per service.
func TestChangesOfOneAnswerAreToldOnce(t *testing.T) {
	calls := map[string]int{}
	var left []string
	r := Roster{
		Changed:   func(service string) { calls[service]++ },
		OnLeaving: func(e Endpoint, _ string) { left = append(left, e.ID) },
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
	require.Equal(t, map[string]int{"a": 1, "b": 1}, calls)
	require.Equal(t, []string{"e0", "e1"}, left)
	require.Len(t, r.List("a"), endpoints-2)
	require.Len(t, r.List("b"), 1)
}
