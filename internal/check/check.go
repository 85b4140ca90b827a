// Package check validates settings against the rules in their struct tags and
// reports all violations in one error.
package check

import (
	"fmt"
	"net"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

// Struct validates the fields of s, a struct or a pointer to one. It supports
// the rules of package validator and "ipport", an IP address with a port. For
// each violation the error names the field in lower case, its value and the rule.
func Struct(s any) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	if err := v.RegisterValidation("ipport", isIPPort); err != nil {
		return fmt.Errorf("register validation rule ipport: %w", err)
	}
	err := v.Struct(s)
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return err
	}
	var lines []string
	for _, f := range faults {
		rule := strings.TrimSuffix(f.Tag()+"="+f.Param(), "=")
		lines = append(lines, fmt.Sprintf("%s: value %q does not satisfy %s",
			strings.ToLower(f.Field()), fmt.Sprint(f.Value()), rule))
	}
	return errors.New(strings.Join(lines, "; "))
}

// isIPPort reports whether a field holds an IP address with a port, not a host
// name.
func isIPPort(f validator.FieldLevel) bool {
	host, port, err := net.SplitHostPort(f.Field().String())
	return err == nil && net.ParseIP(host) != nil && port != ""
}
