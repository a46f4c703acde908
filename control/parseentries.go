package control

import (
	"fmt"

	"gopkg.in/yaml.v3"

	"github.com/oleanderchute/oleanderchute/api"
)

func (p *fileParser) parseRoute(n *yaml.Node) api.Route {
	var r api.Route
	p.parseFields(n, "the route", []field{
		{"name", func(n *yaml.Node) { r.Name = p.parseName(n, "name") }},
		{"pool", func(n *yaml.Node) { r.Pool = p.parseName(n, "pool") }},
		{"aliases", func(n *yaml.Node) {
			r.Aliases = parseList(p, n, "aliases", func(n *yaml.Node) string { return p.parseName(n, "alias") })
		}},
		{"workload", func(n *yaml.Node) { r.Workload = api.Workload(p.parseChoice(n, "workload", workloadNames)) }},
		{"class", func(n *yaml.Node) { r.Class = api.Class(p.parseChoice(n, "class", classNames)) }},
	})
	p.requireFields(n, "the route", "name", "pool")
	return r
}

func (p *fileParser) parsePool(n *yaml.Node) api.Pool {
	var pool api.Pool
	p.parseFields(n, "the pool", []field{
		{"name", func(n *yaml.Node) { pool.Name = p.parseName(n, "name") }},
		{"home", func(n *yaml.Node) { pool.Home = p.parseName(n, "home") }},
		{"shares", func(n *yaml.Node) {
			pool.Shares = parseTeams(p, n, "shares", func(team string, n *yaml.Node) int64 { return p.parseInteger(n, team, 1) })
		}},
		{"quotas", func(n *yaml.Node) {
			pool.Quotas = parseTeams(p, n, "quotas", func(_ string, n *yaml.Node) api.Resources { return p.parseResources(n) })
		}},
	})
	p.requireFields(n, "the pool", "name", "home")
	return pool
}

func (p *fileParser) parseResources(n *yaml.Node) api.Resources {
	var r api.Resources
	p.parseFields(n, "the quota", []field{
		{"milli_cpu", func(n *yaml.Node) { r.MilliCPU = p.parseInteger(n, "milli_cpu", 0) }},
		{"memory_mb", func(n *yaml.Node) { r.MemoryMB = p.parseInteger(n, "memory_mb", 0) }},
		{"accelerators", func(n *yaml.Node) { r.Accelerators = p.parseInteger(n, "accelerators", 0) }},
	})
	return r
}

// parseTeams parses a mapping from team names to values.
func parseTeams[V any](p *fileParser, n *yaml.Node, where string, parse func(team string, value *yaml.Node) V) map[string]V {
	if !p.expectKind(n, yaml.MappingNode, where, "one line for each team, \"TEAM: VALUE\"") {
		return nil
	}
	out, seen := make(map[string]V), make(map[string]int)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		if !p.reportRepeated(seen, key, where) {
			team := p.parseName(key, "team")
			out[team] = parse(team, value)
		}
	}
	return out
}

// requireFields reports each of the named fields that a mapping lacks.
func (p *fileParser) requireFields(n *yaml.Node, where string, names ...string) {
	if n.Kind != yaml.MappingNode {
		return
	}
	present := make(map[string]bool)
	for i := 0; i+1 < len(n.Content); i += 2 {
		present[n.Content[i].Value] = n.Content[i+1].Tag != "!!null"
	}
	for _, name := range names {
		if !present[name] {
			p.addError(n.Line, "", fmt.Sprintf("%s has no %s", where, name), fmt.Sprintf("add \"%s: NAME\"", name))
		}
	}
}
