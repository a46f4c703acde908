package control

import (
	"cmp"
	"slices"

	"github.com/oleanderchute/oleanderchute/api"
)

// warningID identifies a warning of the tables in force.
type warningID struct {
	Kind    string `cbor:"1,keyasint"`
	Subject string `cbor:"2,keyasint"`
	Nearest string `cbor:"3,keyasint,omitempty"`
}

func compareWarnings(a, b warningID) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Nearest, b.Nearest))
}

// warningIDs returns the warnings among problems, sorted and without repetition.
func warningIDs(problems []api.Problem) []warningID {
	var out []warningID
	for _, p := range problems {
		if p.Severity == api.SeverityWarning {
			out = append(out, warningID{p.Kind, p.Subject, p.Nearest})
		}
	}
	slices.SortFunc(out, compareWarnings)
	return slices.Compact(out)
}

// newProblems leaves out the warnings that the tables in force had already. Without
// that, warnings that stand for long would be kept with each of 10,000 answers.
func newProblems(problems []api.Problem, standing []warningID) []api.Problem {
	var out []api.Problem
	for _, p := range problems {
		_, known := slices.BinarySearchFunc(standing, warningID{p.Kind, p.Subject, p.Nearest}, compareWarnings)
		if p.Severity == api.SeverityError || !known {
			out = append(out, p)
		}
	}
	return out
}
