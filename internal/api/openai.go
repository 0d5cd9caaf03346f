package api

import (
	"strings"
)

// ChatMessage is one message of a chat request.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CompletionRequest is the body of /v1/chat/completions (Messages) and /v1/completions (Prompt), as in the
// OpenAI API. Fields the router does not know are ignored.
type CompletionRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages,omitempty"`
	Prompt    string        `json:"prompt,omitempty"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream,omitempty"`
	Seed      uint64        `json:"seed,omitempty"`
}

// Text returns the prompt as the engines see it.
func (r CompletionRequest) Text() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	var text strings.Builder
	for _, message := range r.Messages {
		text.WriteString("<|")
		text.WriteString(message.Role)
		text.WriteString("|>")
		text.WriteString(message.Content)
	}
	text.WriteString("<|assistant|>")
	return text.String()
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is the one choice of an answer; Delta is used in streams, Message and Text in whole answers.
type Choice struct {
	Index        int          `json:"index"`
	Delta        *ChatMessage `json:"delta,omitempty"`
	Message      *ChatMessage `json:"message,omitempty"`
	Text         string       `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// CompletionResponse is a whole answer, or one chunk of a stream.
type CompletionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// FinishStop is the finish reason of a complete answer.
const FinishStop = "stop"

// StreamEnd is the data of the last event of a complete stream.
const StreamEnd = "[DONE]"

// Headers that callers and the router exchange.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderPriority       = "X-Priority"    // interactive or batch
	HeaderDeadline       = "X-Deadline-Ms" // time to first token the caller allows
	HeaderLastEventID    = "Last-Event-ID" // index of the last token the caller has
	HeaderRouter         = "X-Router"      // router that answered
	HeaderDraining       = "X-Draining"    // the router is stopping; the request was not taken
	HeaderRun            = "X-Run"         // ran, for replayed answers
)

// Values of the field object in lists of models.
const (
	ObjectList  = "list"
	ObjectModel = "model"
)

// ModelList is the answer of GET /v1/models, as in the OpenAI API.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is one model that a caller may name.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"` // the service that serves it
}
