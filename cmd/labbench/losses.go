package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/daylosses"
	"github.com/laburnumrack/laburnumrack/internal/logread"
)

type lossesCommand struct {
	Logs   []string      `arg:"positional,required" placeholder:"LOG" help:"event logs of daemons"`
	Window time.Duration `arg:"--window" default:"2s" help:"length of a window"`
	Start  time.Duration `arg:"--start" default:"0s" help:"time after the first line at which windows are numbered 0"`
	Rows   int           `arg:"--rows" default:"5" placeholder:"N" help:"rows per window"`
}

// run prints the table of the losses of all logs.
func (c *lossesCommand) run() error {
	if c.Window <= 0 || c.Rows <= 0 {
		return errors.New("--window and --rows must be positive")
	}
	var lines []logread.Line
	for _, path := range c.Logs {
		read, err := readLog(path)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	return daylosses.Write(os.Stdout, daylosses.Collect(lines, c.Window), c.Start, c.Rows)
}

// readLog reads the event log at path.
func readLog(path string) ([]logread.Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	lines, err := logread.Read(f)
	return lines, errors.Join(err, f.Close())
}
