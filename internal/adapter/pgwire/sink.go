package pgwire

import (
	"encoding/binary"
	"errors"
	"io"
)

// errTruncated ends a connection after an answer of the target that ended within a
// message: any further message would be read as a part of it.
var errTruncated = errors.New("the answer of the target ended within a message or was invalid")

// messageSink forwards the messages of a target and tracks the boundaries of messages. It
// reads only their headers.
type messageSink struct {
	w              io.Writer
	header         [headerBytes]byte
	headerLen      int // bytes of the current header received
	bodyLeft       int // bytes of the current body outstanding
	broken         bool
	parseCompletes int // ParseComplete messages forwarded
}

// Write forwards p and returns the error of w.
func (s *messageSink) Write(p []byte) (int, error) {
	n, err := s.w.Write(p)
	s.track(p[:n])
	return n, err
}

func (s *messageSink) track(p []byte) {
	for len(p) > 0 && !s.broken {
		if s.bodyLeft > 0 {
			part := min(s.bodyLeft, len(p))
			s.bodyLeft -= part
			p = p[part:]
			continue
		}
		part := copy(s.header[s.headerLen:], p)
		s.headerLen += part
		p = p[part:]
		if s.headerLen == headerBytes {
			s.beginMessage()
		}
	}
}

// beginMessage processes a complete header. ReadyForQuery breaks the sink, because only
// the proxy may send it.
func (s *messageSink) beginMessage() {
	s.headerLen = 0
	s.bodyLeft = int(int32(binary.BigEndian.Uint32(s.header[1:]))) - (headerBytes - 1)
	s.broken = s.bodyLeft < 0 || s.header[0] == 'Z'
	if s.header[0] == '1' {
		s.parseCompletes++
	}
}

// atBoundary reports whether all messages so far were valid and forwarded completely.
func (s *messageSink) atBoundary() bool {
	return s.headerLen == 0 && s.bodyLeft == 0 && !s.broken
}
