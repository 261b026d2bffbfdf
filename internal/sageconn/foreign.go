package sageconn

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// httpVersion is how status lines begin, firstStatus the shortest status line.
const (
	httpVersion = "HTTP/1."
	firstStatus = "HTTP/1.1 000"
)

// Limits of the search for heads inside a body.
const (
	// maxHeadBuffer is the largest buffer in bytes for a head.
	maxHeadBuffer = 4 << 10
	// maxHeadsInside is the number of heads that are examined. A copy is one response, so more of them are text.
	maxHeadsInside = 64
)

// HoldsForeign reports whether a body on a reused connection, or a part of it, holds a response to another request: a late copy
// that came after a part of the response, from its beginning to what owner needs at least. At the beginning of a body, any part
// of a head counts.
func HoldsForeign(body []byte, owner func(*http.Response) Owner) bool {
	if !bytes.Contains(body, []byte(httpVersion)) {
		return false
	}
	if beginsStatusLine(body) {
		if _, err := ownerOfHead(body, owner); errors.Is(err, io.ErrUnexpectedEOF) {
			return true
		}
	}
	for range maxHeadsInside {
		start := statusLine.FindIndex(body)
		if start == nil {
			return false
		}
		body = body[start[0]:]
		n := headLen(body)
		head := body[:n]
		if n == 0 { // cut off by the end of the body
			head = append(bytes.Clone(body[:bytes.LastIndexByte(body, '\n')+1]), '\n')
		}
		// Of several status lines the last one is that of the copy; text of the response may hold others.
		for next := statusLine.FindIndex(head[1:]); next != nil; next = statusLine.FindIndex(head[1:]) {
			head = head[1+next[0]:]
		}
		if o, err := ownerOfHead(head, owner); err == nil && o == OwnerOther {
			return true
		}
		if n == 0 {
			return false
		}
		body = body[n:]
	}
	return false
}

// beginsStatusLine reports whether a body begins with a status line, or is the beginning of one.
func beginsStatusLine(body []byte) bool {
	if len(body) < len(firstStatus) {
		return bytes.HasPrefix(body, []byte(httpVersion))
	}
	return responseStart.Match(append(bytes.Clone(body[:len(firstStatus)]), ' '))
}

// ownerOfHead returns whose the response with a head is.
func ownerOfHead(head []byte, owner func(*http.Response) Owner) (Owner, error) {
	res, err := http.ReadResponse(bufio.NewReaderSize(bytes.NewReader(head), min(len(head), maxHeadBuffer)), nil)
	if err != nil {
		return OwnerUnknown, fmt.Errorf("read head: %w", err)
	}
	_ = res.Body.Close() // isn't read
	return owner(res), nil
}
