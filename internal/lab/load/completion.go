package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"kitetiller/internal/api"
	"kitetiller/internal/lab/standin"
	"kitetiller/internal/lab/traffic"
)

const maxLineBytes = 1 << 20

// sendCompletion sends one prompt, streamed or not, and checks the response.
func (r *runner) sendCompletion(ctx context.Context, number int, prompt traffic.Prompt, random *rand.Rand) {
	body := api.CompletionRequest{
		Model: r.options.Deployment.Model.Name, Prompt: prompt.Text, MaxTokens: prompt.MaxTokens,
		Stream: random.Float64() < streamRatio, Seed: uint64(number) + 1,
	}
	path := "/v1/completions"
	if random.IntN(2) == 0 {
		path = "/v1/chat/completions"
		body.Messages, body.Prompt = []api.ChatMessage{{Role: "user", Content: prompt.Text}}, ""
	}
	expect := expectation{digest: xxhash.Sum64String(body.Text()), seed: body.Seed, tokens: body.MaxTokens}
	requestCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if r.options.ClientDisconnects && body.Stream && random.Float64() < disconnectRatio {
		expect.disconnectAfter = 1 + random.IntN(5)
	}
	r.updateResult(func(result *Result) { result.Requests++ })
	started := time.Now()
	headers := map[string]string{}
	if prompt.Short {
		headers[api.HeaderPriority] = "interactive"
	}
	response, err := r.send(requestCtx, r.randomRouter(random), path, r.randomKey(random), headers, mustJSON(body))
	if err != nil {
		r.updateResult(func(result *Result) { result.BrokenConnections++ })
		return
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode != http.StatusOK:
		r.recordRejection(response)
	case body.Stream:
		r.checkStream(response.Body, expect, started)
	default:
		r.checkUnstreamed(response.Body, expect, started)
	}
}

// expectation describes the correct response to a prompt.
type expectation struct {
	digest          uint64
	seed            uint64
	tokens          int
	disconnectAfter int // tokens after which the client disconnects; 0 disables
}

func (e expectation) tokenText(index int) string { return standin.TokenText(e.digest, e.seed, index) }

func mustJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("load: request cannot be encoded: " + err.Error())
	}
	return data
}

// send posts a body to a router. If that router refuses connections or reports that it is draining, send tries the
// others in turn, like a client with a list of routers.
func (r *runner) send(ctx context.Context, router, path, key string, headers map[string]string, body []byte) (*http.Response, error) {
	for _, address := range append([]string{router}, r.options.Routers...) {
		response, err := r.sendTo(ctx, address, path, key, headers, body)
		if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
			return nil, err
		}
		if err == nil && response.Header.Get(api.HeaderDraining) == "" {
			return response, nil
		}
		if err == nil {
			_ = response.Body.Close()
		}
	}
	return nil, errNoRouter
}

var errNoRouter = eris.New("all routers refused the connection or are draining")

func (r *runner) sendTo(ctx context.Context, router, path, key string, headers map[string]string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // keeps the transport from retrying
	request.Header.Set("Authorization", "Bearer "+key)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	return r.client.Do(request)
}

// recordRejection counts an error response by reason.
func (r *runner) recordRejection(response *http.Response) api.Problem {
	var problem api.Problem
	_ = json.NewDecoder(response.Body).Decode(&problem) // an undecodable one counts as a rejection without reason
	r.updateResult(func(result *Result) {
		result.Rejected++
		result.Reasons[strings.TrimPrefix(problem.Type, "urn:kitetiller:")+"/"+string(problem.Run)]++
	})
	return problem
}

// checkStream reads server-sent events, checks each token and counts how the stream ended.
func (r *runner) checkStream(body io.Reader, expect expectation, started time.Time) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	nextPosition, failed := 0, false
	position := 0
	for scanner.Scan() {
		line := scanner.Text()
		if _, err := fmt.Sscanf(line, "id: %d", &position); err == nil {
			continue
		}
		failed = failed || strings.HasPrefix(line, "event: error")
		data, found := strings.CutPrefix(line, "data: ")
		switch {
		case !found:
		case data == api.StreamEnd:
			r.recordStreamEnd(nextPosition, expect)
			return
		case failed:
			r.updateResult(func(result *Result) { result.ErrorEvents++ })
			return
		default:
			if nextPosition == 0 {
				r.recordFirstToken(started)
			}
			nextPosition = r.checkChunk(data, position, nextPosition, expect)
			if expect.disconnectAfter > 0 && nextPosition >= expect.disconnectAfter {
				r.updateResult(func(result *Result) { result.ClientDisconnects++ })
				return
			}
		}
	}
	r.updateResult(func(result *Result) {
		if scanner.Err() != nil {
			result.BrokenConnections++
		} else {
			result.Lost++
		}
	})
}

func (r *runner) recordFirstToken(started time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.firstToken.RecordValue(time.Since(started).Microseconds()) // latencies beyond the range are dropped
}

// checkChunk checks the position and text of one token and returns the next expected position.
func (r *runner) checkChunk(data string, position, nextPosition int, expect expectation) int {
	var chunk api.CompletionResponse
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) != 1 {
		r.updateResult(func(result *Result) { result.WrongAnswer++ })
		return nextPosition
	}
	choice := chunk.Choices[0]
	if choice.FinishReason != nil {
		return nextPosition
	}
	text := choice.Text
	if choice.Delta != nil {
		text = choice.Delta.Content
	}
	r.updateResult(func(result *Result) {
		switch {
		case position < nextPosition:
			result.Duplicated++
		case position > nextPosition:
			result.OutOfOrder++
		case text != expect.tokenText(position):
			result.WrongAnswer++
		}
	})
	return max(nextPosition, position+1)
}

func (r *runner) recordStreamEnd(tokens int, expect expectation) {
	r.updateResult(func(result *Result) {
		if tokens != expect.tokens {
			result.Lost++
			return
		}
		result.Complete++
	})
}

// checkUnstreamed checks a response that is not streamed.
func (r *runner) checkUnstreamed(body io.Reader, expect expectation, started time.Time) {
	data, err := io.ReadAll(body)
	if err != nil {
		r.updateResult(func(result *Result) { result.BrokenConnections++ })
		return
	}
	var response api.CompletionResponse
	var want strings.Builder
	for i := range expect.tokens {
		want.WriteString(expect.tokenText(i))
	}
	correct := json.Unmarshal(data, &response) == nil && len(response.Choices) == 1
	if correct {
		text := response.Choices[0].Text
		if response.Choices[0].Message != nil {
			text = response.Choices[0].Message.Content
		}
		correct = text == want.String()
	}
	_ = started // an unstreamed response has no time to first token
	r.updateResult(func(result *Result) {
		if correct {
			result.Complete++
		} else {
			result.WrongAnswer++
		}
	})
}
