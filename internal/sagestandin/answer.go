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

// ChatResponse is a whole, unstreamed answer.
type ChatResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Choice is one answer of a chat, whole in Message or in part in Delta.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// defaultTokens is the length of an answer whose request sets no limit.
const defaultTokens = 16

// ResponseTokens returns the answer that any engine stand-in gives to a chat: a function of the request
// alone, so that a caller can tell a missing or a foreign token.
func ResponseTokens(c *ChatRequest) []string {
	n := c.MaxTokens
	if n <= 0 {
		n = defaultTokens
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
