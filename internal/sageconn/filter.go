package sageconn

import (
	"bufio"
	"bytes"
	"net/http"
)

// Limits of the responses to other requests that are skipped before the response to a request. What is beyond them is passed
// on like the request's own response.
const (
	maxSkipped         = 8
	maxSkippedHead     = 8 << 10
	maxSkippedBodySize = 1 << 20
)

var headEnd = []byte("\r\n\r\n")

// filter removes the responses to other requests that precede the response to a request. The zero value removes none.
type filter struct {
	// foreign reports whether a response belongs to another request; nil passes all on.
	foreign func(*http.Response) bool
	// skipped is the number of responses that were removed.
	skipped int
	// unread holds bytes that may be a part of a response to skip.
	unread []byte
	// bodyLeft is the number of bytes to come of the body of the last skipped response.
	bodyLeft int64
}

// add takes bytes that were read and returns those to pass on. From then on all are passed on.
func (f *filter) add(b []byte) []byte {
	if f.foreign == nil {
		return b
	}
	f.unread = append(f.unread, b...)
	for {
		n := min(f.bodyLeft, int64(len(f.unread)))
		f.unread, f.bodyLeft = f.unread[n:], f.bodyLeft-n
		end := bytes.Index(f.unread, headEnd)
		switch {
		case f.bodyLeft > 0 || end < 0 && len(f.unread) < maxSkippedHead:
			return nil
		case end < 0:
			return f.passAll()
		}
		head := f.unread[:end+len(headEnd)]
		size, ok := f.foreignBodySize(head)
		if !ok {
			return f.passAll()
		}
		f.skipped++
		f.unread, f.bodyLeft = f.unread[len(head):], size
	}
}

// passAll ends the filter and returns what it holds.
func (f *filter) passAll() []byte {
	out := f.unread
	f.foreign, f.unread = nil, nil
	return out
}

// foreignBodySize returns the size of the body of a response to skip; false if the response isn't to be skipped.
func (f *filter) foreignBodySize(head []byte) (int64, bool) {
	if f.skipped >= maxSkipped {
		return 0, false
	}
	res, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
	if err != nil || !f.foreign(res) {
		return 0, false
	}
	_ = res.Body.Close() // holds nothing but the head
	return res.ContentLength, res.ContentLength >= 0 && res.ContentLength <= maxSkippedBodySize
}
