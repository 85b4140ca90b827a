// Package resume seals the position of a stream, so that a caller can go on
// reading it through any entry.
//
// A token names the endpoint, the engine's boot, the generation, the account
// and the caller, and carries an HMAC made with a secret from the
// configuration. No entry keeps state for it. The number of the last token
// that was received follows the sealed part after a dot: it needs no seal,
// because a caller may read its own stream from any position.
package resume

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	macBytes      = 16  // 128 bits resist guessing; the full 32 bytes would lengthen every event
	maxTokenBytes = 768 // longest token accepted
)

// ErrInvalid reports a token that is malformed, forged, expired or foreign.
var ErrInvalid = errors.New("resume token is not valid")

type (
	// Token is what a resume token says.
	Token struct {
		Service    string
		Endpoint   string
		Boot       string // the engine process that runs the generation
		Generation string
		Account    string
		Caller     string
		Until      time.Time // after this the token is refused
	}

	// Sealer makes and verifies tokens. Secrets are in hex: the first seals, all
	// verify, so that secrets can be rotated.
	Sealer struct {
		Secrets []string
	}
)

// Seal encodes and authenticates t.
func (s Sealer) Seal(t Token) (string, error) {
	if len(s.Secrets) == 0 {
		return "", errors.New("no secret to seal resume tokens with")
	}
	body, err := msgpack.Marshal(&t)
	if err != nil {
		return "", fmt.Errorf("encode resume token: %w", err)
	}
	mac, err := sign(s.Secrets[0], body)
	if err != nil {
		return "", err
	}
	return base64.RawURLEncoding.EncodeToString(append(mac, body...)), nil
}

// Open verifies a token for an account and a caller at time now.
func (s Sealer) Open(sealed, account, caller string, now time.Time) (Token, error) {
	if len(sealed) > maxTokenBytes {
		return Token{}, fmt.Errorf("token of %d bytes: %w", len(sealed), ErrInvalid)
	}
	data, err := base64.RawURLEncoding.DecodeString(sealed)
	if err != nil || len(data) <= macBytes {
		return Token{}, fmt.Errorf("malformed token: %w", ErrInvalid)
	}
	if !s.verify(data[:macBytes], data[macBytes:]) {
		return Token{}, fmt.Errorf("seal does not match: %w", ErrInvalid)
	}
	var t Token
	if err := msgpack.Unmarshal(data[macBytes:], &t); err != nil {
		return Token{}, fmt.Errorf("decode token: %w", ErrInvalid)
	}
	if t.Account != account || t.Caller != caller {
		return Token{}, fmt.Errorf("token belongs to another caller: %w", ErrInvalid)
	}
	if now.After(t.Until) {
		return Token{}, fmt.Errorf("token expired at %s: %w", t.Until.UTC().Format(time.RFC3339), ErrInvalid)
	}
	return t, nil
}

func (s Sealer) verify(mac, body []byte) bool {
	for _, secret := range s.Secrets {
		want, err := sign(secret, body)
		if err == nil && hmac.Equal(mac, want) {
			return true
		}
	}
	return false
}

func sign(secret string, body []byte) ([]byte, error) {
	key, err := hex.DecodeString(secret)
	if err != nil {
		return nil, fmt.Errorf("decode secret: %w", err)
	}
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)[:macBytes], nil
}

// Join gives the event ID of token n of a stream.
func Join(sealed string, n int) string { return sealed + "." + strconv.Itoa(n) }

// Split takes an event ID apart.
func Split(id string) (sealed string, n int, err error) {
	i := strings.LastIndexByte(id, '.')
	if i < 0 {
		return "", 0, fmt.Errorf("event ID has no position: %w", ErrInvalid)
	}
	n, err = strconv.Atoi(id[i+1:])
	if err != nil || n < 0 {
		return "", 0, fmt.Errorf("position %q is not a number: %w", id[i+1:], ErrInvalid)
	}
	return id[:i], n, nil
}
