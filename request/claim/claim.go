// Package claim executes requests that are not idempotent at most once, even if
// callers repeat them at any entry and entries, stores and links fail.
//
// A request carries a key that the caller chose; the account and the key
// together identify it. At any time at most one process may dispatch a key, the
// key's holder:
//
//   - A bound key INSTANCE.UUID7 names its holder, an entry incarnation. No
//     write is needed.
//   - The holder of any other key is the process that holds its durable claim.
//
// Within the holder, the Ledger lets one call at a time run a key, and stores
// the outcome until the key expires. Guard combines claims and Ledger. Any other
// entry that receives the key queries the holder. The holder returns the result,
// or bars the key: it will never dispatch the key, so "not run" stays true from
// then on. If the holder cannot be reached, the outcome is unknown.
//
// A durable claim belongs to its holder until it expires. It is never
// transferred; only the holder may release it, and only if it has not dispatched
// the key and will not. A paused holder is therefore harmless: no other process
// runs its keys, and it checks the expiry before it dispatches.
//
// Keys hash to shards. The holder of the lease claim-SHARD, the Owner, collects
// the claims of all entries and writes many with one conditional write of the
// shard's open segment, the row claim/SHARD/SEGMENT. Leases alone cannot keep
// two owners from writing, since a paused owner may resume at any instant. Nor
// can writes be conditional on the version of the lease row, which changes with
// every renewal: writes in flight would fail every 2 s without need. Instead, a
// new owner first writes its fencing token to the row claim/SHARD/epoch, and
// every segment write checks the version of that row. Once the epoch is written,
// no write of an earlier owner takes effect, including writes still in flight,
// so the segments read afterwards are complete. The epoch is written only over a
// lower fencing token. The lease is thus needed for progress, the epoch row for
// safety.
//
// A write whose answer was lost is repeated unchanged: it takes effect at most
// once, because it is conditional on the version of its segment. If its outcome
// stays unknown, its claims are refused as not run. The requests behind them are
// not dispatched. If the claims take effect later, other entries query the
// holder that they name, which bars the key or claims it again under a higher
// nonce.
//
// "Not run" describes the request that is refused: it was not sent and will not
// be. While the store is down, an owner still answers for the claims in its
// memory, so a repeated request gets the outcome of the first one. If no owner
// can be reached, or its claims are still being read, an earlier request under
// the same key may have run, and the outcome is unknown. The same holds for an
// owner whose lease has ended and that cannot reach the store: a successor may
// have granted claims that it has not read. In an outage longer than a lease,
// requests under keys that need a claim are therefore refused as unknown, and
// requests under bound keys run.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

const (
	// Expiry is how long a key is remembered.
	Expiry = time.Hour
	// Shards is the default number of claim shards. The first owner writes the
	// number to the row claim/shards, and owners with another number do not
	// start. To change it, refuse durable claims for Expiry, then delete the row.
	Shards = 16

	// retention is how long a key is kept after its expiry, so that no entry
	// removes a key that another entry still treats as valid. It exceeds the
	// clock difference that leases tolerate.
	retention = time.Minute
	// maxAhead is how far in the future a key may have been minted.
	maxAhead = 5 * time.Minute
)

// ErrNotOwner reports that this process does not own the shard, or no longer
// owns it.
var ErrNotOwner = errors.New("claim shard is owned by another entry")

type (
	// Hash identifies a key of an account.
	Hash [16]byte

	// Key is a parsed key. Instance is empty for a key that is not bound, and
	// Minted is zero if the key contains no creation time.
	Key struct {
		Raw      string
		Instance string
		Minted   time.Time
	}

	// Claim requests the right of Holder to dispatch a key until Expiry. The
	// nonces of a holder increase; a claim with a higher nonce replaces one with
	// a lower nonce of the same holder.
	Claim struct {
		Holder  string
		Nonce   uint64
		Account string
		Hash    Hash
		Expiry  time.Time
	}

	// Grant names the holder of a key's claim. The requested claim was granted
	// if Holder and Nonce equal those of the request. Refusal carries an error
	// through RPC, where errors lose their type.
	Grant struct {
		Holder   string
		Nonce    uint64
		NotOwner bool
		Refusal  *refusal.Error
	}

	// Query asks the holder of a key for the key's state.
	Query struct {
		Account     string
		Key         string
		Fingerprint string
		Deadline    time.Time
	}

	// State is the state of a key at its holder.
	State string

	// Reply answers a Query. Result is set for Done, unless it was dropped to
	// save memory. Refusal is set for Expired and Unknown, and for Idle if the
	// key was refused.
	Reply struct {
		State   State
		Result  *Result
		Refusal *refusal.Error
	}

	// Result is the answer to a request.
	Result struct {
		Status int
		Header map[string][]string
		Body   []byte
	}
)

// States of a key.
const (
	Idle    State = "idle"    // not run, may be run
	Pending State = "pending" // a call is about to run it
	Running State = "running" // dispatched, no answer yet
	Done    State = "done"    // ran, result known
	Unknown State = "unknown" // may have run
	Barred  State = "barred"  // not run and never will
	Reused  State = "reused"  // the key was used with a different request
	Expired State = "expired" // older than Expiry
)

// ParseKey parses a key. A key that is not of the form INSTANCE.UUID7 is not
// bound; Minted is set for every key that ends in a UUIDv7.
func ParseKey(raw string) Key {
	key := Key{Raw: raw}
	i := strings.LastIndexByte(raw, '.')
	id, err := uuid.Parse(raw[i+1:])
	if err != nil || id.Version() != 7 || len(raw)-i-1 != 36 {
		return key
	}
	key.Instance = raw[:max(i, 0)]
	key.Minted = time.UnixMilli(int64(binary.BigEndian.Uint64(id[:8]) >> 16))
	return key
}

// NewKey makes a key that is bound to an entry incarnation.
func NewKey(instance string) (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", fmt.Errorf("make key: %w", err)
	}
	return instance + "." + id.String(), nil
}

// expiry returns the time until which a key first seen at now is remembered.
func (k Key) expiry(now time.Time) time.Time {
	if k.Minted.After(now) {
		now = k.Minted
	}
	return now.Round(0).Add(Expiry)
}

// check refuses a key that is empty, too old to be remembered, or minted so far
// in the future that it would have to be remembered for much longer than Expiry.
func (k Key) check(now time.Time) *refusal.Error {
	switch {
	case k.Raw == "":
		return refusal.New(refusal.NoKey, refusal.NotRun, "the request needs a key")
	case k.Minted.IsZero():
		return nil
	case !now.Round(0).Before(k.Minted.Add(Expiry)):
		return refusal.New(refusal.KeyExpired, refusal.Unknown, "the key is older than is remembered")
	case k.Minted.After(now.Round(0).Add(maxAhead)):
		return refusal.New(refusal.BadRequest, refusal.NotRun, "the key was made in the future")
	}
	return nil
}

// HashKey hashes a key of an account. Accounts do not trust each other, so the
// hash is collision-resistant.
func HashKey(account, key string) Hash {
	data := binary.AppendUvarint(nil, uint64(len(account)))
	data = append(append(data, account...), key...)
	sum := sha256.Sum256(data)
	return Hash(sum[:16])
}

// Shard returns the shard of a key out of n, or out of Shards if n is not
// positive.
func (h Hash) Shard(n int) int {
	if n <= 0 {
		n = Shards
	}
	return int(binary.BigEndian.Uint64(h[:8]) % uint64(n))
}

// Granted reports whether g grants c.
func (g Grant) Granted(c Claim) bool { return g.Holder == c.Holder && g.Nonce == c.Nonce }
