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

// run carries out one command line and returns the exit code of the process.
func run(args []string, s streams) int {
	var cli CLI
	exited := false
	parser, err := kong.New(&cli,
		kong.Name("oleanderchute"), kong.Description(description), kong.Writers(s.out, s.err),
		kong.Exit(func(int) { exited = true }), // --help was printed
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		panic(err) // the CLI struct is at fault
	}
	parsed, err := parser.Parse(args)
	if exited {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(s.err, "error:", parseMessage(parser, err))
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	a := &app{Globals: cli.Globals, streams: s, ctx: ctx}
	return a.report(parsed.Run(a))
}

var badChoice = regexp.MustCompile(`^(--\S+) must be one of (\S+) but got "(.*)"$`)

// choiceRemedy tells what to type instead of a value that is not among the choices.
func choiceRemedy(message string) string {
	m := badChoice.FindStringSubmatch(message)
	if m == nil {
		return ""
	}
	choices := strings.Split(strings.ReplaceAll(m[2], "\"", ""), ",")
	if near := control.Nearest(m[3], choices); near != "" {
		return fmt.Sprintf("; type \"%s %s\"", m[1], near)
	}
	return ""
}

var unexpectedArgument = regexp.MustCompile(`^unexpected argument ([^\s,]+)`)

// parseMessage adds what to type to the parser's message.
func parseMessage(parser *kong.Kong, err error) string {
	var commands []string
	for _, n := range parser.Model.Leaves(true) {
		commands = append(commands, n.Name)
	}
	message := err.Error()
	var parseErr *kong.ParseError
	atRoot := errors.As(err, &parseErr) && parseErr.Context.Selected() == nil
	if m := unexpectedArgument.FindStringSubmatch(message); m != nil && atRoot {
		message = fmt.Sprintf("unknown command %q", m[1])
		if near := control.Nearest(m[1], commands); near != "" {
			return fmt.Sprintf("%s; type \"oleanderchute %s\"", message, near)
		}
	}
	if remedy := choiceRemedy(message); remedy != "" {
		return message + remedy
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
