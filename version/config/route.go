package config

import "strings"

// Route returns the first route that matches method and path, or nil. A
// parameter such as ":id" matches one non-empty segment, and a final "*rest"
// the remaining segments. A route whose path is equal to the call's takes
// precedence over routes with parameters.
func (s *Service) Route(method, path string) *Route {
	var found *Route
	for i := range s.Routes {
		r := &s.Routes[i]
		if r.Method != method || !matchPath(r.Path, path) {
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

func matchPath(pattern, path string) bool {
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
