package router

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"kitetiller/internal/api"
	"kitetiller/internal/core"
	"kitetiller/internal/quarantine"
)

const (
	// tokenBufferSize is the number of tokens buffered for a slow client before its request is cancelled.
	tokenBufferSize = 512
	// writeTimeout limits one write to a client.
	writeTimeout           = 10 * time.Second
	contentTypeEventStream = "text/event-stream"
	objectChat             = "chat.completion"
	objectChunk            = "chat.completion.chunk"
	objectText             = "text_completion"
	roleAssistant          = "assistant"
	detailSlowClient       = "the caller reads too slowly"
	detailIncompleteStream = "the stream could not be completed"
)

// token is a piece of generated text and its position in the stream.
type token struct {
	index int
	text  string
}

// exchange is a client's request and the channels that carry the answer to the client's goroutine.
type exchange struct {
	name              string
	request           core.Request
	completion        *api.CompletionRequest // nil for small services
	prompt            string
	body              []byte
	chat              bool
	writer            http.ResponseWriter
	receivedAt        time.Time
	quarantineRequest quarantine.Request // identifies repetitions of the request
	resumes           string             // ID of the request that began the stream which this one goes on with

	tokens         chan token
	final          chan core.ActionFinish // has capacity 1
	attempts       int32                  // owned by the event loop
	attemptsNotRun atomic.Int32           // attempts that provably did not run; at most attempts
	lastAttempt    uint64                 // owned by the event loop
	firstToken     bool                   // owned by the event loop
	tokensDropped  bool                   // owned by the event loop
	slowReported   bool                   // owned by the event loop: the core was notified that the client is too slow
}

// serve passes a request to the core and writes the answer to the client.
func (s *Server) serve(ex *exchange, r *http.Request) {
	ex.tokens = make(chan token, tokenBufferSize)
	ex.final = make(chan core.ActionFinish, 1)
	ex.writer.Header().Set(api.HeaderRequestID, ex.name)
	ex.writer.Header().Set(api.HeaderRouter, s.file.Name)
	if s.draining.Load() {
		ex.writer.Header().Set("Connection", "close") // makes the client connect to another router next
		ex.writer.Header().Set(api.HeaderDraining, "true")
		s.reject(ex.writer, r, ex.name, &requestError{core.ReasonDraining, http.StatusServiceUnavailable, "This router is stopping", ""})
		return
	}
	if s.rejectIfQuarantined(ex, r) {
		return
	}
	if ex.completion != nil {
		s.findOrigin(r.Context(), ex, r)
	}
	if !s.register(ex) {
		s.reject(ex.writer, r, ex.name, &requestError{reasonOverload, http.StatusServiceUnavailable, "This router has too many requests", ""})
		return
	}
	if !s.offer(core.EventRequest{Request: ex.request}) {
		s.unregister(ex.request.ID)
		s.reject(ex.writer, r, ex.name, &requestError{reasonOverload, http.StatusServiceUnavailable, "This router is overloaded", ""})
		return
	}
	if ex.completion != nil && ex.completion.Stream {
		s.relayStream(r.Context(), ex)
		return
	}
	s.relayBuffered(r.Context(), ex)
}

func (s *Server) register(ex *exchange) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.exchanges) >= s.file.Router.MaxConnections {
		return false
	}
	s.exchanges[ex.request.ID] = ex
	return true
}

func (s *Server) unregister(id core.RequestID) {
	s.mutex.Lock()
	delete(s.exchanges, id)
	s.mutex.Unlock()
}

func (s *Server) exchange(id core.RequestID) *exchange {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.exchanges[id]
}

// deliverChunk queues a token for the client. If the buffer is full, the token is dropped and the request cancelled.
func (s *Server) deliverChunk(action core.ActionChunk) {
	ex := s.exchange(action.ID)
	if ex == nil {
		return
	}
	if ex.tokensDropped {
		s.reportSlowClient(ex)
		return
	}
	if !ex.firstToken {
		ex.firstToken = true
		s.metrics.firstToken.WithLabelValues(ex.request.Service).Observe(time.Since(ex.receivedAt).Seconds())
	}
	select {
	case ex.tokens <- token{index: action.Index, text: action.Text}:
	default:
		ex.tokensDropped = true
		s.reportSlowClient(ex)
	}
}

// reportSlowClient notifies the core that the client reads too slowly. If the event buffer is full, the notification is
// repeated with the next token.
func (s *Server) reportSlowClient(ex *exchange) {
	if !ex.slowReported {
		ex.slowReported = s.offer(core.EventCallerGone{ID: ex.request.ID})
	}
}

// deliverFinish passes the outcome of a request to the client's goroutine.
func (s *Server) deliverFinish(action core.ActionFinish) {
	ex := s.exchange(action.ID)
	if ex == nil {
		return
	}
	if ex.tokensDropped && action.Reason == core.ReasonComplete {
		action.Reason = core.ReasonCallerGone // tokens were dropped, so the stream is incomplete
	}
	s.unregister(action.ID)
	if action.Reason == core.ReasonComplete {
		s.recordCompletion(ex)
	}
	s.logFinish(ex, action)
	ex.final <- action
	close(ex.tokens)
}

// problemFor returns the error response for a request that did not complete.
func (s *Server) problemFor(ex *exchange, final core.ActionFinish) api.Problem {
	problem := api.NewProblem(final.Reason, final.Run, detailFor(final)).WithRetryAfter(final.RetryAfter)
	problem.RequestID = ex.name
	return problem
}

func detailFor(final core.ActionFinish) string {
	switch {
	case final.Reason == core.ReasonCallerGone:
		return detailSlowClient
	case final.Run == core.RunUnknown && final.Reason != core.ReasonRunUnknown && final.Reason != core.ReasonInProgress:
		return "whether the request ran is not known; send it again with the same Idempotency-Key to learn it"
	}
	return ""
}

// relayStream writes tokens as server-sent events. A stream that cannot be completed ends with an error event and
// without the end marker.
func (s *Server) relayStream(ctx context.Context, ex *exchange) {
	controller := http.NewResponseController(ex.writer)
	header := ex.writer.Header()
	started := false
	for {
		select {
		case <-ctx.Done():
			s.post(core.EventCallerGone{ID: ex.request.ID})
			return
		case piece, open := <-ex.tokens:
			if !open {
				s.endStream(ex, controller, started)
				return
			}
			if !started {
				started = true
				header.Set("Content-Type", contentTypeEventStream)
				header.Set("Cache-Control", "no-store")
			}
			if !s.writeTokens(ex, controller, piece) {
				s.post(core.EventCallerGone{ID: ex.request.ID})
				return
			}
		}
	}
}

// writeTokens writes a token and all others in the buffer, with a single flush.
func (s *Server) writeTokens(ex *exchange, controller *http.ResponseController, piece token) bool {
	var out bytes.Buffer
	s.encodeChunk(&out, ex, piece)
	for range tokenBufferSize {
		select {
		case next, open := <-ex.tokens:
			if !open {
				return flush(ex, controller, &out)
			}
			s.encodeChunk(&out, ex, next)
			continue
		default:
		}
		break
	}
	return flush(ex, controller, &out)
}

func flush(ex *exchange, controller *http.ResponseController, out *bytes.Buffer) bool {
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout)) // not supported by every writer
	if _, err := ex.writer.Write(out.Bytes()); err != nil {
		return false
	}
	return controller.Flush() == nil
}

func (s *Server) encodeChunk(out *bytes.Buffer, ex *exchange, piece token) {
	chunk := s.newResponse(ex, objectChunk)
	if ex.chat {
		chunk.Choices = []api.Choice{{Delta: &api.ChatMessage{Role: roleAssistant, Content: piece.text}}}
	} else {
		chunk.Object = objectText
		chunk.Choices = []api.Choice{{Text: piece.text}}
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		panic("router: encode chunk: " + err.Error())
	}
	fmt.Fprintf(out, "id: %d\ndata: %s\n\n", piece.index, data)
}

func (s *Server) newResponse(ex *exchange, object string) api.CompletionResponse {
	return api.CompletionResponse{ID: ex.name, Object: object, Created: ex.receivedAt.Unix(), Model: ex.completion.Model}
}

func (s *Server) endStream(ex *exchange, controller *http.ResponseController, started bool) {
	final := <-ex.final
	var out bytes.Buffer
	if final.Reason != core.ReasonComplete {
		problem := s.problemFor(ex, final)
		if !started {
			problem.Write(ex.writer)
			return
		}
		if problem.Detail == "" {
			problem.Detail = detailIncompleteStream
		}
		data, _ := json.Marshal(problem) // plain struct, cannot fail
		fmt.Fprintf(&out, "event: error\ndata: %s\n\n", data)
		flush(ex, controller, &out)
		return
	}
	if !started {
		ex.writer.Header().Set("Content-Type", contentTypeEventStream)
	}
	last := s.newResponse(ex, objectChunk)
	finish := api.FinishStop
	last.Choices = []api.Choice{{FinishReason: &finish}}
	last.Usage = usage(ex, final.Tokens)
	data, _ := json.Marshal(last) // plain struct, cannot fail
	fmt.Fprintf(&out, "data: %s\n\ndata: %s\n\n", data, api.StreamEnd)
	flush(ex, controller, &out)
}

func usage(ex *exchange, tokens int) *api.Usage {
	return &api.Usage{
		PromptTokens: ex.request.PromptTokens, CompletionTokens: tokens, TotalTokens: ex.request.PromptTokens + tokens,
	}
}

// relayBuffered collects the complete answer before it writes it.
func (s *Server) relayBuffered(ctx context.Context, ex *exchange) {
	var text strings.Builder
	for {
		select {
		case <-ctx.Done():
			s.post(core.EventCallerGone{ID: ex.request.ID})
			return
		case piece, open := <-ex.tokens:
			if open {
				text.WriteString(piece.text)
				continue
			}
			s.writeBuffered(ex, <-ex.final, text.String())
			return
		}
	}
}

func (s *Server) writeBuffered(ex *exchange, final core.ActionFinish, text string) {
	switch {
	case final.Reason == core.ReasonComplete && ex.completion != nil:
		s.writeCompletion(ex, final, text)
	case (final.Reason == core.ReasonComplete || final.Reason == core.ReasonReplayed) && final.Answer != nil:
		if final.Reason == core.ReasonReplayed {
			ex.writer.Header().Set(api.HeaderRun, string(core.RunYes))
		}
		if final.Answer.Truncated {
			api.NewProblem(core.ReasonRunUnknown, core.RunYes, "the request ran; its answer was too long to keep").Write(ex.writer)
			return
		}
		ex.writer.Header().Set("Content-Type", final.Answer.ContentType)
		ex.writer.WriteHeader(final.Answer.Status)
		_, _ = ex.writer.Write(final.Answer.Body) // fails only if the client has disconnected
	default:
		s.problemFor(ex, final).Write(ex.writer)
	}
}

func (s *Server) writeCompletion(ex *exchange, final core.ActionFinish, text string) {
	answer := s.newResponse(ex, objectChat)
	finish := api.FinishStop
	choice := api.Choice{FinishReason: &finish, Text: text}
	if ex.chat {
		choice = api.Choice{FinishReason: &finish, Message: &api.ChatMessage{Role: roleAssistant, Content: text}}
	} else {
		answer.Object = objectText
	}
	answer.Choices = []api.Choice{choice}
	answer.Usage = usage(ex, final.Tokens)
	writeJSON(ex.writer, answer)
}
