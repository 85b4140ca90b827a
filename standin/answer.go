// Package standin holds simulated endpoints for tests, demonstrations and
// measurements: a model engine and a plain service, each served over HTTP.
//
// The engine's output is a pure function of the prompt, so that a test which
// sent the prompt can compute every token of the correct answer.
package standin

import (
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	medianTokens = 120  // median output length
	spreadTokens = 1.3  // standard deviation of the logarithm of the output length
	maxTokens    = 8192 // longest output without a limit from the request
	lengthMarker = "length="
)

// Length returns the number of tokens that the engine generates for a prompt,
// at most limit unless that is 0. The number is N for a prompt that contains
// "length=N", else it is derived from the prompt's hash with a log-normal
// distribution.
func Length(prompt string, limit int) int {
	n := naturalLength(prompt)
	if limit > 0 {
		n = min(n, limit)
	}
	return n
}

func naturalLength(prompt string) int {
	if _, rest, ok := strings.Cut(prompt, lengthMarker); ok {
		digits, _, _ := strings.Cut(rest, " ")
		if n, err := strconv.Atoi(digits); err == nil && n > 0 {
			return min(n, 1_000_000)
		}
	}
	// Two hash halves give one normal variate (Box and Muller, 1958).
	h := xxhash.Sum64String(prompt)
	u := (float64(h>>32) + 1) / (1 << 32)
	v := float64(h&(1<<32-1)) / (1 << 32)
	z := math.Sqrt(-2*math.Log(u)) * math.Cos(2*math.Pi*v)
	n := int(medianTokens * math.Exp(spreadTokens*z))
	return min(max(n, 1), maxTokens)
}

// Token returns token n, counted from 1, of the answer to a prompt.
func Token(prompt string, n int) string {
	h := xxhash.Sum64String(prompt) ^ uint64(n)*0x9e3779b97f4a7c15
	return " " + strconv.FormatUint(h&0xfffff, 36)
}

// Text returns the whole answer to a prompt.
func Text(prompt string, limit int) string {
	var b strings.Builder
	for n := 1; n <= Length(prompt, limit); n++ {
		b.WriteString(Token(prompt, n))
	}
	return b.String()
}
