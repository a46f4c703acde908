package job

import (
	"fmt"
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func configWithAccounts(accounts ...Account) *Config {
	return &Config{Version: 1, HasAccounts: true, Accounts: accounts}
}

// Guards against invalid accounts that are acknowledged, and against keys in error messages.
func TestInvalidAccountsAreRefused(t *testing.T) {
	key := DigestKey("secret")
	for name, test := range map[string]struct {
		accounts []Account
		want     string
	}{
		"shared key":      {[]Account{{Name: "a", Weight: 1, Keys: []KeyDigest{key}}, {Name: "b", Weight: 1, Keys: []KeyDigest{key}}}, `account "b": key 1 is also a key of account "a"`},
		"key twice":       {[]Account{{Name: "a", Weight: 1, Keys: []KeyDigest{key, key}}}, `account "a": key 2 is also a key of account "a"`},
		"same name":       {[]Account{{Name: "a", Weight: 1}, {Name: "a", Weight: 1}}, `account "a" is defined twice`},
		"no name":         {[]Account{{Weight: 1}}, "an account has no name"},
		"no weight":       {[]Account{{Name: "a"}}, `account "a": weight 0; want more than 0`},
		"infinite weight": {[]Account{{Name: "a", Weight: math.Inf(1)}}, `account "a": weight \+Inf; want more than 0`},
		"weight NaN":      {[]Account{{Name: "a", Weight: math.NaN()}}, `account "a": weight NaN; want more than 0`},
		"negative limit":  {[]Account{{Name: "a", Weight: 1, Limit: Resources{MemoryMB: -1}}}, `account "a": limit .* is negative`},
	} {
		t.Run(name, func(t *testing.T) {
			err := configWithAccounts(test.accounts...).Check()
			qt.Assert(t, err, qt.ErrorMatches, test.want)
			qt.Assert(t, strings.Contains(err.Error(), "secret"), qt.IsFalse)
		})
	}
}

// Guards against keys that are not withdrawn with the version that removes them, and against an
// index that a restored snapshot lacks.
func TestKeysFollowTheConfiguration(t *testing.T) {
	c := qt.New(t)
	s := NewState()
	s.Apply(Op{Config: configWithAccounts(Account{Name: "a", Weight: 1, Keys: []KeyDigest{DigestKey("old")}})})
	c.Assert(s.AccountByKey(DigestKey("old")).Name, qt.Equals, "a")
	next := configWithAccounts(Account{Name: "a", Weight: 1, Keys: []KeyDigest{DigestKey("new")}})
	next.Version = 2
	s.Apply(Op{Config: next})
	restored := NewState()
	c.Assert(restored.Restore(s.Snapshot()), qt.IsNil)
	for _, state := range []*State{s, restored} {
		c.Assert(state.AccountByKey(DigestKey("old")), qt.IsNil)
		c.Assert(state.AccountByKey(DigestKey("new")), qt.Equals, state.Account("a"))
		c.Assert(state.Account("a").Weight, qt.Equals, 1.0)
	}
}

// Guards against a check of keys that is quadratic in their number.
func TestManyKeysAreAccepted(t *testing.T) {
	a := Account{Name: "a", Weight: 1}
	for i := range 10_000 {
		a.Keys = append(a.Keys, DigestKey(fmt.Sprint(i)))
	}
	qt.Assert(t, configWithAccounts(a).Check(), qt.IsNil)
}
