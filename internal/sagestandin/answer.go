package sagestandin

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the part of a chat completion request that the engine stand-in reads.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
}

// ChatResponse is a chat completion: the complete response, or one chunk of a streamed response.
type ChatResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Choice is one completion of a chat. Message holds the complete text, Delta one chunk of a streamed response.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// Usage counts the tokens of one chat completion.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// defaultMaxTokens is the number of tokens in a response to a request that sets no limit.
const defaultMaxTokens = 16

// ResponseTokens returns the tokens with which any engine stand-in responds to a chat. They depend only on the
// request, so that a caller can detect missing tokens and tokens of another response.
func ResponseTokens(c *ChatRequest) []string {
	n := c.MaxTokens
	if n <= 0 {
		n = defaultMaxTokens
	}
	last := ""
	if len(c.Messages) > 0 {
		last = c.Messages[len(c.Messages)-1].Content
	}
	h := xxhash.Sum64String(last)
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%x.%d ", h&0xffffff, i)
	}
	return out
}
