//go:build race

package compare

func init() { race = true }
