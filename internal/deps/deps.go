//go:build tools

// Package deps keeps the declared libraries in go.mod until the packages use them.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/Shopify/toxiproxy/v2"
	_ "github.com/agnivade/levenshtein"
	_ "github.com/alecthomas/kong"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/frankban/quicktest"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/google/btree"
	_ "github.com/google/uuid"
	_ "github.com/hashicorp/golang-lru/v2"
	_ "github.com/olekukonko/tablewriter"
	_ "github.com/pkg/errors"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "go.uber.org/goleak"
	_ "go.uber.org/zap"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gopkg.in/yaml.v3"
	_ "pgregory.net/rapid"
)
