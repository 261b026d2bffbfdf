package sagecaller

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagestandin"
	"sagestand.example/sagestand/pkg/sagewire"
)

var (
	errNotConnected = errors.New("not connected")
	errNoEnd        = errors.New("stream ended without its end mark")
)

// classify tells a failed connection, after which nothing was sent, from a later failure.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%v: %w", err, errNotConnected)
	}
	return err
}

func readRefusal(res *http.Response, e *Result) {
	b, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	if err != nil {
		e.Outcome, e.Err = "", fmt.Errorf("read refusal: %w", err)
		return
	}
	ref, err := sagewire.DecodeRefusal(b)
	if err != nil {
		if e.Outcome == sagewire.AlreadyRun {
			return // the stored answer of the first run
		}
		e.Mismatch = fmt.Sprintf("status %d with no refusal: %v", res.StatusCode, err)
		return
	}
	if ref.Outcome != e.Outcome {
		e.Mismatch = fmt.Sprintf("header says %q, body %q", e.Outcome, ref.Outcome)
	}
	e.Refusal = ref
}

func readWhole(body io.Reader, want string, e *Result) {
	b, err := io.ReadAll(body)
	e.FirstByteAt = time.Now()
	if err != nil {
		e.Err = fmt.Errorf("read answer: %w", err)
		return
	}
	var a sagestandin.ChatResponse
	if err := json.Unmarshal(b, &a); err != nil || len(a.Choices) != 1 || a.Choices[0].Message == nil {
		e.Mismatch = "not a chat answer"
		return
	}
	if got := a.Choices[0].Message.Content; got != want {
		e.Mismatch = fmt.Sprintf("answer %.40q, want %.40q", got, want)
	}
}

// readStream reads server-sent events to the end mark or to an explicit error event.
func readStream(body io.Reader, want string, e *Result) {
	var got strings.Builder
	sc := bufio.NewScanner(body)
	sc.Buffer(nil, 1<<20)
	event := ""
	for sc.Scan() {
		line := sc.Text()
		if e.FirstByteAt.IsZero() {
			e.FirstByteAt = time.Now()
		}
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if event == "error" {
			readErrorEvent(data, e)
			return
		}
		if data == "[DONE]" {
			e.Outcome = sagewire.Complete
			if got.String() != want {
				e.Mismatch = fmt.Sprintf("stream %.40q, want %.40q", got.String(), want)
			}
			return
		}
		var a sagestandin.ChatResponse
		if err := json.Unmarshal([]byte(data), &a); err != nil || len(a.Choices) != 1 || a.Choices[0].Delta == nil {
			e.Mismatch = "not a chat event"
			return
		}
		got.WriteString(a.Choices[0].Delta.Content)
	}
	e.Outcome = ""
	e.Err = errNoEnd
	if err := sc.Err(); err != nil {
		e.Err = fmt.Errorf("%v: %w", err, errNoEnd)
	}
}

func readErrorEvent(data string, e *Result) {
	ref, err := sagewire.DecodeRefusal([]byte(data))
	if err != nil {
		e.Outcome, e.Mismatch = "", "error event without a refusal: "+err.Error()
		return
	}
	e.Outcome, e.Refusal = ref.Outcome, ref
}
