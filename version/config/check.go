package config

import (
	"fmt"
	"net/http"
	"net/netip"
	"reflect"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"github.com/julienschmidt/httprouter"
)

const (
	maxValueLen = 80 // bytes of a rejected value that a Fault repeats
)

// Fault is a validation error in a document. Path locates the value in the
// file, such as services[2].weights.gap.
type Fault struct {
	Path    string `json:"path"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// String formats the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s is not allowed, want %s", f.Path, f.Value, f.Allowed)
}

// tagText describes the values that a validator tag allows; %s is the tag's
// parameter.
var tagText = map[string]string{
	"required":      "a value that is not empty",
	"max":           "at most %s characters",
	"printascii":    "printable ASCII characters",
	"min":           "at least %s elements or characters",
	"hexadecimal":   "hexadecimal digits",
	"len":           "exactly %s characters",
	"gte":           "a number of at least %s",
	"lte":           "a number of at most %s",
	"oneof":         "one of: %s",
	"startswith":    "text that starts with %s",
	"hostname_port": "an IP address and port",
}

// validate is safe for concurrent use and caches the reflection data of the
// types.
var validate = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	return v
})

// Check returns all faults of a document: first those of single fields, then
// those of references between them.
func Check(doc Document) []Fault {
	c := &checker{seen: map[string]bool{}}
	var invalid validator.ValidationErrors
	if err := validate().Struct(doc); errors.As(err, &invalid) {
		for _, e := range invalid {
			_, path, _ := strings.Cut(e.Namespace(), ".")
			c.add(path, e.Value(), allowed(e.Tag(), e.Param()))
		}
	}
	services := c.services(doc.Services)
	c.accounts(doc.Accounts, services)
	c.endpoints(doc.Endpoints, services)
	return c.faults
}

func allowed(tag, param string) string {
	text, ok := tagText[tag]
	switch {
	case !ok:
		return strings.TrimSpace(tag + " " + param)
	case strings.Contains(text, "%s"):
		return fmt.Sprintf(text, param)
	}
	return text
}

type checker struct {
	faults []Fault
	seen   map[string]bool
}

// add records a fault, at most one for each path. Secrets are never repeated,
// because faults are written to logs and terminals.
func (c *checker) add(path string, value any, allowed string) {
	if c.seen[path] {
		return
	}
	c.seen[path] = true
	text := fmt.Sprintf("%q", fmt.Sprint(value))
	switch {
	case strings.HasPrefix(path, "secrets["):
		text = "(hidden)"
	case len(text) > maxValueLen:
		text = text[:maxValueLen] + `..."`
	}
	c.faults = append(c.faults, Fault{Path: path, Value: text, Allowed: allowed})
}

func (c *checker) services(list []Service) map[string]int {
	indexes := make(map[string]int, len(list))
	for i, s := range list {
		path := fmt.Sprintf("services[%d]", i)
		c.unique(indexes, path, "service", s.ID, i)
		if s.Kind == KindPlain && len(s.Routes) == 0 {
			c.add(path+".routes", "[]", "at least one route for a plain service")
		}
		c.routes(path, s.Routes)
	}
	return indexes
}

func (c *checker) unique(indexes map[string]int, path, noun, id string, i int) {
	if first, ok := indexes[id]; ok && id != "" {
		c.add(path+".id", id, fmt.Sprintf("an ID that %ss[%d] does not have", noun, first))
		return
	}
	indexes[id] = i
}

// routes registers each route with an httprouter, as the entry will, because
// only the router can detect patterns that conflict.
func (c *checker) routes(path string, list []Route) {
	router := httprouter.New()
	for i, r := range list {
		if r.Method == "" || !strings.HasPrefix(r.Path, "/") {
			continue // the validator reports it
		}
		if cause := register(router, r); cause != "" {
			c.add(fmt.Sprintf("%s.routes[%d].path", path, i), r.Path,
				"a pattern that fits the routes before it: "+cause)
		}
	}
}

func register(router *httprouter.Router, r Route) (cause string) {
	defer func() {
		if p := recover(); p != nil {
			cause = fmt.Sprint(p)
		}
	}()
	router.Handle(r.Method, r.Path, func(http.ResponseWriter, *http.Request, httprouter.Params) {})
	return ""
}

func (c *checker) accounts(list []Account, services map[string]int) {
	ids, keys := make(map[string]int, len(list)), make(map[string]string, len(list))
	for i, a := range list {
		path := fmt.Sprintf("accounts[%d]", i)
		c.unique(ids, path, "account", a.ID, i)
		for j, key := range a.Keys {
			keyPath := fmt.Sprintf("%s.keys[%d]", path, j)
			if first, ok := keys[key]; ok {
				c.add(keyPath, key, "a key that is not at "+first)
				continue
			}
			if key != strings.ToLower(key) {
				c.add(keyPath, key, "lower-case hexadecimal digits")
			}
			keys[key] = keyPath
		}
		for j, s := range a.Services {
			if _, ok := services[s]; !ok {
				c.add(fmt.Sprintf("%s.services[%d]", path, j), s, "the ID of a service")
			}
		}
	}
}

func (c *checker) endpoints(list []Endpoint, services map[string]int) {
	ids := make(map[string]int, len(list))
	for i, e := range list {
		path := fmt.Sprintf("endpoints[%d]", i)
		c.unique(ids, path, "endpoint", e.ID, i)
		if _, ok := services[e.Service]; !ok {
			c.add(path+".service", e.Service, "the ID of a service")
		}
		ap, err := netip.ParseAddrPort(e.Addr)
		if host := ap.Addr(); err != nil || ap.Port() == 0 || host.Zone() != "" || host.IsUnspecified() || host.IsMulticast() {
			c.add(path+".addr", e.Addr, "the IP address of one host and a port")
		}
	}
}
