package control

import (
	"fmt"

	"github.com/oleanderchute/oleanderchute/api"
)

const (
	// maxChangeIDBytes bounds a change id, so that remembered answers stay small.
	maxChangeIDBytes = 128
	// maxOperatorBytes bounds the operator's name in the history.
	maxOperatorBytes = 128
	// maxAnswerProblems bounds the problems kept with an answer: 10,000 answers with 8
	// problems of about 300 bytes take 24 MB at worst.
	maxAnswerProblems = 8
)

func (s *State) applyChange(c *changeCommand) Result {
	if c.ChangeID == "" || len(c.ChangeID) > maxChangeIDBytes {
		err := api.Errorf(api.CodeBadRequest, "a change needs an id of 1 to %d bytes", maxChangeIDBytes)
		err.Field = "change_id"
		return Result{Err: err}
	}
	if first, ok := s.answers.find(c.ChangeID); ok {
		return Result{Response: &first, Resent: true}
	}
	response := s.decideChange(c)
	s.answers.add(c.ChangeID, response)
	return Result{Response: &response}
}

func (s *State) decideChange(c *changeCommand) api.ApplyResponse {
	standing := s.tables.Version
	if c.BaseVersion != standing {
		return api.ApplyResponse{Version: standing, Reason: versionReason(c.BaseVersion, standing, s.history)}
	}
	next := c.tables(s.tables)
	problems := s.Check(next, c.Workers)
	response := api.ApplyResponse{Version: standing, Problems: boundProblems(newProblems(problems, s.standing))}
	if n := countErrors(problems); n > 0 {
		response.Reason = fmt.Sprintf("errors found by the check: %d; first: %s", n, problems[0].Message)
		return response
	}
	s.accept(next, c)
	s.standing = warningIDs(problems)
	response.Accepted, response.Version = true, s.tables.Version
	return response
}

// tables returns the tables that the change asks for, with the base version.
func (c *changeCommand) tables(base api.Tables) api.Tables {
	if c.Delta != nil {
		return c.Delta.patch(base)
	}
	t := NormalizeTables(*c.Tables)
	t.Version = base.Version
	return t
}

func (s *State) accept(next api.Tables, c *changeCommand) {
	delta := Diff(s.tables, next)
	next.Version = s.tables.Version + 1
	s.tables = next
	s.resolver = NewResolver(next)
	s.homes.record(next)
	s.history = append(s.history, api.HistoryEntry{
		Version: next.Version, ChangeID: c.ChangeID, UnixMillis: c.UnixMillis,
		Operator:      truncate(c.Operator, maxOperatorBytes),
		RoutesChanged: delta.routes(), PoolsChanged: delta.pools(),
	})
	if extra := len(s.history) - maxHistory; extra > 0 {
		s.history = append([]api.HistoryEntry(nil), s.history[extra:]...)
	}
}

// Check returns the problems of tables that would replace those in force, errors first.
// Workers may be nil when they are not known.
func (s *State) Check(next api.Tables, workers []WorkerInfo) []api.Problem {
	problems := Check(s.tables, next, workers, s.partitionNames())
	return mergeProblems(problems, s.homes.check(next))
}

func versionReason(base, standing uint64, history []api.HistoryEntry) string {
	if base > standing {
		return fmt.Sprintf("the change is based on version %d, but version %d is in force", base, standing)
	}
	by := ""
	if n := len(history); n > 0 && history[n-1].Operator != "" {
		by = " by " + history[n-1].Operator
	}
	return fmt.Sprintf("the change is based on version %d; version %d%s is in force now", base, standing, by)
}

// boundProblems returns at most maxAnswerProblems problems; the last one says how many
// were left out.
func boundProblems(list []api.Problem) []api.Problem {
	if len(list) <= maxAnswerProblems {
		return list
	}
	kept := maxAnswerProblems - 1
	rest := api.Problem{
		Kind: ProblemListTruncated, Severity: list[kept].Severity,
		Message: fmt.Sprintf("%d more problems are not listed here", len(list)-kept),
		Remedy:  "oleanderchute check FILE lists all of them",
	}
	return append(cloneProblems(list[:kept]), rest)
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

// truncate returns at most n bytes of s without splitting a character.
func truncate(s string, n int) string {
	if len(s) <= n {
		return s
	}
	for n > 0 && s[n]&0xC0 == 0x80 {
		n--
	}
	return s[:n]
}
