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
// OpenAI API. Unknown fields are ignored.
type CompletionRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages,omitempty"`
	Prompt    string        `json:"prompt,omitempty"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream,omitempty"`
	Seed      uint64        `json:"seed,omitempty"`
}

// Text returns the prompt as it is sent to the engines.
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

// Usage is the token usage of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is the only choice of a response. Delta is used in streamed responses, Message and Text in others.
type Choice struct {
	Index        int          `json:"index"`
	Delta        *ChatMessage `json:"delta,omitempty"`
	Message      *ChatMessage `json:"message,omitempty"`
	Text         string       `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// CompletionResponse is a complete response, or one chunk of a streamed one.
type CompletionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// FinishStop is the finish reason of a complete response.
const FinishStop = "stop"

// StreamEnd is the data of the last event of a complete stream.
const StreamEnd = "[DONE]"

// Headers of requests from callers and of the router's responses.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderPriority       = "X-Priority"    // interactive or batch
	HeaderDeadline       = "X-Deadline-Ms" // time to first token that the caller accepts
	HeaderLastEventID    = "Last-Event-ID" // index of the last token that the caller received
	HeaderResumes        = "X-Resumes"     // request ID of the request that brought the first token of that stream
	HeaderRouter         = "X-Router"      // name of the router that responded
	HeaderDraining       = "X-Draining"    // set if the router rejected the request because it is stopping
	HeaderRun            = "X-Run"         // "ran" in replayed responses
)

// Values of the object field of ModelList and Model.
const (
	ObjectList  = "list"
	ObjectModel = "model"
)

// ModelList is the response to GET /v1/models, as in the OpenAI API.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is a model that a caller may request.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"` // name of the service that serves it
}
