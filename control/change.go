package control

import (
	"fmt"

	"github.com/oleanderchute/oleanderchute/api"
)

const (
	// maxChangeIDBytes limits the length of a change ID in bytes, which keeps the cached
	// responses small.
	maxChangeIDBytes = 128
	// maxOperatorBytes limits the length in bytes of the operator's name in the history.
	// Longer names are truncated.
	maxOperatorBytes = 128
	// maxResponseProblems limits the problems in a response. In the worst case the 10,000
	// cached responses with 8 problems of about 300 bytes each take 24 MB.
	maxResponseProblems = 8
)

// applyChange returns the original response if the change ID is known. Otherwise it
// decides on the change and caches the response.
func (s *State) applyChange(c *changeCommand) Result {
	if c.ChangeID == "" || len(c.ChangeID) > maxChangeIDBytes {
		err := api.Errorf(api.CodeBadRequest, "a change needs an id of 1 to %d bytes", maxChangeIDBytes)
		err.Field = "change_id"
		return Result{Err: err}
	}
	if original, ok := s.responses.get(c.ChangeID); ok {
		return Result{Response: &original, Resent: true}
	}
	response := s.decideChange(c)
	s.responses.add(c.ChangeID, response)
	return Result{Response: &response}
}

// decideChange refuses a change that is based on another version or whose tables have
// errors, and accepts any other change.
func (s *State) decideChange(c *changeCommand) api.ApplyResponse {
	inForce := s.tables.Version
	if c.BaseVersion != inForce {
		return api.ApplyResponse{Version: inForce, Reason: versionConflictReason(c.BaseVersion, inForce, s.history)}
	}
	next := c.requestedTables(s.tables)
	problems := s.Check(next, c.Workers)
	response := api.ApplyResponse{Version: inForce, Problems: truncateProblems(omitWarningsInForce(problems, s.warningsInForce))}
	if n := countErrors(problems); n > 0 {
		response.Reason = fmt.Sprintf("errors found by the check: %d; first: %s", n, problems[0].Message)
		return response
	}
	s.acceptChange(next, c)
	s.warningsInForce = collectWarningIDs(problems)
	response.Accepted, response.Version = true, s.tables.Version
	return response
}

// requestedTables returns the normalized tables that the change asks for, with the
// version of base.
func (c *changeCommand) requestedTables(base api.Tables) api.Tables {
	if c.Delta != nil {
		return c.Delta.patch(base)
	}
	t := NormalizeTables(*c.Tables)
	t.Version = base.Version
	return t
}

// acceptChange puts the tables into force as the next version and records the change in
// the history.
func (s *State) acceptChange(next api.Tables, c *changeCommand) {
	delta := Diff(s.tables, next)
	next.Version = s.tables.Version + 1
	s.tables = next
	s.homes.recordTables(next)
	s.resolver = NewResolver(next, s.homes.Kinds)
	s.history = append(s.history, api.HistoryEntry{
		Version: next.Version, ChangeID: c.ChangeID, UnixMillis: c.UnixMillis,
		Operator:      truncate(c.Operator, maxOperatorBytes),
		RoutesChanged: delta.routeCount(), PoolsChanged: delta.poolCount(),
	})
	if extra := len(s.history) - maxHistory; extra > 0 {
		s.history = append([]api.HistoryEntry(nil), s.history[extra:]...)
	}
}

// Check validates next as a replacement of the tables in force and returns the problems,
// errors first. Nil workers mean that the workers are unknown.
func (s *State) Check(next api.Tables, workers []WorkerInfo) []api.Problem {
	problems := Check(s.tables, next, workers, s.partitionNames())
	return unionProblems(problems, s.homes.findChanges(next))
}

// versionConflictReason explains why a change that is based on version base is refused.
func versionConflictReason(base, inForce uint64, history []api.HistoryEntry) string {
	if base > inForce {
		return fmt.Sprintf("the change is based on version %d, but version %d is in force", base, inForce)
	}
	by := ""
	if n := len(history); n > 0 && history[n-1].Operator != "" {
		by = " by " + history[n-1].Operator
	}
	return fmt.Sprintf("the change is based on version %d; version %d%s is in force now", base, inForce, by)
}

// truncateProblems returns at most maxResponseProblems problems. If the list is longer,
// the last returned problem states how many are omitted.
func truncateProblems(list []api.Problem) []api.Problem {
	if len(list) <= maxResponseProblems {
		return list
	}
	kept := maxResponseProblems - 1
	omitted := api.Problem{
		Kind: ProblemListTruncated, Severity: list[kept].Severity,
		Message: fmt.Sprintf("%d more problems are not listed here", len(list)-kept),
		Remedy:  "oleanderchute check FILE lists all of them",
	}
	return append(cloneProblems(list[:kept]), omitted)
}

func countErrors(list []api.Problem) int {
	n := 0
	for _, p := range list {
		if p.Severity == api.SeverityError {
			n++
		}
	}
	return n
}

// truncate returns the longest prefix of s that has at most n bytes and does not split a
// character.
func truncate(s string, n int) string {
	if len(s) <= n {
		return s
	}
	for n > 0 && s[n]&0xC0 == 0x80 {
		n--
	}
	return s[:n]
}
