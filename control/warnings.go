package control

import (
	"cmp"
	"slices"

	"github.com/oleanderchute/oleanderchute/api"
)

// warningID identifies a warning of the tables in force. It leaves out the message, whose
// numbers may change.
type warningID struct {
	Kind    string `cbor:"1,keyasint"`
	Subject string `cbor:"2,keyasint"`
	Nearest string `cbor:"3,keyasint,omitempty"`
}

func compareWarningIDs(a, b warningID) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Nearest, b.Nearest))
}

// collectWarningIDs returns the IDs of the warnings among problems, sorted and without
// duplicates.
func collectWarningIDs(problems []api.Problem) []warningID {
	var out []warningID
	for _, p := range problems {
		if p.Severity == api.SeverityWarning {
			out = append(out, warningID{p.Kind, p.Subject, p.Nearest})
		}
	}
	slices.SortFunc(out, compareWarningIDs)
	return slices.Compact(out)
}

// omitWarningsInForce returns the problems without the warnings that already apply to the
// tables in force; inForce must be sorted. If responses included those warnings, each of
// the 10,000 cached responses could hold a copy of the same long-lived warnings.
func omitWarningsInForce(problems []api.Problem, inForce []warningID) []api.Problem {
	var out []api.Problem
	for _, p := range problems {
		_, known := slices.BinarySearchFunc(inForce, warningID{p.Kind, p.Subject, p.Nearest}, compareWarningIDs)
		if p.Severity == api.SeverityError || !known {
			out = append(out, p)
		}
	}
	return out
}
