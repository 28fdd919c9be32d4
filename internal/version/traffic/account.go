package traffic

import (
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"math"
)

// Account is a client account: callers that share a quota and a priority. Its
// callers present one of its keys with each request.
type Account struct {
	Name string `json:"name"`
	// Keys holds the digests of the account's keys; the keys themselves are never
	// kept or exchanged between nodes.
	Keys []KeyDigest `json:"keys"`
	// Priority takes precedence over the priority of a route; 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// Rate is the quota in requests per second over all nodes, and Burst the number
	// of requests beyond it; a Rate of 0 sets no quota.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}

// keyDigestBytes is the length of a key's digest. 128 bits rule out that another
// key with the same digest is found, and keep a configuration with 30,000 keys
// small.
const keyDigestBytes = 16

// KeyDigest is the truncated SHA-256 digest of an account's key.
type KeyDigest [keyDigestBytes]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:keyDigestBytes])
}

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, d[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	b, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil {
		return fmt.Errorf("digest of a key: %w", err)
	}
	if len(b) != keyDigestBytes {
		return fmt.Errorf("digest of a key has %d bytes, want %d", len(b), keyDigestBytes)
	}
	*d = KeyDigest(b)
	return nil
}

// Fingerprint identifies a key in logs without revealing it.
func (d KeyDigest) Fingerprint() string {
	const fingerprintBytes = 4
	return fmt.Sprintf("%x", d[:fingerprintBytes])
}

// checkAccounts returns the first fault of each account.
func (c *Config) checkAccounts() []error {
	var faults []error
	names, owners := map[string]bool{}, map[KeyDigest]string{}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		if err := a.check(names, owners); err != nil {
			faults = append(faults, fmt.Errorf("client account %q: %w", a.Name, err))
		}
		names[a.Name] = true
	}
	return faults
}

func (a *Account) check(names map[string]bool, owners map[KeyDigest]string) error {
	switch {
	case a.Name == "":
		return errors.New("the account has no name")
	case names[a.Name]:
		return errors.New("the name is used twice")
	case !isQuota(a.Rate) || !isQuota(a.Burst):
		return errors.New("the rate and the burst must be finite and not negative")
	}
	for _, key := range a.Keys {
		if owner, ok := owners[key]; ok && owner != a.Name {
			return fmt.Errorf("key %s also belongs to account %q", key.Fingerprint(), owner)
		}
		owners[key] = a.Name
	}
	return nil
}

func isQuota(n float64) bool { return n >= 0 && !math.IsInf(n, 1) }

// indexAccounts builds the index of accounts by key.
func (t *Table) indexAccounts() {
	keys := 0
	for i := range t.Config.Accounts {
		keys += len(t.Config.Accounts[i].Keys)
	}
	if keys == 0 {
		return
	}
	t.accounts = make(map[KeyDigest]*Account, keys)
	for i := range t.Config.Accounts {
		a := &t.Config.Accounts[i]
		for _, key := range a.Keys {
			t.accounts[key] = a
		}
	}
}

// Account returns the account that a key belongs to, or nil if there is none.
func (t *Table) Account(key KeyDigest) *Account { return t.accounts[key] }
