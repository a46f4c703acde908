package main

import (
	"fmt"
	"os"
	"strconv"

	"github.com/oleanderchute/oleanderchute/api"
)

// RequestFlags are the arguments that identify a request.
type RequestFlags struct {
	Key    string `arg:"" help:"Key of the request, unique for its caller."`
	Caller string `required:"" env:"OLEANDER_CALLER" help:"Caller that the key belongs to."`
	Kind   string `required:"" help:"Kind of the request: a route or one of its aliases."`
}

func (r RequestFlags) key() api.RequestKey { return api.RequestKey{Caller: r.Caller, Key: r.Key} }

// AnswerFlag is the flag for the file that receives the answer of a request.
type AnswerFlag struct {
	Answer string `type:"path" placeholder:"FILE" help:"Write the answer to this file."`
}

// withOutcomeHint adds the command that queries the outcome to an error that leaves the
// outcome unknown.
func (r RequestFlags) withOutcomeHint(err error) error {
	if exitCode(err) != exitUnknown {
		return err
	}
	return &exitError{exitUnknown, fmt.Sprintf("%v; to get the outcome, type \"oleanderchute outcome %s --caller %s --kind %s\"", err, r.Key, r.Caller, r.Kind)}
}

// outcomeExitCode returns the exit code of submit and outcome for the state of the request.
func outcomeExitCode(s api.State) int {
	switch s {
	case api.StateFailed, api.StateNotRun:
		return exitFailed
	case api.StateUnknown:
		return exitUnknown
	}
	return exitOK
}

// printRequestStatus prints the status of a request. If the request is done and a file is
// named, it writes the answer to the file. It returns an exitError unless the exit code is 0.
func (a *app) printRequestStatus(s api.RequestStatus, answerFile string, exitCodeOf func(api.State) int) error {
	if answerFile != "" && s.State == api.StateDone {
		if err := os.WriteFile(answerFile, s.Answer, 0o600); err != nil {
			return failureErrorf("%v", err)
		}
	}
	err := a.print(s, func() {
		a.printTable([]string{"KEY", "STATE", "WORKER", "ATTEMPT", "WAITED", "ANSWER", "REASON"}, [][]string{{
			s.Caller + "/" + s.Key, string(s.State), s.Worker, strconv.Itoa(s.Attempt),
			fmt.Sprintf("%d ms", s.WaitedMillis), fmt.Sprintf("%d bytes", len(s.Answer)), s.Reason}})
	})
	if err != nil {
		return err
	}
	if code := exitCodeOf(s.State); code != exitOK {
		return &exitError{code: code}
	}
	return nil
}
