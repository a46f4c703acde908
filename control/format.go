package control

import (
	"bytes"

	"gopkg.in/yaml.v3"

	"github.com/oleanderchute/oleanderchute/api"
)

// fileTables is the layout of a table file. It has its own types for pools and quotas,
// because api.Resources has no YAML tags.
type fileTables struct {
	Version uint64      `yaml:"version,omitempty"`
	Routes  []api.Route `yaml:"routes"`
	Pools   []filePool  `yaml:"pools"`
}

type filePool struct {
	Name   string               `yaml:"name"`
	Home   string               `yaml:"home"`
	Shares map[string]int64     `yaml:"shares,omitempty"`
	Quotas map[string]fileQuota `yaml:"quotas,omitempty"`
}

type fileQuota struct {
	MilliCPU     int64 `yaml:"milli_cpu"`
	MemoryMB     int64 `yaml:"memory_mb"`
	Accelerators int64 `yaml:"accelerators,omitempty"`
}

// FormatTables returns a table file for t with entries sorted by name. ParseTables parses
// it back to the same tables. The version in the file becomes the base version of the
// change that the operator applies next.
func FormatTables(t api.Tables) []byte {
	t = NormalizeTables(t)
	out := fileTables{Version: t.Version, Routes: t.Routes}
	for _, p := range t.Pools {
		out.Pools = append(out.Pools, newFilePool(p))
	}
	var buf bytes.Buffer
	enc := yaml.NewEncoder(&buf)
	enc.SetIndent(2)
	if err := enc.Encode(out); err != nil {
		panic(err) // cannot fail, because the layout has only strings and numbers
	}
	return buf.Bytes()
}

func newFilePool(p api.Pool) filePool {
	out := filePool{Name: p.Name, Home: p.Home, Shares: p.Shares}
	for team, q := range p.Quotas {
		if out.Quotas == nil {
			out.Quotas = make(map[string]fileQuota)
		}
		out.Quotas[team] = fileQuota(q)
	}
	return out
}
