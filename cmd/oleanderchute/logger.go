package main

import (
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// newLogger returns a logger that writes JSON lines of at least the given level to the
// standard error stream.
func newLogger(level string) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	cfg.Sampling = nil
	cfg.DisableStacktrace = true
	if err := cfg.Level.UnmarshalText([]byte(level)); err != nil {
		return nil, errors.Wrapf(err, "--log-level=%s", level)
	}
	log, err := cfg.Build()
	return log, errors.WithStack(err)
}
