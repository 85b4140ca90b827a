// Package check checks settings against the rules in their struct tags and
// names every fault in one error.
package check

import (
	"fmt"
	"net"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

// Struct checks the fields of s. Beside the rules of package validator there is
// "ipport" for an IP address and port. The error gives for each fault the field
// in lower case, its value and the rule.
func Struct(s any) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	if err := v.RegisterValidation("ipport", isIPPort); err != nil {
		return fmt.Errorf("register check: %w", err)
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

func isIPPort(f validator.FieldLevel) bool {
	host, port, err := net.SplitHostPort(f.Field().String())
	return err == nil && net.ParseIP(host) != nil && port != ""
}
