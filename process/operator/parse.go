package operator

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/cockroachdb/errors"
)

const (
	// MaxText is the length of the longest statement in bytes. It also bounds
	// the nesting of parentheses, on which the parser recurses.
	MaxText = 4096
	// MaxWait is the longest wait of a command.
	MaxWait = 10 * time.Minute

	maxRows = 1_000_000
	maxRank = 9 // as in the validate tag of config.Account.Rank
)

var (
	// Relations lists the relations that a query can show.
	Relations = []string{
		"streams", "endpoints", "accounts", "entries", "services", "versions", "pending", "leases", "routes", "limits",
	}

	verbs         = []string{"show", "help", "drain", "undrain", "move", "set", "load", "unload", "cancel", "revoke"}
	drainKinds    = []string{"endpoint", "place", "entry"}
	limitFields   = []string{"rate", "burst", "active", "tokens"}
	weightFields  = []string{"stall", "gap", "preempt"}
	policies      = []string{"current", "previous", "roundrobin", "leastconn", "twochoice"}
	keywords      = []string{"where", "order", "by", "limit", "and", "or", "not", "desc", "asc", "wait", "at", "account", "service", "to", "on", "model", "stream", "key", "rank", "weight", "policy"}
	integerLimits = []string{"burst", "active", "tokens"}
	errNotANumber = errors.New("not a number")
)

// Parse parses one statement and checks what needs no Catalogue: words, numbers
// and ranges. An error is an *Error.
func Parse(text string) (*Statement, error) {
	if len(text) > MaxText {
		return nil, errorAt(BadSyntax, "", 0, "the statement has %d bytes; the longest allowed has %d", len(text), MaxText)
	}
	s, err := grammar.ParseString("", text)
	if err != nil {
		return nil, syntaxError(text, err)
	}
	s.Text = text
	c := checker{text: text}
	c.statement(s)
	if c.err != nil {
		return nil, c.err
	}
	return s, nil
}

// syntaxError turns an error of the parser into one that names the unexpected
// word and lists the usage of the statement.
func syntaxError(text string, err error) *Error {
	words := strings.Fields(text)
	if len(words) == 0 {
		return errorAt(BadSyntax, text, 0, "the statement is empty").allow("", verbs)
	}
	verb := strings.ToLower(words[0])
	if !slices.Contains(verbs, verb) {
		return errorAt(BadSyntax, text, strings.Index(text, words[0]), "unknown statement %q", words[0]).allow(words[0], verbs)
	}
	usage := usageOf(verb)
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		token := unexpected.Unexpected
		if token.EOF() {
			e := errorAt(BadSyntax, text, len(strings.TrimRight(text, " \t\r\n")), "the statement ends too early")
			e.Allowed = usage
			return e
		}
		e := errorAt(BadSyntax, text, token.Pos.Offset, "unexpected %q", token.Value)
		e.Allowed, e.Nearest = usage, nearest(token.Value, keywords)
		return e
	}
	var parseErr participle.Error
	if errors.As(err, &parseErr) {
		e := errorAt(BadSyntax, text, parseErr.Position().Offset, "%s", parseErr.Message())
		e.Allowed = usage
		return e
	}
	return errorAt(BadSyntax, text, 0, "%s", err.Error())
}

// checker checks the words and numbers of a statement; err is the first error.
type checker struct {
	text string
	err  error
}

func (c *checker) statement(s *Statement) {
	switch {
	case s.Query != nil:
		c.query(s.Query)
	case s.Drain != nil:
		c.oneOf(&s.Drain.Kind, "kind", drainKinds)
	case s.Undrain != nil:
		c.oneOf(&s.Undrain.Kind, "kind", drainKinds)
	case s.SetAccount != nil:
		c.account(s.SetAccount)
	case s.SetService != nil:
		c.service(s.SetService)
	}
	c.suffix(s)
}

func (c *checker) query(q *Query) {
	c.oneOf(&q.Relation, "relation", Relations)
	c.amount(q.Limit, "limit", 1, maxRows, true)
}

func (c *checker) account(s *SetAccount) {
	c.amount(s.Rank, "rank", 0, maxRank, true)
	if s.Limit == nil {
		return
	}
	c.oneOf(&s.Limit.Field, "limit", limitFields)
	whole := slices.Contains(integerLimits, s.Limit.Field.Text)
	c.amount(&s.Limit.Value, "limit", 0, 1e12, whole)
}

func (c *checker) service(s *SetService) {
	if s.Policy != nil {
		c.oneOf(s.Policy, "policy", policies)
	}
	if s.Weight != nil {
		c.oneOf(&s.Weight.Field, "weight", weightFields)
		c.amount(&s.Weight.Value, "weight", 0, 1e6, false)
	}
}

// suffix checks and parses the at and wait clauses.
func (c *checker) suffix(s *Statement) {
	if !s.Command() {
		if s.At != nil {
			c.fail(errorAt(BadSyntax, c.text, s.At.Pos.Offset, "only a command takes at"))
		}
		if s.Wait != nil {
			c.fail(errorAt(BadSyntax, c.text, s.Wait.Pos.Offset, "only a command takes wait"))
		}
		return
	}
	c.amount(s.At, "version", 1, math.MaxInt32, true)
	if s.Wait == nil {
		return
	}
	d, err := time.ParseDuration(s.Wait.Text)
	if err != nil || d <= 0 || d > MaxWait {
		e := errorAt(BadValue, c.text, s.Wait.Pos.Offset, "%q is not a wait", s.Wait.Text)
		e.Allowed = []string{"a duration such as 500ms, 10s or 2m, up to " + MaxWait.String()}
		c.fail(e)
		return
	}
	s.Wait.Seconds = d.Seconds()
}

// oneOf checks a word against a fixed list, ignoring case, and replaces it by
// its lower-case form.
func (c *checker) oneOf(name *Name, what string, allowed []string) {
	word := strings.ToLower(name.Text)
	if !slices.Contains(allowed, word) {
		c.fail(errorAt(BadName, c.text, name.Pos.Offset, "unknown %s %q", what, name.Text).allow(name.Text, allowed))
		return
	}
	name.Text = word
}

// amount parses a number, if there is one, and checks that it is between low and
// high and, if whole is set, an integer.
func (c *checker) amount(a *Amount, what string, low, high float64, whole bool) {
	if a == nil {
		return
	}
	v, err := parseNumber(a.Text)
	if err != nil || v < low || v > high || (whole && v != math.Trunc(v)) {
		kind := "a number"
		if whole {
			kind = "a whole number"
		}
		e := errorAt(BadValue, c.text, a.Pos.Offset, "%q is not a valid %s", a.Text, what)
		e.Allowed = []string{kind + " from " + formatNumber(low) + " to " + formatNumber(high)}
		c.fail(e)
		return
	}
	a.Value = v
}

func (c *checker) fail(err *Error) {
	if c.err == nil {
		c.err = err
	}
}

// parseNumber parses a finite number.
func parseNumber(text string) (float64, error) {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0, errNotANumber
	}
	return v, nil
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
