package main

import (
	"io"
	"os"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/control"
)

// tableFileOutput is the JSON output of a command that found errors or problems in a table
// file.
type tableFileOutput struct {
	File     string              `json:"file"`
	Errors   []control.FileError `json:"errors,omitempty"`
	Problems []api.Problem       `json:"problems,omitempty"`
}

// readTables reads and parses a table file; "-" means the standard input. If the file has
// errors, readTables prints them and returns an error with their number.
func (a *app) readTables(file string) (api.Tables, error) {
	data, err := a.readFile(file)
	if err != nil {
		return api.Tables{}, failureErrorf("%v", err)
	}
	tables, fileErrors := control.ParseTables(data)
	if len(fileErrors) == 0 {
		return tables, nil
	}
	err = a.print(tableFileOutput{File: file, Errors: fileErrors}, func() {
		for _, f := range fileErrors {
			a.printLinef("%s: %v", file, f)
		}
	})
	if err != nil {
		return api.Tables{}, err
	}
	return api.Tables{}, failureErrorf("%s: errors found: %d", file, len(fileErrors))
}

func (a *app) readFile(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(a.in)
	}
	return os.ReadFile(file)
}

// reportProblems prints the problems and returns an error if one has the severity error.
func (a *app) reportProblems(file string, problems []api.Problem) error {
	err := a.print(tableFileOutput{File: file, Problems: problems}, func() { a.printProblemList(problems) })
	if err != nil {
		return err
	}
	if n := countErrors(problems); n > 0 {
		return failureErrorf("%s: errors found: %d", file, n)
	}
	return nil
}

func countErrors(problems []api.Problem) int {
	n := 0
	for _, p := range problems {
		if p.Severity == api.SeverityError {
			n++
		}
	}
	return n
}
