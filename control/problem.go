package control

import (
	"cmp"
	"slices"

	"github.com/oleanderchute/oleanderchute/api"
)

// Values of api.Problem.Kind. Scripts may rely on them, so they must not change.
const (
	ProblemBadName             = "bad_name"
	ProblemDuplicateRoute      = "duplicate_route"
	ProblemDuplicatePool       = "duplicate_pool"
	ProblemAliasConflict       = "alias_conflict"
	ProblemRouteWithoutPool    = "route_without_pool"
	ProblemUnknownHome         = "unknown_home"
	ProblemPoolHomeChanged     = "pool_home_changed"
	ProblemRouteHomeChanged    = "route_home_changed"
	ProblemBadValue            = "bad_value"
	ProblemBadShare            = "bad_share"
	ProblemBadQuota            = "bad_quota"
	ProblemQuotaExceedsWorkers = "quota_exceeds_workers"
	ProblemPoolWithoutWorker   = "pool_without_worker"
	ProblemWorkerWithoutPool   = "worker_without_pool"
	ProblemPoolWithoutRoute    = "pool_without_route"
	ProblemPoolLosesLastRoute  = "pool_loses_last_route"
	ProblemNearDuplicateKind   = "near_duplicate_route"
	ProblemNearDuplicatePool   = "near_duplicate_pool"
	ProblemMixedAlphabets      = "mixed_alphabets"
	ProblemUnknownKind         = "unknown_kind"
	ProblemWaitingWithoutRoute = "waiting_without_route"
	ProblemListTruncated       = "more_problems"
	ProblemTooManyEntries      = "too_many_entries"
)

// newErrorProblem returns a problem that prevents a change of the tables.
func newErrorProblem(kind, subject, nearest, message, remedy string) api.Problem {
	return api.Problem{Kind: kind, Severity: api.SeverityError, Subject: subject, Nearest: nearest, Message: message, Remedy: remedy}
}

// newWarningProblem returns a problem that does not prevent a change of the tables.
func newWarningProblem(kind, subject, nearest, message, remedy string) api.Problem {
	return api.Problem{Kind: kind, Severity: api.SeverityWarning, Subject: subject, Nearest: nearest, Message: message, Remedy: remedy}
}

// unionProblems returns the problems of both lists, sorted by sortProblems. It leaves out
// a problem of b if a has a problem with the same kind and subject.
func unionProblems(a, b []api.Problem) []api.Problem {
	type id struct{ kind, subject string }
	seen := make(map[id]bool, len(a))
	for _, p := range a {
		seen[id{p.Kind, p.Subject}] = true
	}
	for _, p := range b {
		if !seen[id{p.Kind, p.Subject}] {
			a = append(a, p)
		}
	}
	sortProblems(a)
	return a
}

// sortProblems sorts problems by severity, errors first, then by kind, subject and
// message.
func sortProblems(list []api.Problem) {
	slices.SortStableFunc(list, func(a, b api.Problem) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Kind, b.Kind),
			cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Message, b.Message))
	})
}
