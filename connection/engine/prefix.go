package engine

import "github.com/cespare/xxhash/v2"

const (
	// BlockBytes is the size in bytes of the blocks in which engines cache prompts.
	BlockBytes = 256
	// BytesPerToken is the mean size in bytes of the tokens of a prompt.
	BytesPerToken = 4

	maxPrefixes = 64 // limit of the hashes per prompt; longer prefixes are not looked up
)

// PrefixHashes returns the hash of each prefix of the prompt that ends at a block
// boundary, shortest first. Engines use the same hashes in cache events.
func PrefixHashes(prompt string) []uint64 {
	n := min(len(prompt)/BlockBytes, maxPrefixes)
	if n == 0 {
		return nil
	}
	hashes := make([]uint64, n)
	d := xxhash.New()
	for i := range n {
		_, _ = d.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		hashes[i] = d.Sum64()
	}
	return hashes
}

// EstimateTokens returns an estimate of the number of a prompt's tokens, at least
// 1.
func EstimateTokens(prompt string) int { return max(len(prompt)/BytesPerToken, 1) }
