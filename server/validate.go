package server

import (
	"fmt"
	"unicode"

	"github.com/oleanderchute/oleanderchute/api"
)

// Limits of requests and announcements. Values above them are mistakes: the largest machine in
// use has 64 cores and 128 GB.
const (
	maxNameBytes      = 200
	maxMilliCPU       = 1 << 24
	maxMemoryMB       = 1 << 28
	maxAccelerators   = 1 << 16
	maxTasks          = 1 << 16
	maxDurationMillis = 30 * 24 * 3600 * 1000
)

// fieldError returns a CodeBadRequest error about one field.
func fieldError(field, format string, args ...any) *api.Error {
	return &api.Error{Code: api.CodeBadRequest, Field: field, Message: fmt.Sprintf(format, args...)}
}

// validateSubmit checks a request on the entry VM before it is forwarded, and sets the defaults
// of team, class and tasks.
func validateSubmit(r *api.SubmitRequest) *api.Error {
	if len(r.Body) > api.MaxBodyBytes {
		return &api.Error{Code: api.CodeTooLarge, Field: "body",
			Message: fmt.Sprintf("%d bytes, at most %d are allowed", len(r.Body), api.MaxBodyBytes)}
	}
	names := []struct{ field, value string }{{"caller", r.Caller}, {"key", r.Key}, {"kind", r.Kind}}
	for _, n := range names {
		if err := validateName(n.field, n.value); err != nil {
			return err
		}
	}
	if r.Team == "" {
		r.Team = r.Caller
	}
	if err := validateName("team", r.Team); err != nil {
		return err
	}
	if err := validateClass(r); err != nil {
		return err
	}
	return validateAmounts(r)
}

// validateName refuses an empty or long name and a name with control characters or '/'.
func validateName(field, value string) *api.Error {
	if value == "" {
		return fieldError(field, "missing")
	}
	if len(value) > maxNameBytes {
		return fieldError(field, "%d bytes, at most %d are allowed", len(value), maxNameBytes)
	}
	for _, c := range value {
		if unicode.IsControl(c) || c == '/' {
			return fieldError(field, "contains %q, which is not allowed", c)
		}
	}
	return nil
}

func validateClass(r *api.SubmitRequest) *api.Error {
	switch r.Class {
	case "":
		r.Class = api.ClassNormal
	case api.ClassUrgent, api.ClassNormal, api.ClassLow:
	default:
		return fieldError("class", "%q is not a class: use urgent, normal or low", r.Class)
	}
	return nil
}

func validateAmounts(r *api.SubmitRequest) *api.Error {
	if r.Tasks == 0 {
		r.Tasks = 1
	}
	amounts := []struct {
		field      string
		value, max int64
	}{
		{"resources.milli_cpu", r.Resources.MilliCPU, maxMilliCPU},
		{"resources.memory_mb", r.Resources.MemoryMB, maxMemoryMB},
		{"resources.accelerators", r.Resources.Accelerators, maxAccelerators},
		{"tasks", int64(r.Tasks), maxTasks},
		{"run_time_ms", r.RunTimeMillis, maxDurationMillis},
		{"deadline_ms", r.DeadlineMillis, maxDurationMillis},
		{"wait_ms", r.WaitMillis, maxWaitMillis},
	}
	for _, a := range amounts {
		if a.value < 0 {
			return fieldError(a.field, "%d is negative", a.value)
		}
		if a.value > a.max {
			return fieldError(a.field, "%d is more than %d", a.value, a.max)
		}
	}
	return nil
}

// maxWaitMillis limits how long a call may wait for an outcome, in milliseconds.
const maxWaitMillis = 10 * 60 * 1000
