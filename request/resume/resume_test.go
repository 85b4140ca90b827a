package resume_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/request/resume"
)

var (
	until = time.Unix(2_000_000_000, 0)
	token = resume.Token{
		Service: "guide", Endpoint: "e", Boot: "b", Generation: "g", Account: "riga", Caller: "a", Until: until,
	}
	sealer = resume.Sealer{Secrets: []string{"00112233445566778899aabbccddeeff", "ff"}}
)

// TestOpen guards against a token that is accepted from another caller, after
// its expiry, after a change of any byte, or without the secret that signed it.
func TestOpen(t *testing.T) {
	sealed, err := sealer.Seal(token)
	require.NoError(t, err)
	before := until.Add(-time.Second)
	got, err := sealer.Open(sealed, "riga", "a", before)
	require.NoError(t, err)
	require.True(t, got.Until.Equal(until))
	got.Until = until
	require.Equal(t, token, got)
	rotated := resume.Sealer{Secrets: []string{"aa", sealer.Secrets[0]}}
	_, err = rotated.Open(sealed, "riga", "a", before)
	require.NoError(t, err, "the secret was rotated")
	other := resume.Sealer{Secrets: []string{"aa", "not hex", ""}}
	for name, open := range map[string]func() error{
		"account": func() error { _, err := sealer.Open(sealed, "presov", "a", before); return err },
		"caller":  func() error { _, err := sealer.Open(sealed, "riga", "b", before); return err },
		"nobody":  func() error { _, err := sealer.Open(sealed, "riga", "", before); return err },
		"late":    func() error { _, err := sealer.Open(sealed, "riga", "a", until.Add(1)); return err },
		"secret":  func() error { _, err := other.Open(sealed, "riga", "a", before); return err },
		"none":    func() error { _, err := resume.Sealer{}.Open(sealed, "riga", "a", before); return err },
		"long":    func() error { _, err := sealer.Open(strings.Repeat("A", 800), "riga", "a", before); return err },
	} {
		require.ErrorIs(t, open(), resume.ErrInvalid, name)
	}
	// The last character is left out: it holds bits that the encoding does not
	// use.
	for i := range len(sealed) - 1 {
		changed := []byte(sealed)
		if changed[i]++; sealed[i] == 'z' || sealed[i] == 'Z' || sealed[i] == '9' {
			changed[i] = 'A'
		}
		_, err := sealer.Open(string(changed), "riga", "a", before)
		require.ErrorIs(t, err, resume.ErrInvalid, "character %d", i)
	}
	_, err = resume.Sealer{}.Seal(token)
	require.Error(t, err)
}

// FuzzToken guards against panics and against tokens that are accepted without
// the secret.
func FuzzToken(f *testing.F) {
	sealed, err := sealer.Seal(token)
	require.NoError(f, err)
	for _, id := range []string{resume.Join(sealed, 7), "x", "x.-1", ".1", "x.99999999999999999999", "AAAA.1", "x.+1"} {
		f.Add(id)
	}
	f.Fuzz(func(t *testing.T, id string) {
		part, n, err := resume.Split(id)
		if err != nil {
			require.ErrorIs(t, err, resume.ErrInvalid)
			return
		}
		require.GreaterOrEqual(t, n, 0)
		got, err := sealer.Open(part, token.Account, token.Caller, until)
		if err == nil {
			require.Equal(t, token.Generation, got.Generation)
		}
	})
}
