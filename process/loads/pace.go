package loads

import (
	"slices"
	"strings"
)

// Times for tokens travel as further loads, at an endpoint of another name, whose Sent rises
// like that of prompts. Relays sum them up like any load, also those of earlier builds.
// Instances of earlier builds know no endpoint of that name, and drop them.
const (
	tookSuffix      = "\x00took"
	predictedSuffix = "\x00predicted"

	// paceLifetime is Lifetime for them.
	paceLifetime = 10 * RefreshInterval
)

// isPace reports whether the load at an endpoint of this name is a time for tokens.
func isPace(endpoint string) bool { return strings.IndexByte(endpoint, 0) >= 0 }

// withoutPaces returns the endpoints whose loads are no times for tokens.
func withoutPaces(endpoints []string) []string {
	return slices.DeleteFunc(slices.Clone(endpoints), isPace)
}

// addPaces adds to a list the times for tokens that have changed since they were last sent.
func (s *Sender) addPaces(list, own []Load) []Load {
	told := make(map[string]int64, len(own))
	for _, l := range own {
		if l.Predicted != s.paces[l.Endpoint] {
			list = append(list, Load{Endpoint: l.Endpoint + tookSuffix, Sent: l.Took}, Load{Endpoint: l.Endpoint + predictedSuffix, Sent: l.Predicted})
		}
		told[l.Endpoint] = l.Predicted
	}
	s.paces = told
	return list
}

// Pace returns a load that was received as one at the endpoint that it is about: with Took
// or Predicted, if it is a time for tokens. Then it has nothing else.
func (l Load) Pace() (_ Load, isPace bool) {
	if endpoint, ok := strings.CutSuffix(l.Endpoint, tookSuffix); ok {
		return Load{Endpoint: endpoint, Took: l.Sent}, true
	}
	if endpoint, ok := strings.CutSuffix(l.Endpoint, predictedSuffix); ok {
		return Load{Endpoint: endpoint, Predicted: l.Sent}, true
	}
	return l, false
}
