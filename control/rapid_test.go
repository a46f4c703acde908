package control

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// rapidTB adapts a rapid.T for quicktest, because rapid.T lacks newer methods of
// testing.TB.
type rapidTB struct {
	testing.TB
	t *rapid.T
}

func (b rapidTB) Helper()           { b.t.Helper() }
func (b rapidTB) Error(args ...any) { b.t.Error(args...) }
func (b rapidTB) Fatal(args ...any) { b.t.Fatal(args...) }

// newRapidC returns a quicktest checker that reports failures to t.
func newRapidC(t *rapid.T) *qt.C { return qt.New(rapidTB{t: t}) }
