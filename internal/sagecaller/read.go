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
	errNotConnected    = errors.New("not connected")
	errStreamTruncated = errors.New("stream ended without its end marker")
)

// classifyError marks a failure to connect, after which nothing was sent, with errNotConnected.
func classifyError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%v: %w", err, errNotConnected)
	}
	return err
}

func readRefusal(res *http.Response, result *Result) {
	b, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	if err != nil {
		result.Outcome, result.Err = "", fmt.Errorf("read refusal: %w", err)
		return
	}
	ref, err := sagewire.DecodeRefusal(b)
	if err != nil {
		if result.Outcome == sagewire.AlreadyRun {
			return // the body is the stored response of the first run
		}
		result.Mismatch = fmt.Sprintf("status %d without a refusal: %v", res.StatusCode, err)
		return
	}
	if ref.Outcome != result.Outcome {
		result.Mismatch = fmt.Sprintf("outcome %q in the header, %q in the body", result.Outcome, ref.Outcome)
	}
	result.Refusal = ref
}

func readResponse(body io.Reader, want string, result *Result) {
	b, err := io.ReadAll(body)
	result.FirstByteAt = time.Now()
	if err != nil {
		result.Err = fmt.Errorf("read response: %w", err)
		return
	}
	var a sagestandin.ChatResponse
	if err := json.Unmarshal(b, &a); err != nil || len(a.Choices) != 1 || a.Choices[0].Message == nil {
		result.Mismatch = "not a chat response"
		return
	}
	if got := a.Choices[0].Message.Content; got != want {
		result.Mismatch = fmt.Sprintf("response %.40q, want %.40q", got, want)
	}
}

// readStream reads server-sent events up to the end marker or an error event.
func readStream(body io.Reader, want string, result *Result) {
	var got strings.Builder
	sc := bufio.NewScanner(body)
	sc.Buffer(nil, 1<<20)
	event := ""
	for sc.Scan() {
		line := sc.Text()
		if result.FirstByteAt.IsZero() {
			result.FirstByteAt = time.Now()
		}
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if event == "error" {
			readErrorEvent(data, result)
			return
		}
		if data == "[DONE]" {
			result.Outcome = sagewire.Complete
			if got.String() != want {
				result.Mismatch = fmt.Sprintf("stream %.40q, want %.40q", got.String(), want)
			}
			return
		}
		var a sagestandin.ChatResponse
		if err := json.Unmarshal([]byte(data), &a); err != nil || len(a.Choices) != 1 || a.Choices[0].Delta == nil {
			result.Mismatch = "not a chat event"
			return
		}
		got.WriteString(a.Choices[0].Delta.Content)
	}
	result.Outcome = ""
	result.Err = errStreamTruncated
	if err := sc.Err(); err != nil {
		result.Err = fmt.Errorf("%v: %w", err, errStreamTruncated)
	}
}

func readErrorEvent(data string, result *Result) {
	ref, err := sagewire.DecodeRefusal([]byte(data))
	if err != nil {
		result.Outcome, result.Mismatch = "", "error event without a refusal: "+err.Error()
		return
	}
	result.Outcome, result.Refusal = ref.Outcome, ref
}
