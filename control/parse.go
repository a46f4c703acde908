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

// maxFileBytes limits the size of a table file. A file with 10,000 routes has about 1 MB.
const maxFileBytes = 8 << 20

// maxFileErrors limits the number of errors that are reported for a file.
const maxFileErrors = 100

// FileError is an error in a table file.
type FileError struct {
	Line    int    `json:"line"` // counted from 1; 0 if unknown
	Message string `json:"message"`
	// Nearest is the valid text that is most similar to the one in the file, or "".
	Nearest string `json:"nearest,omitempty"`
	// Remedy tells the operator what to write in the file.
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

// ParseTables parses a table file. If it returns errors, the tables are incomplete and
// must not be applied. It does not detect inconsistencies between entries; Check does.
func ParseTables(data []byte) (api.Tables, []FileError) {
	p := &fileParser{}
	root := p.parseDocument(data)
	var t api.Tables
	if root != nil {
		p.parseFields(root, "the file", []field{
			{"version", func(n *yaml.Node) { t.Version = uint64(p.parseInteger(n, "version", 0)) }},
			{"routes", func(n *yaml.Node) { t.Routes = parseList(p, n, "routes", p.parseRoute) }},
			{"pools", func(n *yaml.Node) { t.Pools = parseList(p, n, "pools", p.parsePool) }},
		})
	}
	return t, p.errors
}

// fileParser walks the YAML nodes of a table file and collects the errors.
type fileParser struct {
	errors []FileError
}

func (p *fileParser) addError(line int, nearest, message, remedy string) {
	if len(p.errors) < maxFileErrors {
		p.errors = append(p.errors, FileError{Line: line, Message: message, Nearest: nearest, Remedy: remedy})
	}
}

// parseDocument returns the root node of the file's only document, or nil after an error,
// such as for an empty file.
func (p *fileParser) parseDocument(data []byte) *yaml.Node {
	if len(data) > maxFileBytes {
		p.addError(0, "", fmt.Sprintf("the file has %d bytes; at most %d are allowed", len(data), maxFileBytes), "remove routes or pools that nobody uses")
		return nil
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc, second yaml.Node
	if err := dec.Decode(&doc); err != nil {
		p.addSyntaxError(err)
		return nil
	}
	if err := dec.Decode(&second); err != io.EOF {
		p.addError(second.Line, "", "the file has a second document", "remove the \"---\" between them")
		return nil
	}
	return doc.Content[0]
}

// yamlLine matches the position at the start of an error text of the YAML decoder.
var yamlLine = regexp.MustCompile(`^yaml: line (\d+): `)

// addSyntaxError reports an error of the YAML decoder.
func (p *fileParser) addSyntaxError(err error) {
	if err == io.EOF {
		p.addError(1, "", "the file is empty", "write \"routes:\" and \"pools:\"")
		return
	}
	line, text := 0, err.Error()
	if m := yamlLine.FindStringSubmatch(text); m != nil {
		line, _ = strconv.Atoi(m[1])
		text = text[len(m[0]):]
	}
	p.addError(line, "", "not valid YAML: "+strings.TrimPrefix(text, "yaml: "), "check the indentation and the quotes of this line and the one before")
}

// field is a known field of a mapping, with the function that parses its value.
type field struct {
	name string
	set  func(*yaml.Node)
}

// parseFields calls the set function of each field in a mapping. It reports unknown and
// repeated fields. A field without a value counts as absent. In this and the other parse
// methods, where names the node in error messages.
func (p *fileParser) parseFields(n *yaml.Node, where string, known []field) {
	if !p.expectKind(n, yaml.MappingNode, where, "fields such as \""+known[0].name+": ...\"") {
		return
	}
	seen := make(map[string]int)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		if p.reportRepeated(seen, key, where) {
			continue
		}
		f, ok := findField(known, key)
		if !ok {
			p.addUnknownField(key, where, known)
		} else if value.Tag != "!!null" {
			f.set(value)
		}
	}
}

// reportRepeated reports a key that occurred before in its mapping and returns whether it
// did. The map seen holds the line of each key so far.
func (p *fileParser) reportRepeated(seen map[string]int, key *yaml.Node, where string) bool {
	if first, ok := seen[key.Value]; ok {
		p.addError(key.Line, "", fmt.Sprintf("%s has %q twice, first in line %d", where, key.Value, first), "remove one of them")
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

// addUnknownField reports a field that is not in known.
func (p *fileParser) addUnknownField(key *yaml.Node, where string, known []field) {
	names := make([]string, 0, len(known))
	for _, f := range known {
		names = append(names, f.name)
	}
	near := Nearest(key.Value, names)
	remedy := "known fields are " + strings.Join(names, ", ")
	if near != "" {
		remedy = fmt.Sprintf("write %q", near+":")
	}
	p.addError(key.Line, near, fmt.Sprintf("%s has the unknown field %q", where, truncate(key.Value, maxNameBytes)), remedy)
}

// parseList parses each element of a sequence.
func parseList[T any](p *fileParser, n *yaml.Node, where string, parse func(*yaml.Node) T) []T {
	if !p.expectKind(n, yaml.SequenceNode, where, "a list whose entries begin with \"- \"") {
		return nil
	}
	var out []T
	for _, item := range n.Content {
		out = append(out, parse(item))
	}
	return out
}

// yamlKindNames describes the kinds of YAML nodes in error messages.
var yamlKindNames = map[yaml.Kind]string{
	yaml.MappingNode: "fields", yaml.SequenceNode: "a list", yaml.ScalarNode: "a single value",
}

// expectKind reports a node that has another kind or uses an anchor or reference, and
// returns whether the node is as expected. The text expected tells the operator what to
// write.
func (p *fileParser) expectKind(n *yaml.Node, want yaml.Kind, where, expected string) bool {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		p.addError(n.Line, "", where+" uses a YAML anchor or reference", "write the value out")
		return false
	}
	if n.Kind != want {
		p.addError(n.Line, "", fmt.Sprintf("%s is %s", where, yamlKindNames[n.Kind]), "write "+expected)
		return false
	}
	return true
}

// parseText parses a string. It rejects unquoted numbers and booleans, because the meaning
// of a value such as 010 or no depends on the YAML version.
func (p *fileParser) parseText(n *yaml.Node, name string) string {
	if !p.expectKind(n, yaml.ScalarNode, name, fmt.Sprintf("\"%s: NAME\"", name)) {
		return ""
	}
	if n.Tag != "!!str" {
		p.addError(n.Line, "", fmt.Sprintf("%s is %s, not text", name, truncate(n.Value, maxNameBytes)), fmt.Sprintf("write %s in quotes: %q", name, n.Value))
		return ""
	}
	return n.Value
}

// parseName parses a string that must satisfy validateName.
func (p *fileParser) parseName(n *yaml.Node, name string) string {
	s := p.parseText(n, name)
	if n.Tag != "!!str" || n.Kind != yaml.ScalarNode {
		return s
	}
	if violation := validateName(s); violation != "" {
		shown := truncate(s, maxNameBytes)
		p.addError(n.Line, "", fmt.Sprintf("%s %q %s", name, shown, violation), badNameRemedy(shown))
	}
	return s
}

// parseInteger parses a whole number that must be at least minimum.
func (p *fileParser) parseInteger(n *yaml.Node, name string, minimum int64) int64 {
	if !p.expectKind(n, yaml.ScalarNode, name, fmt.Sprintf("\"%s: NUMBER\"", name)) {
		return 0
	}
	v, err := strconv.ParseInt(n.Value, 10, 64)
	if n.Tag != "!!int" || err != nil {
		p.addError(n.Line, "", fmt.Sprintf("%s is %q, not a whole number", name, truncate(n.Value, maxNameBytes)), fmt.Sprintf("write \"%s: NUMBER\" without unit", name))
		return 0
	}
	if v < minimum {
		p.addError(n.Line, "", fmt.Sprintf("%s is %d", name, v), fmt.Sprintf("write %d or more", minimum))
	}
	return v
}

// parseChoice parses a string that must be one of choices.
func (p *fileParser) parseChoice(n *yaml.Node, name string, choices []string) string {
	s := p.parseText(n, name)
	for _, c := range choices {
		if s == c {
			return s
		}
	}
	if n.Kind == yaml.ScalarNode && n.Tag == "!!str" {
		near := Nearest(s, choices)
		p.addError(n.Line, near, fmt.Sprintf("%s is %q", name, truncate(s, maxNameBytes)), choiceRemedy(name, near, choices))
	}
	return s
}
