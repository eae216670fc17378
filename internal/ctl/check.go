package ctl

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/laburnumrack/laburnumrack/internal/command"
	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/statement"
)

// checkBatchName is the name of the batch that CheckFiles validates.
const checkBatchName = "check"

// CheckFiles validates statement files, in order, as one deployment that starts from an
// empty configuration. The error is an *Error with ExitFaults that lists every fault with
// file:line:column. The path "-" reads from in.
func CheckFiles(paths []string, in io.Reader) error {
	var faults []string
	var all []statement.Statement
	var files []string
	for _, path := range paths {
		text, err := readStatementFile(path, in)
		if err != nil {
			faults = append(faults, err.Error())
			continue
		}
		statements, errs := statement.Parse(text)
		for _, e := range errs {
			faults = append(faults, fmt.Sprintf("%s:%d:%d: %s", path, e.Line, e.Column, e.Message))
		}
		for _, s := range statements {
			if s.Mutates() {
				all = append(all, s)
				files = append(files, path)
			}
		}
	}
	faults = append(faults, planFaults(all, files)...)
	if len(faults) > 0 {
		return errorf(ExitFaults, "%s", strings.Join(faults, "\n"))
	}
	return nil
}

// planFaults returns the faults of the statements in all as lines of text. files holds the
// path of the file of each statement.
func planFaults(all []statement.Statement, files []string) []string {
	err := command.Check(configuration.Empty(), command.Batch{Name: checkBatchName, Statements: all}, command.SCRAM{})
	var batch command.BatchError
	if !errors.As(err, &batch) {
		return nil
	}
	var faults []string
	for _, s := range batch {
		location := fmt.Sprintf("%s:%d:%d", files[s.Number-1], s.Position.Line, s.Position.Column)
		var fields configuration.FieldErrors
		if !errors.As(s.Err, &fields) {
			faults = append(faults, location+": "+s.Err.Error())
			continue
		}
		for _, f := range fields {
			faults = append(faults, location+": "+f.Error())
		}
	}
	return faults
}
