package engine

import "github.com/cespare/xxhash/v2"

const (
	// PrefixBytes is the size of the blocks in which prompts are cached.
	PrefixBytes = 256
	// BytesPerToken is the mean size of a token in a prompt.
	BytesPerToken = 4

	maxPrefixes = 64 // a longer prefix is not looked up
)

// Prefixes gives the hash of each prefix of the prompt that ends at a whole
// block, shortest first, as engines use them in cache events.
func Prefixes(prompt string) []uint64 {
	n := min(len(prompt)/PrefixBytes, maxPrefixes)
	if n == 0 {
		return nil
	}
	hashes := make([]uint64, n)
	d := xxhash.New()
	for i := range n {
		_, _ = d.WriteString(prompt[i*PrefixBytes : (i+1)*PrefixBytes])
		hashes[i] = d.Sum64()
	}
	return hashes
}

// Tokens estimates the number of tokens of a prompt.
func Tokens(prompt string) int { return max(len(prompt)/BytesPerToken, 1) }
