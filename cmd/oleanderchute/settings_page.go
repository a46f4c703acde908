package main

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

//go:generate go run . settings-page --file ../../docs/settings.md

// SettingsPageCmd generates docs/settings.md from the flags of serve.
type SettingsPageCmd struct {
	File string `required:"" type:"path" help:"File to write."`
}

// Help returns the detailed help of the command.
func (SettingsPageCmd) Help() string {
	return "Example: oleanderchute settings-page --file docs/settings.md"
}

// Run writes the page.
func (c *SettingsPageCmd) Run(*app) error {
	parser, err := kong.New(&CLI{})
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(c.File, []byte(settingsPage(parser.Model)), 0o644))
}

const settingsPageHeader = `# Settings of the daemon

Generated from the flags of ` + "`oleanderchute serve`" + `; change the flags and run
` + "`go generate ./cmd/oleanderchute`" + `. A flag on the command line goes before its environment
variable. Durations are written as 300ms, 2s or 5m.

| flag | environment variable | value | default | meaning |
|---|---|---|---|---|
`

// settingsPage returns the settings page in Markdown.
func settingsPage(model *kong.Application) string {
	var page strings.Builder
	page.WriteString(settingsPageHeader)
	for _, n := range model.Leaves(false) {
		if n.Name != "serve" {
			continue
		}
		for _, f := range n.Flags {
			page.WriteString(settingsRow(f))
		}
	}
	return page.String()
}

func settingsRow(f *kong.Flag) string {
	cells := []string{inlineCode("--" + f.Name), inlineCode(strings.Join(f.Envs, ", ")), flagValueType(f), flagDefault(f), f.Help}
	for i, cell := range cells {
		cells[i] = strings.ReplaceAll(cell, "|", `\|`)
	}
	return "| " + strings.Join(cells, " | ") + " |\n"
}

func inlineCode(s string) string {
	if s == "" {
		return ""
	}
	return "`" + s + "`"
}

// flagValueType returns the choices of a flag or the type of its value.
func flagValueType(f *kong.Flag) string {
	if f.Enum != "" {
		return strings.ReplaceAll(f.Enum, ",", ", ")
	}
	t := f.Target.Type()
	if t == reflect.TypeFor[time.Duration]() {
		return "duration"
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "number"
	case reflect.Map:
		return fmt.Sprintf("NAME=VALUE, separated by %q", f.Tag.MapSep)
	case reflect.Slice:
		return fmt.Sprintf("list, separated by %q", f.Tag.Sep)
	default:
		return "text"
	}
}

func flagDefault(f *kong.Flag) string {
	if f.Required {
		return "required"
	}
	return inlineCode(f.Default)
}
