package sagedispatch

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// Errors of a stream of events.
var (
	errEventTooLarge = errors.New("event too large")
	errBadEvent      = errors.New("malformed event")
)

// doneData is the data of the event that ends a stream.
const doneData = "[DONE]"

// event is one server-sent event.
type event struct {
	// raw is the event as it came, with its closing blank line.
	raw []byte
	// position is the event's id; 0 if it has none.
	position uint64
	name     string
	data     []byte
}

// idle reports an event that carries nothing of the answer, as keep-alives do.
func (e *event) idle() bool { return e.data == nil && e.name == "" && e.position == 0 }

func (e *event) done() bool { return e.name == "" && string(e.data) == doneData }

// eventReader splits a stream into events. An event counts only once its blank line has come, so a
// cut stream never yields half an event.
type eventReader struct {
	r   *bufio.Reader
	max int
}

func (r *eventReader) next() (*event, error) {
	e := new(event)
	for {
		line, err := r.line(len(e.raw))
		if err != nil {
			return nil, err
		}
		e.raw = append(e.raw, line...)
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if len(e.raw) <= 2 {
				e.raw = e.raw[:0]
				continue
			}
			return e, nil
		}
		if err := e.field(line); err != nil {
			return nil, err
		}
	}
}

// line reads up to and with the next newline, of an event that has used bytes so far.
func (r *eventReader) line(used int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.r.ReadSlice('\n')
		line = append(line, part...)
		if used+len(line) > r.max {
			return nil, fmt.Errorf("more than %d bytes: %w", r.max, errEventTooLarge)
		}
		if err == nil {
			return line, nil
		}
		if err == io.EOF {
			return nil, io.ErrUnexpectedEOF
		}
		if err != bufio.ErrBufferFull {
			return nil, err
		}
	}
}

func (e *event) field(line []byte) error {
	if line[0] == ':' {
		return nil
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		n, err := strconv.ParseUint(string(value), 10, 64)
		if err != nil || n == 0 {
			return fmt.Errorf("event id %q: %w", value, errBadEvent)
		}
		e.position = n
	case "event":
		e.name = string(value)
	case "data":
		if e.data == nil {
			e.data = make([]byte, 0, len(value))
		} else {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
	}
	return nil
}
