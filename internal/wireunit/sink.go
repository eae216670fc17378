package wireunit

import "io"

// CountingSink counts what it passes on to another sink.
type CountingSink struct {
	Sink io.Writer
	// Written is the number of bytes that were passed on.
	Written int64
}

// Write passes p on.
func (s *CountingSink) Write(p []byte) (int, error) {
	n, err := s.Sink.Write(p)
	s.Written += int64(n)
	return n, err
}
