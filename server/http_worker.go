package server

import (
	"context"
	"net/http"
	"net/url"

	"github.com/oleanderchute/oleanderchute/api"
)

// handleAnnounce serves POST /v1/workers/announce. It forwards the announcement to the owner of
// the pool. If the pool does not exist, it responds with the nearest name and records a problem.
func (s *Server) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	var a api.Announcement
	if err := decodeJSON(r.Body, &a); err != nil {
		s.refuse(w, err)
		return
	}
	if err := validateAnnouncement(&a); err != nil {
		s.refuse(w, err)
		return
	}
	home, err := s.poolHome(a)
	if err != nil {
		s.refuse(w, err)
		return
	}
	if !s.forwardAnnouncement(r.Context(), home, a) {
		s.refuse(w, api.Errorf(api.CodeUnavailable, "partition %s has no owner at the moment; announce again", home))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// validateAnnouncement checks the names, URL and sizes in an announcement.
func validateAnnouncement(a *api.Announcement) *api.Error {
	names := []struct{ field, value string }{
		{"worker", a.Worker}, {"incarnation", a.Incarnation}, {"pool", a.Pool}, {"region", a.Region},
	}
	for _, n := range names {
		if err := validateName(n.field, n.value); err != nil {
			return err
		}
	}
	if err := validateWorkerURL(a.URL); err != nil {
		return err
	}
	c := a.Capacity
	if c.MilliCPU <= 0 || c.MilliCPU > maxMilliCPU || c.MemoryMB <= 0 || c.MemoryMB > maxMemoryMB || c.Accelerators < 0 || c.Accelerators > maxAccelerators {
		return fieldError("capacity", "not the capacity of a machine: processors and memory must be positive")
	}
	if a.Slots < 1 || a.Connections < 1 {
		return fieldError("slots", "slots and connections must be at least 1")
	}
	return nil
}

// poolHome returns the home partition of the pool that a worker announces. If the pool does not
// exist, it records a problem and returns an error.
func (s *Server) poolHome(a api.Announcement) (string, *api.Error) {
	resolver := s.view.Load().resolver
	if pool, ok := resolver.Pool(a.Pool); ok {
		s.problems.removeWorker(a.Worker, resolver)
		return pool.Home, nil
	}
	s.problems.recordUnknownPool(a.Worker, a.Pool, resolver)
	err := api.Errorf(api.CodeNotFound, "worker %s announces pool %q, which does not exist", a.Worker, a.Pool)
	err.Field = "pool"
	err.Nearest = resolver.NearestPool(a.Pool)
	return "", err
}

func validateWorkerURL(text string) *api.Error {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return fieldError("url", "%q is not a URL such as http://10.0.0.9:9000", text)
	}
	return nil
}

// forwardAnnouncement sends an announcement to the owner and reports whether the owner answered.
// It tries each candidate once, which is enough since workers repeat their announcements.
func (s *Server) forwardAnnouncement(ctx context.Context, home string, a api.Announcement) bool {
	args := AnnounceArgs{Partition: home, Announcement: a}
	_, ok := callOwner[OwnerReply](ctx, s, home, servicePartition+".Announce", args)
	return ok
}
