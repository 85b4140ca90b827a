// Package claim executes requests that are not idempotent at most once,
// although callers repeat them at any entry and entries, stores and links fail.
//
// A request carries a key that the caller chose; the account and the key
// together identify it. At any time one process at most may dispatch a key:
//
//   - A bound key INSTANCE.UUID7 names that process, an entry incarnation. No
//     write is needed.
//   - For any other key, the process is the one that holds its durable claim.
//
// Within the process, the Ledger lets one call at a time run a key, and keeps
// what became of it until the key expires. Guard puts both together. An entry
// that is not the one asks it, and gets the result, or a bar: the asked entry
// will never dispatch the key, so that "not run" is true from then on. If the
// one cannot be reached, the outcome is unknown.
//
// A durable claim belongs to its holder until it expires. It is never
// transferred; the holder alone may release it, if it has not dispatched the
// key and will not. A paused holder is therefore harmless: nobody else runs its
// keys, and it compares the expiry before it dispatches.
//
// Keys hash to shards. The holder of the lease claim-SHARD, the Owner, gathers
// the claims of all entries and writes many with one conditional write of the
// shard's open segment, the row claim/SHARD/SEGMENT. Leases alone cannot keep
// two owners from writing, since a paused one may resume at any instant. Nor can
// writes be conditional on the version of the lease row, which changes with
// every renewal: writes in flight would fail every 2 s for no reason. Instead, a
// new owner first writes its fencing token to the row claim/SHARD/epoch, and
// every segment write checks the version of that row. From the moment of the
// epoch's write no write of an earlier owner takes effect, including those still
// on their way, so the segments read afterwards are complete. The epoch is
// written only over a lower fencing token. The lease is thus needed for
// progress, the epoch row for safety.
//
// A write whose answer was lost is repeated unchanged: it takes effect once,
// because it is conditional on the version of its segment. If it stays unknown,
// its claims are refused as not run. The requests that asked are not dispatched,
// and the claims, should they turn up, only ever lead to their own holder,
// which bars the key or takes it anew under a higher nonce.
//
// "Not run" is said of the request that is refused: it was not sent and will
// not be. While the store is down, an owner goes on answering for the claims
// that it knows, so a repeated request learns of the first one. If no owner can
// be reached, or its claims are still being read, an earlier request under the
// same key may have run, and the outcome is unknown. The same holds for an owner
// whose lease is over and that cannot reach the store: it does not know what a
// successor granted. So in an outage longer than a lease, requests under keys
// that need a claim are refused as unknown, and those under bound keys run.
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

	// retention is how much longer than its expiry a key is kept, so that no
	// entry forgets a key that another still answers for. It exceeds the
	// difference of clocks that leases tolerate.
	retention = time.Minute
	// maxAhead is how far in the future a key may have been minted.
	maxAhead = 5 * time.Minute
)

// ErrNotOwner reports that this process does not own the shard (any more).
var ErrNotOwner = errors.New("claim shard is owned by another entry")

type (
	// Hash identifies a key of an account.
	Hash [16]byte

	// Key is a parsed key. Instance is empty for a key that is not bound, and
	// Minted is zero if the key does not tell when it was made.
	Key struct {
		Raw      string
		Instance string
		Minted   time.Time
	}

	// Claim asks for the right of Holder to dispatch a key until Expiry. Nonces
	// of a holder increase; a higher one replaces a lower one of the same holder.
	Claim struct {
		Holder  string
		Nonce   uint64
		Account string
		Hash    Hash
		Expiry  time.Time
	}

	// Grant tells who holds a claim. It is granted if holder and nonce are those
	// of the claim that was asked for. Refusal is for use in RPC, where errors
	// lose their type.
	Grant struct {
		Holder   string
		Nonce    uint64
		NotOwner bool
		Refusal  *refusal.Error
	}

	// Query asks the entry that may dispatch a key what became of it.
	Query struct {
		Account     string
		Key         string
		Fingerprint string
		Deadline    time.Time
	}

	// State is what became of a key at the entry that may dispatch it.
	State string

	// Reply answers a Query. Result is set for Done, unless it was dropped to
	// save memory. Refusal is set for Unknown.
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
	Reused  State = "reused"  // the key belongs to a different request
	Expired State = "expired" // older than is remembered
)

// ParseKey parses a key. What is not of the form INSTANCE.UUID7 is not bound;
// Minted is known for every key that ends in a UUIDv7.
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

// expiry gives the time until which a key first seen at now is remembered.
func (k Key) expiry(now time.Time) time.Time {
	if k.Minted.After(now) {
		now = k.Minted
	}
	return now.Round(0).Add(Expiry)
}

// check refuses a key that is too old to be remembered, or minted so far in the
// future that it would have to be remembered for long.
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
// hash resists collisions that are sought.
func HashKey(account, key string) Hash {
	data := binary.AppendUvarint(nil, uint64(len(account)))
	data = append(append(data, account...), key...)
	sum := sha256.Sum256(data)
	return Hash(sum[:16])
}

// Shard gives the shard of a key out of n, or out of Shards if n is 0.
func (h Hash) Shard(n int) int {
	if n <= 0 {
		n = Shards
	}
	return int(binary.BigEndian.Uint64(h[:8]) % uint64(n))
}

// Granted tells whether g grants c.
func (g Grant) Granted(c Claim) bool { return g.Holder == c.Holder && g.Nonce == c.Nonce }
