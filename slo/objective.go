// Package slo records how well the service meets its service-level objectives and
// computes error budgets and burn rates. It uses no sockets, files or clock: the caller
// passes the wall-clock time. A Set is not safe for concurrent use; its owner locks it.
package slo

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/api"
)

// Indicator is the quantity that an objective measures.
type Indicator string

// The indicators.
const (
	// Wait is the time from the acceptance of a job to its first dispatch; a sample is
	// bad if the job expired before it was dispatched.
	Wait Indicator = "wait"
	// Answer is whether an answer states the final state of a job; a sample is bad if
	// the state is unknown.
	Answer Indicator = "answer"
	// Share is whether a team's job started; a sample is bad if the job was refused
	// because of overload or expired.
	Share Indicator = "share"
	// Spread is the time until a VM applies a new version of the tables.
	Spread Indicator = "spread"
)

// Any matches every kind, class or team.
const Any = "*"

// MaxObjectives bounds the number of objectives of a Set, and thereby its memory.
const MaxObjectives = 32

// Objective is a target for the share of good samples of an indicator.
type Objective struct {
	Indicator Indicator
	// Kind and Class select the samples of Wait and Answer; Any selects all.
	Kind  string
	Class api.Class
	// Team selects the samples of Share; Any selects all.
	Team string
	// Threshold is the largest good value of Wait and Spread.
	Threshold time.Duration
	// Target is the required share of good samples in percent, above 0 and below 100.
	Target float64
}

// Defaults returns the objectives that apply when none are given. 2.2 s and 13 s are the
// documented guarantees for the start of urgent work and for the distribution of the
// configuration at the size that the system is designed for.
func Defaults() []string {
	return []string{"wait:*:urgent:2.2s:99.9", "answer:*:*:99.9", "share:*:99", "spread:13s:99.9"}
}

// objectiveSyntax maps each indicator to the syntax of its objectives. Parse splits it
// into the names of the parts.
var objectiveSyntax = map[Indicator]string{
	Wait:   "wait:KIND:CLASS:DURATION:PERCENT",
	Answer: "answer:KIND:CLASS:PERCENT",
	Share:  "share:TEAM:PERCENT",
	Spread: "spread:DURATION:PERCENT",
}

// ParseAll parses objectives; an empty list means the defaults. An error names the
// objective and its syntax.
func ParseAll(texts []string) ([]Objective, error) {
	if len(texts) == 0 {
		texts = Defaults()
	}
	if len(texts) > MaxObjectives {
		return nil, errors.Errorf("%d objectives: give at most %d", len(texts), MaxObjectives)
	}
	var out []Objective
	for _, text := range texts {
		o, err := Parse(text)
		if err != nil {
			return nil, err
		}
		if slices.ContainsFunc(out, func(p Objective) bool { return p.String() == o.String() }) {
			return nil, errors.Errorf("objective %q is given twice: remove one", text)
		}
		out = append(out, o)
	}
	return out, nil
}

// Parse parses one objective, such as "wait:drafting:urgent:2.2s:99.9".
func Parse(text string) (Objective, error) {
	parts := strings.Split(strings.TrimSpace(text), ":")
	syntax, known := objectiveSyntax[Indicator(parts[0])]
	if !known {
		return Objective{}, errors.Errorf("objective %q does not start with an indicator: use wait, answer, share or spread", text)
	}
	partNames := strings.Split(syntax, ":")
	if len(parts) != len(partNames) {
		return Objective{}, errors.Errorf("objective %q has the wrong number of parts: use %s", text, syntax)
	}
	o := Objective{Indicator: Indicator(parts[0])}
	for i := 1; i < len(parts); i++ {
		if !o.setPart(partNames[i], parts[i]) {
			return Objective{}, errors.Errorf("objective %q: %q is not a valid %s: use %s", text, parts[i], partNames[i], syntax)
		}
	}
	return o, nil
}

// setPart parses and assigns the part called name, and reports whether value is valid.
func (o *Objective) setPart(name, value string) bool {
	var err error
	switch name {
	case "KIND":
		o.Kind = value
		return isValidName(value)
	case "TEAM":
		o.Team = value
		return isValidName(value)
	case "CLASS":
		o.Class = api.Class(value)
		return slices.Contains([]api.Class{Any, api.ClassUrgent, api.ClassNormal, api.ClassLow}, o.Class)
	case "DURATION":
		o.Threshold, err = time.ParseDuration(value)
		return err == nil && o.Threshold > 0 && o.Threshold <= maxValue
	default:
		o.Target, err = strconv.ParseFloat(value, 64)
		return err == nil && o.Target > 0 && o.Target < 100
	}
}

// maxNameBytes bounds the length of a kind or team in an objective.
const maxNameBytes = 128

func isValidName(s string) bool { return s != "" && len(s) <= maxNameBytes }

// String returns the canonical text of the objective, which identifies the data of the
// objective in files and between VMs.
func (o Objective) String() string {
	target := strconv.FormatFloat(o.Target, 'g', -1, 64)
	switch o.Indicator {
	case Wait:
		return strings.Join([]string{string(Wait), o.Kind, string(o.Class), o.Threshold.String(), target}, ":")
	case Answer:
		return strings.Join([]string{string(Answer), o.Kind, string(o.Class), target}, ":")
	case Share:
		return strings.Join([]string{string(Share), o.Team, target}, ":")
	default:
		return strings.Join([]string{string(o.Indicator), o.Threshold.String(), target}, ":")
	}
}

// budget returns the share of samples that may be bad, above 0 and below 1.
func (o Objective) budget() float64 { return 1 - o.Target/100 }

// Sample is one measurement. Fields that its indicator does not use are ignored.
type Sample struct {
	Indicator Indicator
	Kind      string
	Class     api.Class
	Team      string
	// Value is the measured time for Wait and Spread.
	Value time.Duration
	// Bad marks a sample as bad; its Value is then not recorded. A Value above the
	// threshold makes a sample bad without it.
	Bad bool
}

// matches reports whether the sample counts for the objective.
func (o Objective) matches(s Sample) bool {
	if o.Indicator != s.Indicator {
		return false
	}
	switch o.Indicator {
	case Wait, Answer:
		return (o.Kind == Any || o.Kind == s.Kind) && (o.Class == Any || o.Class == s.Class)
	case Share:
		return o.Team == Any || o.Team == s.Team
	default:
		return true
	}
}

// hasValue reports whether samples of the objective have a value.
func (o Objective) hasValue() bool { return o.Indicator == Wait || o.Indicator == Spread }

// isBad reports whether the sample uses up the objective's budget.
func (o Objective) isBad(s Sample) bool {
	return s.Bad || o.hasValue() && s.Value > o.Threshold
}
