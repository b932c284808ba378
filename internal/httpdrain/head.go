package httpdrain

import "bytes"

// headScanner measures the head of a request, as its bytes arrive.
type headScanner struct {
	// size is the number of bytes and lines the number of lines up to and including the empty
	// line that ends the head.
	size  int
	lines int
	// lineLength is that of the last, incomplete line without its CR.
	lineLength int
	complete   bool
}

// scan measures further bytes. Those behind the head are ignored.
func (s *headScanner) scan(text []byte) {
	for len(text) > 0 && !s.complete {
		end := bytes.IndexByte(text, '\n')
		if end < 0 {
			s.size += len(text)
			s.lineLength += len(text)
			if text[len(text)-1] == '\r' {
				s.lineLength--
			}
			return
		}
		line := text[:end]
		s.lineLength += len(bytes.TrimSuffix(line, []byte{'\r'}))
		s.size += end + 1
		s.lines++
		s.complete = s.lineLength <= 0
		s.lineLength = 0
		text = text[end+1:]
	}
}
