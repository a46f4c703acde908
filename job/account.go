package job

import (
	"crypto/sha256"
	"math"

	"github.com/pkg/errors"
)

// KeyDigest is the SHA-256 digest of a key that callers present. Only digests are stored and sent
// between VMs.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Account is a client account: callers that share keys, a part of each pool and a limit.
type Account struct {
	Name string      `cbor:"1,keyasint"`
	Keys []KeyDigest `cbor:"2,keyasint,omitempty"`
	// Weight is the account's part of a full pool, relative to the weights of the other accounts.
	Weight float64 `cbor:"3,keyasint"`
	// Priority has no effect: the platform does not define it.
	Priority int `cbor:"4,keyasint,omitempty"`
	// Limit is what the account's tasks may have allocated on all workers together; 0 in a
	// dimension means no limit.
	Limit Resources `cbor:"5,keyasint,omitempty"`
}

// checkAccounts returns an error if a name or a key is not unique, or a weight or a limit is out of
// range. It never contains a key.
func checkAccounts(accounts []Account) error {
	names := make(map[string]bool, len(accounts))
	owners := map[KeyDigest]string{}
	for _, a := range accounts {
		switch {
		case a.Name == "":
			return errors.New("an account has no name")
		case names[a.Name]:
			return errors.Errorf("account %q is defined twice", a.Name)
		case !(a.Weight > 0) || math.IsInf(a.Weight, 0):
			return errors.Errorf("account %q: weight %v; want more than 0", a.Name, a.Weight)
		case a.Limit.MilliCPU < 0 || a.Limit.MemoryMB < 0 || a.Limit.GPU < 0:
			return errors.Errorf("account %q: limit %+v is negative", a.Name, a.Limit)
		}
		names[a.Name] = true
		for i, key := range a.Keys {
			if owner, taken := owners[key]; taken {
				return errors.Errorf("account %q: key %d is also a key of account %q", a.Name, i+1, owner)
			}
			owners[key] = a.Name
		}
	}
	return nil
}

// accountIndex finds the accounts of a configuration by name and by key.
type accountIndex struct {
	byName map[string]*Account
	byKey  map[KeyDigest]*Account
}

func newAccountIndex(accounts []Account) accountIndex {
	x := accountIndex{map[string]*Account{}, map[KeyDigest]*Account{}}
	for i := range accounts {
		x.byName[accounts[i].Name] = &accounts[i]
		for _, key := range accounts[i].Keys {
			x.byKey[key] = &accounts[i]
		}
	}
	return x
}

// Account returns the account with a name in the current configuration, or nil.
func (s *State) Account(name string) *Account { return s.accounts.byName[name] }

// AccountByKey returns the account of a key in the current configuration, or nil.
func (s *State) AccountByKey(key KeyDigest) *Account { return s.accounts.byKey[key] }
