package wireunit

import "io"

// CountingSink counts the bytes that it writes to another sink.
type CountingSink struct {
	Sink io.Writer
	// Written is the number of bytes that Sink accepted.
	Written int64
}

// Write writes p to Sink and returns its error.
func (s *CountingSink) Write(p []byte) (int, error) {
	n, err := s.Sink.Write(p)
	s.Written += int64(n)
	return n, err
}
