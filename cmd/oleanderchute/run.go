package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"regexp"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/control"
)

// run executes one command line and returns the exit code of the process.
func run(args []string, s streams) int {
	var cli CLI
	helpPrinted := false
	parser, err := kong.New(&cli,
		kong.Name("oleanderchute"), kong.Description(description), kong.Writers(s.out, s.err),
		kong.Exit(func(int) { helpPrinted = true }), // --help was printed
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		panic(err) // the tags of the CLI struct are invalid
	}
	parsed, err := parser.Parse(args)
	if helpPrinted {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(s.err, "error:", parseErrorMessage(parser, err))
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	a := &app{Globals: cli.Globals, streams: s, ctx: ctx}
	return a.reportError(parsed.Run(a))
}

var invalidChoicePattern = regexp.MustCompile(`^(--\S+) must be one of (\S+) but got "(.*)"$`)

// choiceSuggestion returns what to type if the message is about a flag value that resembles
// one of the allowed choices, and otherwise an empty string.
func choiceSuggestion(message string) string {
	match := invalidChoicePattern.FindStringSubmatch(message)
	if match == nil {
		return ""
	}
	choices := strings.Split(strings.ReplaceAll(match[2], "\"", ""), ",")
	if nearest := control.Nearest(match[3], choices); nearest != "" {
		return fmt.Sprintf("; type \"%s %s\"", match[1], nearest)
	}
	return ""
}

var unexpectedArgumentPattern = regexp.MustCompile(`^unexpected argument ([^\s,]+)`)

// parseErrorMessage returns the message of the parser and what to type instead.
func parseErrorMessage(parser *kong.Kong, err error) string {
	var commands []string
	for _, n := range parser.Model.Leaves(true) {
		commands = append(commands, n.Name)
	}
	message := err.Error()
	var parseErr *kong.ParseError
	atRoot := errors.As(err, &parseErr) && parseErr.Context.Selected() == nil
	if m := unexpectedArgumentPattern.FindStringSubmatch(message); m != nil && atRoot {
		message = fmt.Sprintf("unknown command %q", m[1])
		if nearest := control.Nearest(m[1], commands); nearest != "" {
			return fmt.Sprintf("%s; type \"oleanderchute %s\"", message, nearest)
		}
	}
	if suggestion := choiceSuggestion(message); suggestion != "" {
		return message + suggestion
	}
	if strings.HasPrefix(message, "expected one of") {
		message = "no command is given"
	}
	if atRoot {
		return fmt.Sprintf("%s; commands are %s; type \"oleanderchute COMMAND --help\"", message, strings.Join(commands, ", "))
	}
	if parseErr != nil {
		return fmt.Sprintf("%s; type \"oleanderchute %s --help\" for an example", message, parseErr.Context.Selected().Name)
	}
	return message
}
