// Package resume implements the resume tokens with which a caller can continue
// to read a stream through any entry.
//
// A resume token contains the service, the endpoint, the engine's boot, the
// generation, the account, the caller and an expiry time, and is authenticated
// by an HMAC with a secret from the configuration. No entry keeps state for it.
// An event ID is the sealed resume token followed by a dot and the number of
// the last token of the generation that was received. The number is not
// authenticated, because a caller may read its own stream from any position.
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
	macBytes      = 16  // 128 bits are safe against guessing; the full 32 bytes would lengthen every event
	maxTokenBytes = 768 // longest encoded resume token that is accepted
)

// ErrInvalid is returned for a resume token that is malformed, forged, expired
// or was issued to another caller.
var ErrInvalid = errors.New("resume token is not valid")

type (
	// Token is the content of a resume token.
	Token struct {
		Service    string
		Endpoint   string
		Boot       string // run of the engine process that executes the generation
		Generation string
		Account    string
		Caller     string
		Until      time.Time // expiry
	}

	// Sealer encodes and verifies resume tokens. The secrets are in
	// hexadecimal. The first one signs new tokens, and each one is accepted
	// when a token is verified, so that secrets can be rotated.
	Sealer struct {
		Secrets []string
	}
)

// Seal encodes t and signs it with the first secret.
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

// Open decodes a sealed token. It returns ErrInvalid unless the signature
// matches, the token was issued to this account and caller, and it has not
// expired at time now.
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

// Join returns the event ID of token n of a stream.
func Join(sealed string, n int) string { return sealed + "." + strconv.Itoa(n) }

// Split separates an event ID into the sealed resume token and the number of a
// token. It returns ErrInvalid if the number is missing, malformed or negative.
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
