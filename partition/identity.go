package partition

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/oleanderchute/oleanderchute/api"
)

// identity tells resends of a request from other requests with its key.
type identity struct {
	// requestedKind is the kind as the caller sent it, which never changes. It is empty in records of
	// earlier builds.
	requestedKind string
	routeName     string // of the route at the time of the accept, part of digest
	digest        []byte
}

func (s *spec) identity() identity { return identity{s.RequestedKind, s.Kind, s.Digest} }

// sentKind returns the kind as the caller sent it, or the name of the route if the record does not have it.
func (s *spec) sentKind() string { return cmp.Or(s.RequestedKind, s.Kind) }

// check returns nil if e is a resend of the request with this identity, whatever its route is called now.
// Otherwise it returns the refusal.
func (id identity) check(key api.RequestKey, e *Submit, routesByKind map[string]*api.Route) *api.Error {
	if !bytes.Equal(id.digest, requestDigest(id.routeName, e.Request.Body)) {
		return keyReusedError(key, "a request with another body")
	}
	kind := cmp.Or(id.requestedKind, id.routeName)
	switch {
	case e.Request.Kind == kind || serves(e.Route, kind):
		return nil
	case id.requestedKind != "" && routesByKind[kind] != nil:
		return keyReusedError(key, "a request of another kind")
	}
	err := api.Errorf(api.CodeKeyReused, "key %q belongs to a request with the same body that was accepted as kind %q; "+
		"whether it is this request cannot be told, ask for its outcome by key", key.Key, kind)
	err.Field = "key"
	return err
}

// serves reports whether a route has a kind as its name or alias.
func serves(r api.Route, kind string) bool {
	return r.Name == kind || slices.Contains(r.Aliases, kind)
}

// keyReusedError returns the error for a key that belongs to another request. The refused call's own work has not
// run.
func keyReusedError(key api.RequestKey, other string) *api.Error {
	err := api.Errorf(api.CodeKeyReused, "key %q already belongs to %s; ask for its outcome by key", key.Key, other)
	err.Field, err.NotRun = "key", true
	return err
}
