package control

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"

	"github.com/oleanderchute/oleanderchute/api"
)

// maxFileBytes bounds a table file. 10,000 routes take about 1 MB.
const maxFileBytes = 8 << 20

// maxFileErrors bounds the list of errors of one file.
const maxFileErrors = 100

// FileError is a fault in a table file.
type FileError struct {
	Line    int    `json:"line"` // from 1; 0 if unknown
	Message string `json:"message"`
	Nearest string `json:"nearest,omitempty"`
	// Remedy says what to type.
	Remedy string `json:"remedy,omitempty"`
}

// Error returns "line N: message; remedy".
func (e FileError) Error() string {
	s := e.Message
	if e.Line > 0 {
		s = fmt.Sprintf("line %d: %s", e.Line, s)
	}
	if e.Remedy != "" {
		s += "; " + e.Remedy
	}
	return s
}

// ParseTables reads a table file. If there is any error, the tables hold what could be
// read and must not be applied. Faults between entries are found by Check.
func ParseTables(data []byte) (api.Tables, []FileError) {
	p := &fileParser{}
	root := p.document(data)
	var t api.Tables
	if root != nil {
		p.fields(root, "the file", []field{
			{"version", func(n *yaml.Node) { t.Version = uint64(p.integer(n, "version", 0)) }},
			{"routes", func(n *yaml.Node) { t.Routes = parseList(p, n, "routes", p.route) }},
			{"pools", func(n *yaml.Node) { t.Pools = parseList(p, n, "pools", p.pool) }},
		})
	}
	return t, p.errors
}

// fileParser walks the nodes of a file and collects the errors.
type fileParser struct {
	errors []FileError
}

func (p *fileParser) fail(line int, nearest, message, remedy string) {
	if len(p.errors) < maxFileErrors {
		p.errors = append(p.errors, FileError{Line: line, Message: message, Nearest: nearest, Remedy: remedy})
	}
}

// document returns the root mapping, or nil after an error or for an empty file.
func (p *fileParser) document(data []byte) *yaml.Node {
	if len(data) > maxFileBytes {
		p.fail(0, "", fmt.Sprintf("the file has %d bytes; at most %d are allowed", len(data), maxFileBytes), "remove routes or pools that nobody uses")
		return nil
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc, second yaml.Node
	if err := dec.Decode(&doc); err != nil {
		p.syntax(err)
		return nil
	}
	if err := dec.Decode(&second); err != io.EOF {
		p.fail(second.Line, "", "the file has a second document", "remove the \"---\" between them")
		return nil
	}
	return doc.Content[0]
}

var yamlLine = regexp.MustCompile(`^yaml: line (\d+): `)

func (p *fileParser) syntax(err error) {
	if err == io.EOF {
		p.fail(1, "", "the file is empty", "write \"routes:\" and \"pools:\"")
		return
	}
	line, text := 0, err.Error()
	if m := yamlLine.FindStringSubmatch(text); m != nil {
		line, _ = strconv.Atoi(m[1])
		text = text[len(m[0]):]
	}
	p.fail(line, "", "not valid YAML: "+strings.TrimPrefix(text, "yaml: "), "check the indentation and the quotes of this line and the one before")
}

// field is one known field of a mapping.
type field struct {
	name string
	set  func(*yaml.Node)
}

// fields calls the setter of each field of a mapping. It refuses unknown and repeated
// fields. A field without value counts as absent.
func (p *fileParser) fields(n *yaml.Node, where string, known []field) {
	if !p.isKind(n, yaml.MappingNode, where, "fields such as \""+known[0].name+": ...\"") {
		return
	}
	seen := make(map[string]int)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		if p.isRepeated(seen, key, where) {
			continue
		}
		f, ok := findField(known, key)
		if !ok {
			p.unknownField(key, where, known)
		} else if value.Tag != "!!null" {
			f.set(value)
		}
	}
}

func (p *fileParser) isRepeated(seen map[string]int, key *yaml.Node, where string) bool {
	if first, ok := seen[key.Value]; ok {
		p.fail(key.Line, "", fmt.Sprintf("%s has %q twice, first in line %d", where, key.Value, first), "remove one of them")
		return true
	}
	seen[key.Value] = key.Line
	return false
}

func findField(known []field, key *yaml.Node) (field, bool) {
	for _, f := range known {
		if key.Kind == yaml.ScalarNode && f.name == key.Value {
			return f, true
		}
	}
	return field{}, false
}

func (p *fileParser) unknownField(key *yaml.Node, where string, known []field) {
	names := make([]string, 0, len(known))
	for _, f := range known {
		names = append(names, f.name)
	}
	near := Nearest(key.Value, names)
	remedy := "known fields are " + strings.Join(names, ", ")
	if near != "" {
		remedy = fmt.Sprintf("write %q", near+":")
	}
	p.fail(key.Line, near, fmt.Sprintf("%s has the unknown field %q", where, truncate(key.Value, maxNameBytes)), remedy)
}

// parseList reads each element of a sequence.
func parseList[T any](p *fileParser, n *yaml.Node, where string, parse func(*yaml.Node) T) []T {
	if !p.isKind(n, yaml.SequenceNode, where, "a list whose entries begin with \"- \"") {
		return nil
	}
	var out []T
	for _, item := range n.Content {
		out = append(out, parse(item))
	}
	return out
}

var kindNames = map[yaml.Kind]string{
	yaml.MappingNode: "fields", yaml.SequenceNode: "a list", yaml.ScalarNode: "a single value",
}

func (p *fileParser) isKind(n *yaml.Node, want yaml.Kind, where, expected string) bool {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		p.fail(n.Line, "", where+" uses a YAML anchor or reference", "write the value out")
		return false
	}
	if n.Kind != want {
		p.fail(n.Line, "", fmt.Sprintf("%s is %s", where, kindNames[n.Kind]), "write "+expected)
		return false
	}
	return true
}

// text reads a string. Numbers and booleans are refused, since a name such as 010 or no
// would depend on the YAML version.
func (p *fileParser) text(n *yaml.Node, name string) string {
	if !p.isKind(n, yaml.ScalarNode, name, fmt.Sprintf("\"%s: NAME\"", name)) {
		return ""
	}
	if n.Tag != "!!str" {
		p.fail(n.Line, "", fmt.Sprintf("%s is %s, not text", name, truncate(n.Value, maxNameBytes)), fmt.Sprintf("write %s in quotes: %q", name, n.Value))
		return ""
	}
	return n.Value
}

// name reads a string that follows the rules for names.
func (p *fileParser) name(n *yaml.Node, name string) string {
	s := p.text(n, name)
	if n.Tag != "!!str" || n.Kind != yaml.ScalarNode {
		return s
	}
	if fault := nameFault(s); fault != "" {
		shown := truncate(s, maxNameBytes)
		p.fail(n.Line, "", fmt.Sprintf("%s %q %s", name, shown, fault), badNameRemedy(shown))
	}
	return s
}

// integer reads a whole number of at least least.
func (p *fileParser) integer(n *yaml.Node, name string, least int64) int64 {
	if !p.isKind(n, yaml.ScalarNode, name, fmt.Sprintf("\"%s: NUMBER\"", name)) {
		return 0
	}
	v, err := strconv.ParseInt(n.Value, 10, 64)
	if n.Tag != "!!int" || err != nil {
		p.fail(n.Line, "", fmt.Sprintf("%s is %q, not a whole number", name, truncate(n.Value, maxNameBytes)), fmt.Sprintf("write \"%s: NUMBER\" without unit", name))
		return 0
	}
	if v < least {
		p.fail(n.Line, "", fmt.Sprintf("%s is %d", name, v), fmt.Sprintf("write %d or more", least))
	}
	return v
}

func (p *fileParser) choice(n *yaml.Node, name string, choices []string) string {
	s := p.text(n, name)
	for _, c := range choices {
		if s == c {
			return s
		}
	}
	if n.Kind == yaml.ScalarNode && n.Tag == "!!str" {
		near := Nearest(s, choices)
		p.fail(n.Line, near, fmt.Sprintf("%s is %q", name, truncate(s, maxNameBytes)), choiceRemedy(name, near, choices))
	}
	return s
}
