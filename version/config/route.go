package config

import "strings"

// Route finds the route that a call takes, or nil. A parameter like ":id"
// matches one segment; a final "*rest" matches everything. A route without
// parameters goes before one with them.
func (s *Service) Route(method, path string) *Route {
	var found *Route
	for i := range s.Routes {
		r := &s.Routes[i]
		if r.Method != method || !matches(r.Path, path) {
			continue
		}
		if r.Path == path {
			return r
		}
		if found == nil {
			found = r
		}
	}
	return found
}

func matches(pattern, path string) bool {
	want, have := strings.Split(pattern, "/"), strings.Split(path, "/")
	for i, segment := range want {
		if strings.HasPrefix(segment, "*") {
			return len(have) > i
		}
		if i >= len(have) || (segment != have[i] && (!strings.HasPrefix(segment, ":") || have[i] == "")) {
			return false
		}
	}
	return len(want) == len(have)
}
