package control

import (
	"fmt"

	"gopkg.in/yaml.v3"

	"github.com/oleanderchute/oleanderchute/api"
)

func (p *fileParser) route(n *yaml.Node) api.Route {
	var r api.Route
	p.fields(n, "the route", []field{
		{"name", func(n *yaml.Node) { r.Name = p.name(n, "name") }},
		{"pool", func(n *yaml.Node) { r.Pool = p.name(n, "pool") }},
		{"aliases", func(n *yaml.Node) {
			r.Aliases = parseList(p, n, "aliases", func(n *yaml.Node) string { return p.name(n, "alias") })
		}},
		{"workload", func(n *yaml.Node) { r.Workload = api.Workload(p.choice(n, "workload", workloads)) }},
		{"class", func(n *yaml.Node) { r.Class = api.Class(p.choice(n, "class", classes)) }},
	})
	p.require(n, "the route", "name", "pool")
	return r
}

func (p *fileParser) pool(n *yaml.Node) api.Pool {
	var pool api.Pool
	p.fields(n, "the pool", []field{
		{"name", func(n *yaml.Node) { pool.Name = p.name(n, "name") }},
		{"home", func(n *yaml.Node) { pool.Home = p.name(n, "home") }},
		{"shares", func(n *yaml.Node) {
			pool.Shares = parseTeams(p, n, "shares", func(team string, n *yaml.Node) int64 { return p.integer(n, team, 1) })
		}},
		{"quotas", func(n *yaml.Node) {
			pool.Quotas = parseTeams(p, n, "quotas", func(_ string, n *yaml.Node) api.Resources { return p.resources(n) })
		}},
	})
	p.require(n, "the pool", "name", "home")
	return pool
}

func (p *fileParser) resources(n *yaml.Node) api.Resources {
	var r api.Resources
	p.fields(n, "the quota", []field{
		{"milli_cpu", func(n *yaml.Node) { r.MilliCPU = p.integer(n, "milli_cpu", 0) }},
		{"memory_mb", func(n *yaml.Node) { r.MemoryMB = p.integer(n, "memory_mb", 0) }},
		{"accelerators", func(n *yaml.Node) { r.Accelerators = p.integer(n, "accelerators", 0) }},
	})
	return r
}

// parseTeams reads a mapping from team to value.
func parseTeams[V any](p *fileParser, n *yaml.Node, where string, parse func(team string, value *yaml.Node) V) map[string]V {
	if !p.isKind(n, yaml.MappingNode, where, "one line for each team, \"TEAM: VALUE\"") {
		return nil
	}
	out, seen := make(map[string]V), make(map[string]int)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		if !p.isRepeated(seen, key, where) {
			team := p.name(key, "team")
			out[team] = parse(team, value)
		}
	}
	return out
}

// require refuses an entry without the named fields.
func (p *fileParser) require(n *yaml.Node, where string, names ...string) {
	if n.Kind != yaml.MappingNode {
		return
	}
	present := make(map[string]bool)
	for i := 0; i+1 < len(n.Content); i += 2 {
		present[n.Content[i].Value] = n.Content[i+1].Tag != "!!null"
	}
	for _, name := range names {
		if !present[name] {
			p.fail(n.Line, "", fmt.Sprintf("%s has no %s", where, name), fmt.Sprintf("add \"%s: NAME\"", name))
		}
	}
}
