package report

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteText writes the table as aligned text, followed by the number of rows and, if there
// are any, the VMs that did not answer. It returns the error of w.
func (t Table) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	headers := make([]string, len(t.Columns))
	for i, c := range t.Columns {
		headers[i] = strings.ToUpper(c.Name)
	}
	fmt.Fprintln(tw, strings.Join(headers, "\t"))
	for _, row := range t.Rows {
		cells := make([]string, len(row))
		for i, v := range row {
			cells[i] = controlCharReplacer.Replace(v.String())
		}
		fmt.Fprintln(tw, strings.Join(cells, "\t"))
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "(%d rows)\n", len(t.Rows))
	if err == nil && len(t.Missing) > 0 {
		_, err = fmt.Fprintf(w, "no answer from: %s\n", strings.Join(t.Missing, ", "))
	}
	return err
}

// controlCharReplacer replaces the control characters that would break the layout of a
// text table or of the terminal.
var controlCharReplacer = strings.NewReplacer("\n", " ", "\t", " ", "\r", " ", "\v", " ", "\f", " ", "\x1b", " ")

// WriteJSON writes the rows as one JSON array of objects with the column names as keys. It
// returns the error of w or of encoding a cell.
func (t Table) WriteJSON(w io.Writer) error {
	var b strings.Builder
	b.WriteString("[")
	for i, row := range t.Rows {
		if i > 0 {
			b.WriteString(",")
		}
		b.WriteString("\n  {")
		for j, v := range row {
			cell, err := json.Marshal(v)
			if err != nil {
				return err
			}
			if j > 0 {
				b.WriteString(", ")
			}
			fmt.Fprintf(&b, "%q: %s", t.Columns[j].Name, cell)
		}
		b.WriteString("}")
	}
	b.WriteString("\n]\n")
	_, err := io.WriteString(w, b.String())
	return err
}
