package operator

import (
	"fmt"
	"slices"
	"strings"
)

// topic describes one statement or clause of the language.
type topic struct {
	name        string
	usage       []string
	description string
}

// topics are in the order in which help lists them. Syntax errors list the usage
// lines too.
var topics = []topic{
	{"show", []string{"show RELATION [where CONDITION] [order by FIELD [desc], ...] [limit N]"}, "shows rows of a relation: " + strings.Join(Relations, ", ")},
	{"where", []string{"where FIELD OP VALUE [and|or ...]"}, "OP is = != < <= > >= or ~ (contains); not and parentheses group; values are numbers, durations such as 2s, true, false, names or \"quoted text\""},
	{"drain", []string{"drain endpoint|place|entry NAME [at VERSION] [wait DURATION]"}, "stops new work; running work ends normally"},
	{"undrain", []string{"undrain endpoint|place|entry NAME [at VERSION] [wait DURATION]"}, "allows new work again"},
	{"move", []string{"move account NAME to ENTRY [at VERSION] [wait DURATION]"}, "sends the account's callers to this entry first"},
	{"set", []string{
		"set account NAME rank 0..9 [at VERSION] [wait DURATION]",
		"set account NAME limit rate|burst|active|tokens N [at VERSION] [wait DURATION]",
		"set service NAME weight stall|gap|preempt N [at VERSION] [wait DURATION]",
		"set service NAME policy " + strings.Join(policies, "|") + " [at VERSION] [wait DURATION]",
	}, "changes an account or a service; a limit of 0 removes the limit"},
	{"load", []string{"load model NAME on ENDPOINT [at VERSION] [wait DURATION]"}, "adds a model to an endpoint"},
	{"unload", []string{"unload model NAME on ENDPOINT [at VERSION] [wait DURATION]"}, "removes a model from an endpoint once its streams have ended"},
	{"cancel", []string{"cancel stream ID [wait DURATION]"}, "ends a stream"},
	{"revoke", []string{"revoke account NAME key PREFIX [at VERSION] [wait DURATION]"}, "removes the key whose stored hash starts with PREFIX"},
	{"at", []string{"COMMAND at VERSION"}, "refuses the command if the configuration is no longer at the version that you saw"},
	{"wait", []string{"COMMAND wait DURATION"}, "answers when the command is in force everywhere, or after DURATION with the names of those that lack it"},
	{"help", []string{"help [TOPIC]"}, "explains the language, a statement or a relation"},
}

func usageOf(verb string) []string {
	for _, t := range topics {
		if t.name == verb {
			return t.usage
		}
	}
	return nil
}

func topicNames() []string {
	names := make([]string, 0, len(topics)+len(Relations))
	for _, t := range topics {
		names = append(names, t.name)
	}
	return append(names, Relations...)
}

// explain returns the text for a help statement. The fields of a relation are
// read from s.
func explain(h Help, text string, s Sources) (string, error) {
	if h.Topic == nil {
		return overview(), nil
	}
	word := strings.ToLower(h.Topic.Text)
	if slices.Contains(Relations, word) {
		return relationHelp(word, s), nil
	}
	for _, t := range topics {
		if t.name == word {
			return strings.Join(t.usage, "\n") + "\n  " + t.description + "\n", nil
		}
	}
	return "", errorAt(BadName, text, h.Topic.Pos.Offset, "unknown topic %q", h.Topic.Text).allow(word, topicNames())
}

func overview() string {
	var b strings.Builder
	for _, t := range topics {
		fmt.Fprintf(&b, "%s\n  %s\n", strings.Join(t.usage, "\n"), t.description)
	}
	return b.String()
}

func relationHelp(relation string, s Sources) string {
	var b strings.Builder
	fmt.Fprintf(&b, "show %s", relation)
	table, ok := s.table(relation)
	if !ok {
		b.WriteString("\n  not available on this entry\n")
		return b.String()
	}
	b.WriteString("\n  fields:")
	for _, c := range table.Columns {
		fmt.Fprintf(&b, " %s (%s)", c.Name, c.Kind)
	}
	b.WriteByte('\n')
	return b.String()
}
