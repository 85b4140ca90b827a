package operator

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

type (
	// Statement is one query, command or request for help. Exactly one of the
	// pointers up to Revoke is set.
	Statement struct {
		Help       *Help       `parser:"( @@"`
		Query      *Query      `parser:"| @@"`
		Drain      *Drain      `parser:"| @@"`
		Undrain    *Undrain    `parser:"| @@"`
		Move       *Move       `parser:"| @@"`
		SetAccount *SetAccount `parser:"| 'set' ( @@"`
		SetService *SetService `parser:"| @@ )"`
		Load       *Load       `parser:"| @@"`
		Unload     *Unload     `parser:"| @@"`
		Cancel     *Cancel     `parser:"| @@"`
		Revoke     *Revoke     `parser:"| @@ )"`
		// At is the version that the operator saw; the current one if nil.
		At *Amount `parser:"( 'at' @@ )?"`
		// Wait bounds the time until the command must be in force.
		Wait *Wait `parser:"( 'wait' @@ )?"`
		// Text is the statement as it was written.
		Text string
	}

	// Name is a name in a statement. Pos is its position.
	Name struct {
		Pos  lexer.Position `parser:"" json:"-"`
		Text string         `parser:"@(Word | String)" json:"text"`
	}

	// Amount is a number in a statement. Parse fills Value.
	Amount struct {
		Pos   lexer.Position `parser:"" json:"-"`
		Text  string         `parser:"@Word" json:"text"`
		Value float64        `parser:"" json:"value"`
	}

	// Wait is a duration in a statement. Parse fills Seconds.
	Wait struct {
		Pos     lexer.Position `parser:"" json:"-"`
		Text    string         `parser:"@Word"`
		Seconds float64
	}

	// Literal is a value that a field is compared with. It is read as the kind
	// of the field, so an account named 7 can be written without quotes.
	Literal struct {
		Pos  lexer.Position `parser:"" json:"-"`
		Text string         `parser:"@(Word | String)" json:"text"`
	}

	// Help requests the description of the language or of one topic.
	Help struct {
		Topic *Name `parser:"'help' @@?"`
	}

	// Query selects rows of one relation.
	Query struct {
		Relation Name      `parser:"'show' @@" json:"relation"`
		Where    *Or       `parser:"( 'where' @@ )?" json:"where,omitempty"`
		Order    []SortKey `parser:"( 'order' 'by' @@ ( ',' @@ )* )?" json:"order,omitempty"`
		Limit    *Amount   `parser:"( 'limit' @@ )?" json:"limit,omitempty"`
	}

	// SortKey orders rows by one field.
	SortKey struct {
		Field Name `parser:"@@" json:"field"`
		Desc  bool `parser:"( @'desc' | 'asc' )?" json:"desc,omitempty"`
	}

	// Or holds if any of its parts holds.
	Or struct {
		Any []And `parser:"@@ ( 'or' @@ )*" json:"any"`
	}

	// And holds if all of its parts hold.
	And struct {
		All []Term `parser:"@@ ( 'and' @@ )*" json:"all"`
	}

	// Term is a negation, a group or a test. Exactly one pointer is set.
	Term struct {
		Not   *Term `parser:"  'not' @@" json:"not,omitempty"`
		Group *Or   `parser:"| '(' @@ ')'" json:"group,omitempty"`
		Test  *Test `parser:"| @@" json:"test,omitempty"`
	}

	// Test compares a field with a value.
	Test struct {
		Field Name    `parser:"@@" json:"field"`
		Op    string  `parser:"@Op" json:"op"`
		Value Literal `parser:"@@" json:"value"`
	}

	// Drain stops new work for an endpoint, the endpoints of a place, or an entry.
	Drain struct {
		Kind Name `parser:"'drain' @@"`
		Name Name `parser:"@@"`
	}

	// Undrain reverts a drain.
	Undrain struct {
		Kind Name `parser:"'undrain' @@"`
		Name Name `parser:"@@"`
	}

	// Move sends an account's callers to one entry first.
	Move struct {
		Account Name `parser:"'move' 'account' @@"`
		Entry   Name `parser:"'to' @@"`
	}

	// SetAccount changes an account's rank or one of its limits.
	SetAccount struct {
		Account Name          `parser:"'account' @@"`
		Rank    *Amount       `parser:"( 'rank' @@"`
		Limit   *AccountLimit `parser:"| 'limit' @@ )"`
	}

	// AccountLimit is the new value of one limit; 0 removes the limit.
	AccountLimit struct {
		Field Name   `parser:"@@"`
		Value Amount `parser:"@@"`
	}

	// SetService changes a service's policy or one of its weights.
	SetService struct {
		Service Name           `parser:"'service' @@"`
		Weight  *ServiceWeight `parser:"( 'weight' @@"`
		Policy  *Name          `parser:"| 'policy' @@ )"`
	}

	// ServiceWeight is the new value of one weight.
	ServiceWeight struct {
		Field Name   `parser:"@@"`
		Value Amount `parser:"@@"`
	}

	// Load adds a model to an endpoint's desired models.
	Load struct {
		Model    Name `parser:"'load' 'model' @@"`
		Endpoint Name `parser:"'on' @@"`
	}

	// Unload removes a model from an endpoint's desired models.
	Unload struct {
		Model    Name `parser:"'unload' 'model' @@"`
		Endpoint Name `parser:"'on' @@"`
	}

	// Cancel ends one stream.
	Cancel struct {
		Stream Name `parser:"'cancel' 'stream' @@"`
	}

	// Revoke removes the account key whose stored hash starts with Key.
	Revoke struct {
		Account Name `parser:"'revoke' 'account' @@"`
		Key     Name `parser:"'key' @@"`
	}
)

var (
	// Numbers and durations are lexed as words. The grammar decides by position
	// what a word means, so names such as 7b-chat or 10.0.0.1:80 need no quotes.
	tokens = lexer.MustSimple([]lexer.SimpleRule{
		{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
		{Name: "Op", Pattern: `!=|<=|>=|=|<|>|~`},
		{Name: "Punct", Pattern: `[(),]`},
		{Name: "Word", Pattern: `[^\s"()=!<>~,]+`},
		{Name: "Space", Pattern: `\s+`},
	})

	grammar = participle.MustBuild[Statement](
		participle.Lexer(tokens),
		participle.Elide("Space"),
		participle.Unquote("String"),
		participle.CaseInsensitive("Word"),
	)
)

// Command reports whether the statement is a command, not a query or help.
func (s *Statement) Command() bool { return s.Help == nil && s.Query == nil }
