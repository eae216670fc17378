package adminapi

import (
	"fmt"
	"strings"
)

// WriteText writes a response to b as plain text.
func WriteText(b *strings.Builder, r Response) {
	for _, result := range r.Results {
		fmt.Fprintf(b, "%s %s version %d\n", result.Object, result.Result, result.Version)
	}
	for _, t := range r.Tables {
		// Writes to a strings.Builder never fail.
		_ = t.WriteText(b)
	}
	if r.Error != nil {
		r.Error.writeText(b)
	}
}

func (e *Error) writeText(b *strings.Builder) {
	fmt.Fprintf(b, "error %s: %s\n", e.Code, e.Message)
	for _, f := range e.Faults {
		fmt.Fprintf(b, "  line %d, column %d: %s\n", f.Line, f.Column, f.Message)
	}
	if e.Winner == nil {
		return
	}
	if e.Winner.Version == 0 {
		fmt.Fprintf(b, "  %s does not exist\n", e.Winner.Object)
		return
	}
	fmt.Fprintf(b, "  winning version of %s: %d, by command %s\n", e.Winner.Object, e.Winner.Version, e.Winner.Command)
	for _, s := range e.Winner.Statements {
		fmt.Fprintf(b, "    %s\n", strings.ReplaceAll(s, "\n", "\n    "))
	}
}
