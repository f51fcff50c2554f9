package fgheader

import (
	"bytes"
	"fmt"
)

// HeadScanner checks the head of a response while it is read, for what net/http accepts and
// hides: a folded line (RFC 9112, section 5.2), which net/http appends to the one before, and
// a transfer coding under HTTP/1.0 (section 6.1), which it ignores. A length can be lost in
// the first, and the second leaves the end of the body open. The zero value is ready for a
// status line.
type HeadScanner struct {
	// line is the beginning of a line that has not ended. It is as long as its reader allows.
	line []byte
	// inFields means that the status line was read.
	inFields bool
	interim  bool
	http10   bool
	ended    bool
}

// Reset prepares the scanner for the next head.
func (s *HeadScanner) Reset() { *s = HeadScanner{line: s.line[:0]} }

// Scan checks the next bytes of a response. Those after the head are ignored, except after
// the head of an interim response, which another head follows. The error wraps ErrInvalid.
func (s *HeadScanner) Scan(b []byte) error {
	for len(b) > 0 && !s.ended {
		line, rest, complete := bytes.Cut(b, []byte{'\n'})
		b = rest
		if !complete || len(s.line) > 0 {
			s.line = append(s.line, line...)
			line = s.line
		}
		if !complete {
			return nil
		}
		if err := s.scanLine(bytes.TrimSuffix(line, []byte{'\r'})); err != nil {
			return err
		}
		s.line = s.line[:0]
	}
	return nil
}

// Ended reports whether the head of the final response was read.
func (s *HeadScanner) Ended() bool { return s.ended }

func (s *HeadScanner) scanLine(line []byte) error {
	name, _, _ := bytes.Cut(line, []byte{':'})
	switch {
	case !s.inFields:
		version, status, _ := bytes.Cut(line, []byte{' '})
		s.inFields = true
		s.http10 = string(version) == "HTTP/1.0"
		s.interim = bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte{'1'})
	case len(line) == 0:
		s.inFields, s.ended = false, !s.interim
	case line[0] == ' ' || line[0] == '\t':
		return fmt.Errorf("%w: folded line %.80q", ErrInvalid, line)
	case s.http10 && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		return fmt.Errorf("%w: transfer coding under HTTP/1.0", ErrInvalid)
	}
	return nil
}
