package cell

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest"

	"github.com/oleanderchute/oleanderchute/dispatch"
	"github.com/oleanderchute/oleanderchute/job"
)

// accountConfig returns a configuration with a route at "/d/" that needs a key, a public one at "/p/",
// and one account of each name with its keys.
func accountConfig(version int64, keysByAccount map[string][]string) *job.Config {
	config := testConfig(version)
	public := config.Queues[0]
	public.Name, public.Prefix, public.Public = "public", "/p/", true
	config.Queues = append(config.Queues, public)
	config.HasAccounts = true
	for name, keys := range keysByAccount {
		a := job.Account{Name: name, Weight: 1}
		for _, key := range keys {
			a.Keys = append(a.Keys, job.DigestKey(key))
		}
		config.Accounts = append(config.Accounts, a)
	}
	return config
}

func (c Call) withKey(key string) Call {
	if key != "" {
		digest := job.DigestKey(key)
		c.Key = &digest
	}
	return c
}

// callerKinds are calls about job 1 of each kind that callers make.
func callerKinds(prefix string) map[string]Call {
	path := prefix + job.ID(1).String()
	explain := submitCall(prefix)
	explain.Kind = ExplainJob
	return map[string]Call{"submit": submitCall(path), "state": {Kind: QueryJob, Host: "h", Path: path}, "cancel": {Kind: CancelJob, Host: "h", Path: path},
		"pending": {Kind: CountPending, Host: "h", Path: prefix}, "pending by path": {Kind: QueryJob, Host: "h", Path: prefix}, "explain": explain}
}

// soloHost is the host of a keeper without a group: what it proposes is committed at once.
type soloHost struct {
	*replicaHost
	log zaptest.Buffer
}

func newSoloHost(c *qt.C, config *job.Config) *soloHost {
	h := &soloHost{}
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.Lock(&h.log), zap.DebugLevel))
	n, err := New(Settings{Address: "a:1", Seeds: []string{"a:1"}, DataDir: "unused", PublicAddress: "a:2", Dispatch: dispatch.Settings{MaxLease: time.Second,
		StopTimeout: time.Second, EndedJobRetention: time.Minute}}, newFakeWorkers(), noAdvisor{}, log)
	c.Assert(err, qt.IsNil)
	h.replicaHost = newReplicaHost(n)
	h.epoch = 1
	h.apply(job.Op{Config: config})
	return h
}

func (h *soloHost) apply(op job.Op) {
	h.state.Apply(op)
	h.logApplied(op)
}

// call serves a caller's call and commits what it proposes.
func (h *soloHost) call(call Call) Reply {
	var reply Reply
	h.serveCaller(call, func(r Reply) { reply = r })
	ops, callbacks := h.pendingOps, h.pendingCallbacks
	h.pendingOps, h.pendingCallbacks = nil, nil
	for _, op := range ops {
		h.apply(op)
	}
	for _, done := range callbacks {
		done(true)
	}
	return reply
}

// Guards against a kind of call that is served without a valid key, one that is refused although its key
// is valid or its queue is public, an unknown route that is not reported as such, and a check without accounts.
func TestCallsNeedAKey(t *testing.T) {
	withAccounts := accountConfig(1, map[string][]string{"ada": {"ada-1", "ada-2"}, "bob": {"bob-1"}})
	noKeys := accountConfig(1, map[string][]string{"ada": nil})
	noAccounts := accountConfig(1, nil)
	unconfigured := accountConfig(1, nil)
	unconfigured.HasAccounts = false
	for name, test := range map[string]struct {
		config *job.Config
		prefix string
		key    string
		denied bool
	}{
		"no key":                       {withAccounts, "/d/", "", true},
		"unknown key":                  {withAccounts, "/d/", "eve-1", true},
		"prefix of a key":              {withAccounts, "/d/", "ada-", true},
		"empty list of accounts":       {noAccounts, "/d/", "ada-1", true},
		"account without keys":         {noKeys, "/d/", "ada-1", true},
		"key":                          {withAccounts, "/d/", "ada-1", false},
		"second key":                   {withAccounts, "/d/", "ada-2", false},
		"public, no key":               {withAccounts, "/p/", "", false},
		"public, unknown key":          {withAccounts, "/p/", "eve-1", false},
		"public, empty list":           {noAccounts, "/p/", "", false},
		"accounts not configured":      {unconfigured, "/d/", "", false},
		"accounts not configured, key": {unconfigured, "/d/", "ada-1", false},
	} {
		for kind, call := range callerKinds(test.prefix) {
			t.Run(name+"/"+kind, func(t *testing.T) {
				c := qt.New(t)
				h := newSoloHost(c, test.config)
				reply := h.call(call.withKey(test.key))
				c.Check(reply.Code == Unauthenticated, qt.Equals, test.denied, qt.Commentf("%v", reply.Code))
				c.Check(reply.Text != "", qt.Equals, test.denied)
				c.Check(h.state.Job(1) != nil, qt.Equals, kind == "submit" && !test.denied)
				unknown := call
				unknown.Path = "/x/" + job.ID(1).String()
				c.Check(h.call(unknown.withKey(test.key)).Code, qt.Equals, NoQueue)
			})
		}
	}
	c := qt.New(t)
	h := newSoloHost(c, withAccounts)
	// The key is checked before anything else in the call.
	c.Check(h.call(Call{Kind: QueryJob, Host: "h", Path: "/d/xyz"}).Code, qt.Equals, Unauthenticated)
	c.Check(h.call(Call{Kind: QueryJob, Host: "h", Path: "/d/xyz"}.withKey("ada-1")).Code, qt.Equals, BadCall)
	c.Check(h.call(Call{Kind: SubmitJob, Host: "h", Path: "/d/0000000000000001"}).Code, qt.Equals, Unauthenticated)
	c.Check(h.call(Call{Kind: SubmitJob, Host: "h", Path: "/d/0000000000000001"}.withKey("ada-1")).Code, qt.Equals, BadCall)
}

// Guards against a job that other accounts see, cancel or take over, one that its own account loses with
// another key, and one without an account that disappears when accounts are configured.
func TestJobsBelongToTheirAccount(t *testing.T) {
	type codes struct{ state, cancel, submit Code }
	served, hidden := codes{OK, OK, OK}, codes{NoJob, NoJob, Conflict}
	for name, test := range map[string]struct {
		prefix, submitter, caller string
		want                      codes
	}{
		"same key":                           {"/d/", "ada-1", "ada-1", served},
		"other key of the account":           {"/d/", "ada-1", "ada-2", served},
		"key of another account":             {"/d/", "ada-1", "bob-1", hidden},
		"public, same key":                   {"/p/", "ada-1", "ada-2", served},
		"public, key of another account":     {"/p/", "ada-1", "bob-1", hidden},
		"public, no key":                     {"/p/", "ada-1", "", served},
		"public, withdrawn key":              {"/p/", "ada-1", "ada-0", served},
		"public, job without account":        {"/p/", "", "", served},
		"public, job without account, key":   {"/p/", "", "bob-1", served},
		"public, submitted with unknown key": {"/p/", "eve-1", "bob-1", served},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newSoloHost(c, accountConfig(1, map[string][]string{"ada": {"ada-1", "ada-2"}, "bob": {"bob-1"}}))
			calls := callerKinds(test.prefix)
			c.Assert(h.call(calls["submit"].withKey(test.submitter)).Code, qt.Equals, OK)
			got := codes{state: h.call(calls["state"].withKey(test.caller)).Code, submit: h.call(calls["submit"].withKey(test.caller)).Code,
				cancel: h.call(calls["cancel"].withKey(test.caller)).Code}
			c.Check(got, qt.Equals, test.want)
			c.Check(h.state.Job(1).Outcome == job.Canceled, qt.Equals, test.want == served)
			c.Check(h.call(calls["pending"].withKey(test.caller)).Code, qt.Equals, OK)
		})
	}
}

// Guards against a job that is accepted for two accounts because both send its id at once.
func TestSameIDOfTwoAccountsAtOnce(t *testing.T) {
	c := qt.New(t)
	h := newSoloHost(c, accountConfig(1, map[string][]string{"ada": {"ada-1"}, "bob": {"bob-1"}}))
	call := callerKinds("/d/")["submit"]
	var first, second Reply
	h.serveCaller(call.withKey("ada-1"), func(r Reply) { first = r })
	h.serveCaller(call.withKey("bob-1"), func(r Reply) { second = r })
	h.call(Call{Kind: QueryJob, Host: "h", Path: "/d/"}.withKey("ada-1")) // commits
	c.Check(first.Code, qt.Equals, OK)
	c.Check(second.Code, qt.Equals, Conflict)
	c.Check(h.state.Job(1).Account, qt.Equals, "ada")
}

// Guards against a key that is valid for longer or shorter than the versions that contain it, also with
// an older version that arrives late, and against a job that is lost with the key or account that submitted it.
func TestKeysAndAccountsComeAndGo(t *testing.T) {
	c := qt.New(t)
	h := newSoloHost(c, accountConfig(1, map[string][]string{"ada": {"ada-1"}}))
	calls := callerKinds("/d/")
	c.Assert(h.call(calls["submit"].withKey("ada-1")).Code, qt.Equals, OK)
	for i, step := range []struct {
		version                       int64
		keys                          map[string][]string
		unconfigured                  bool
		first, second, bob, anonymous Code // reply to a question about the state of the job, by key
	}{
		{version: 3, keys: map[string][]string{"ada": {"ada-1", "ada-2"}, "bob": {"bob-1"}}, first: OK, second: OK, bob: NoJob, anonymous: Unauthenticated},
		{version: 5, keys: map[string][]string{"ada": {"ada-2"}, "bob": {"bob-1"}}, first: Unauthenticated, second: OK, bob: NoJob, anonymous: Unauthenticated},
		{version: 4, keys: map[string][]string{"ada": {"ada-1"}}, first: Unauthenticated, second: OK, bob: NoJob, anonymous: Unauthenticated},
		{version: 6, keys: map[string][]string{"bob": {"bob-1", "ada-1"}}, first: NoJob, second: Unauthenticated, bob: NoJob, anonymous: Unauthenticated},
		{version: 7, keys: map[string][]string{}, first: Unauthenticated, second: Unauthenticated, bob: Unauthenticated, anonymous: Unauthenticated},
		{version: 8, unconfigured: true, first: OK, second: OK, bob: OK, anonymous: OK},
		{version: 9, keys: map[string][]string{"ada": {"ada-1"}}, first: OK, second: Unauthenticated, bob: Unauthenticated, anonymous: Unauthenticated},
	} {
		config := accountConfig(step.version, step.keys)
		config.HasAccounts = !step.unconfigured
		h.apply(job.Op{Config: config})
		for key, want := range map[string]Code{"ada-1": step.first, "ada-2": step.second, "bob-1": step.bob, "": step.anonymous} {
			c.Check(h.call(calls["state"].withKey(key)).Code, qt.Equals, want, qt.Commentf("step %d, key %q", i, key))
		}
		c.Check(h.state.Job(1).Outcome, qt.Equals, job.Open)
		c.Check(h.state.Job(1).Account, qt.Equals, "ada")
	}
}

// Guards against 10,000 keys that a keeper refuses, that lose their accounts in an entry of the log, or
// whose entry is much larger than their digests.
func TestManyKeys(t *testing.T) {
	c := qt.New(t)
	const accounts, keys = 20, 500
	byAccount := map[string][]string{}
	for i := range accounts * keys {
		name := fmt.Sprintf("account-%d", i%accounts)
		byAccount[name] = append(byAccount[name], fmt.Sprintf("key-%d", i))
	}
	entry, err := job.Encode([]job.Op{{Config: accountConfig(2, byAccount)}})
	c.Assert(err, qt.IsNil)
	c.Check(len(entry) < 2*accounts*keys*len(job.KeyDigest{}), qt.IsTrue, qt.Commentf("%d bytes", len(entry)))
	ops, err := job.Decode(entry)
	c.Assert(err, qt.IsNil)
	h := newSoloHost(c, testConfig(1))
	h.putConfig(ops[0].Config, func(r Reply) { c.Check(r.Code, qt.Equals, OK) })
	call := callerKinds("/d/")["submit"]
	h.call(call) // commits
	for i := range accounts * keys {
		path := "/d/" + job.ID(i+2).String()
		c.Assert(h.call(submitCall(path).withKey(fmt.Sprintf("key-%d", i))).Code, qt.Equals, OK)
		c.Assert(h.state.Job(job.ID(i+2)).Account, qt.Equals, fmt.Sprintf("account-%d", i%accounts))
	}
	c.Check(h.call(call.withKey("key-10000")).Code, qt.Equals, Unauthenticated)
}

// Guards against a log that does not say whose job was accepted, and against keys in logs and replies.
func TestLogsNameAccountsAndNoKeys(t *testing.T) {
	c := qt.New(t)
	h := newSoloHost(c, accountConfig(1, map[string][]string{"ada": {"ada-secret"}}))
	replies := ""
	for _, key := range []string{"ada-secret", "unknown-secret", ""} {
		for _, prefix := range []string{"/d/", "/p/"} {
			for _, call := range callerKinds(prefix) {
				replies += fmt.Sprintf("%+v", h.call(call.withKey(key)))
			}
		}
	}
	bad := accountConfig(2, map[string][]string{"ada": {"ada-secret"}, "bob": {"ada-secret"}})
	h.putConfig(bad, func(r Reply) {
		c.Check(r.Code, qt.Equals, BadCall)
		replies += r.Text
	})
	accounts := map[string]any{}
	for _, line := range h.log.Lines() {
		var fields map[string]any
		c.Assert(json.Unmarshal([]byte(line), &fields), qt.IsNil)
		if fields["msg"] == "job accepted" {
			accounts[fields["job"].(string)] = fields["account"]
		}
	}
	c.Check(accounts, qt.DeepEquals, map[string]any{job.ID(1).String(): "ada"})
	c.Check(strings.Contains(replies+h.log.String(), "secret"), qt.IsFalse)
}
