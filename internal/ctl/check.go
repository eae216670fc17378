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

// checkBatch names the batch that a check plans.
const checkBatch = "check"

// CheckFiles checks statement files, in order, as one whole deployment that starts
// from nothing. The error is an *Error with ExitFaults that names every fault as
// file:line:column. Path "-" reads in.
func CheckFiles(paths []string, in io.Reader) error {
	var faults []string
	var all []statement.Statement
	var files []string
	for _, path := range paths {
		text, err := readFile(path, in)
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
	faults = append(faults, plan(all, files)...)
	if len(faults) > 0 {
		return failf(ExitFaults, "%s", strings.Join(faults, "\n"))
	}
	return nil
}

// plan names the faults of the statements, each of which stands in a file.
func plan(all []statement.Statement, files []string) []string {
	err := command.Check(configuration.Empty(), command.Batch{Name: checkBatch, Statements: all}, command.SCRAM{})
	var batch command.BatchError
	if !errors.As(err, &batch) {
		return nil
	}
	var faults []string
	for _, s := range batch {
		place := fmt.Sprintf("%s:%d:%d", files[s.Number-1], s.Position.Line, s.Position.Column)
		var fields configuration.FieldErrors
		if !errors.As(s.Err, &fields) {
			faults = append(faults, place+": "+s.Err.Error())
			continue
		}
		for _, f := range fields {
			faults = append(faults, place+": "+f.Error())
		}
	}
	return faults
}
