package table

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"fuchsiapick.example/fuchsiapick/document"
)

const (
	// MaxKeys is more keys than an account needs, also while old keys are being replaced.
	MaxKeys = 100
	// fingerprintLength is the number of leading digits of a key's digest that String shows.
	fingerprintLength = 8
)

// KeyDigests are the digests of an account's keys. The table holds digests because many
// people read it and none of them needs the keys themselves.
type KeyDigests []string

// DigestOf returns the SHA-256 of a key in lower-case hexadecimal digits.
func DigestOf(key []byte) string {
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:])
}

// String returns the number of digests and the first digits of each, enough to
// distinguish them in a log.
func (k KeyDigests) String() string {
	prefixes := make([]string, 0, len(k))
	for _, digest := range k {
		prefixes = append(prefixes, digest[:min(len(digest), fingerprintLength)])
	}
	return fmt.Sprintf("%d (%s)", len(k), strings.Join(prefixes, " "))
}

// HasKeys reports whether requests need a key of a client account, except by public routes.
func (t *Table) HasKeys() bool {
	return t.RequireKeys || len(t.Accounts) > 0
}

// NeedsKey reports whether a request by the route needs the key of a client account.
func (t *Table) NeedsKey(r *Route) bool {
	return t.HasKeys() && !r.Public
}

// Account finds the client account that holds a key.
func (t *Table) Account(key []byte) (*Account, bool) {
	i, ok := t.lookup.accounts[sha256.Sum256(key)]
	if !ok {
		return nil, false
	}
	return &t.Accounts[i], true
}

// AccountNamed finds a client account by its name.
func (t *Table) AccountNamed(name string) (*Account, bool) {
	i, ok := t.lookup.accountNames[name]
	if !ok {
		return nil, false
	}
	return &t.Accounts[i], true
}

// indexAccounts fills the maps that find accounts by key and by name. It skips malformed
// digests: the checks of a table refuse them.
func (x *index) indexAccounts(accounts []Account) {
	x.accounts = make(map[[sha256.Size]byte]int, len(accounts))
	x.accountNames = make(map[string]int, len(accounts))
	for i := range accounts {
		x.accountNames[accounts[i].Name] = i
		for _, text := range accounts[i].Keys {
			if digest, err := hex.DecodeString(text); err == nil && len(digest) == sha256.Size {
				x.accounts[[sha256.Size]byte(digest)] = i
			}
		}
	}
}

func (c *checker) checkAccount(n *document.Node, a *Account) {
	c.doc.CheckName(n, "name", a.Name)
	if a.Name != "" {
		c.checkUnique(c.accounts, n, "name", a.Name, "a name that no other account has")
	}
	if len(a.Keys) > MaxKeys {
		c.doc.Refuse(n, "keys", fmt.Sprintf("%d keys", len(a.Keys)), fmt.Sprintf("at most %d", MaxKeys))
	}
	for _, digest := range a.Keys {
		if !isDigest(digest) {
			// The entry may be a key written in place of its digest, which must not reach a log.
			c.doc.Refuse(n, "keys", "an entry", "SHA-256 digests of 64 lower-case hexadecimal digits")
			continue
		}
		c.checkUnique(c.keys, n, "keys", digest, "a key that no other account has")
	}
	document.CheckRange(c.doc, n, "rate", a.Rate, 0, MaxRate)
	document.CheckRange(c.doc, n, "burst", a.Burst, 0, MaxRate)
	document.CheckRange(c.doc, n, "priority", a.Priority, RoutePriority, MaxPriority)
	document.CheckRange(c.doc, n, "weight", a.Weight, 0, MaxAccountWeight)
}

func isDigest(text string) bool {
	digest, err := hex.DecodeString(text)
	return err == nil && len(digest) == sha256.Size && text == strings.ToLower(text)
}
