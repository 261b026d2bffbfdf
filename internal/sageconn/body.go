package sageconn

import (
	"bytes"
	"net/http"
	"strconv"
)

// maxChunkLine is the size of the longest line with the size of a chunk, or of a trailer.
const maxChunkLine = 4 << 10

// chunkPart is a part of a body in chunks.
type chunkPart int

const (
	// chunkSize: a line with the size of a chunk.
	chunkSize chunkPart = iota
	// chunkData: the bytes of a chunk.
	chunkData
	// chunkEnd: the end of line after a chunk.
	chunkEnd
	// chunkTrailer: the lines after the last chunk.
	chunkTrailer
)

// body finds the end of a response's body in what is read.
type body struct {
	// left is the number of bytes to come of the body, or of its present chunk.
	left    int64
	chunked bool
	part    chunkPart
	// line is the beginning of a line of a body in chunks.
	line []byte
	// size is the size of the chunks and lines so far, limit the largest one; a limit of 0 means none.
	size, limit int64
}

// newBody returns the body of a response, or false if its end isn't known from its head.
func newBody(res *http.Response, limit int64) (body, bool) {
	if res.Body == http.NoBody { // whatever the head states
		return body{}, true
	}
	chunked := len(res.TransferEncoding) > 0
	if res.ContentLength < 0 && !chunked || limit > 0 && res.ContentLength > limit {
		return body{}, false
	}
	return body{left: max(0, res.ContentLength), chunked: chunked, limit: limit}, true
}

// read returns how many of the next bytes belong to the body, and whether that is its end. It fails if the end can't be found.
func (r *body) read(b []byte) (n int, ended bool, err error) {
	for {
		if !r.chunked || r.part == chunkData {
			k := min(r.left, int64(len(b)-n))
			n, r.left = n+int(k), r.left-k
			if r.left > 0 || !r.chunked {
				return n, r.left == 0, nil
			}
			r.part = chunkEnd
		}
		line := b[n:]
		end := bytes.IndexByte(line, '\n')
		if end >= 0 {
			line = line[:end+1]
		}
		n, r.line = n+len(line), append(r.line, line...)
		switch {
		case len(r.line) > maxChunkLine:
			return n, false, errNoEnd
		case end < 0:
			return n, false, nil
		}
		if ended, err = r.endLine(); ended || err != nil {
			return n, ended, err
		}
	}
}

// endLine handles a complete line of a body in chunks and reports whether it is the last one.
func (r *body) endLine() (last bool, err error) {
	line := bytes.TrimRight(r.line, "\r\n")
	r.size += int64(len(r.line))
	r.line = r.line[:0]
	if r.limit > 0 && r.size > r.limit {
		return false, errNoEnd
	}
	switch r.part {
	case chunkTrailer:
		r.chunked = len(line) > 0 // otherwise nothing is left
		return !r.chunked, nil
	case chunkEnd:
		if len(line) > 0 {
			return false, errNoEnd
		}
		r.part = chunkSize
		return false, nil
	}
	text, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 16, 64)
	if err != nil || n < 0 || r.limit > 0 && n > r.limit-r.size {
		return false, errNoEnd
	}
	if r.part = chunkTrailer; n > 0 {
		r.part, r.left, r.size = chunkData, n, r.size+n
	}
	return false, nil
}
