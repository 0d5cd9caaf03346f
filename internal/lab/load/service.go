package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/api"
	"kitetiller/internal/core"
	"kitetiller/internal/lab/standin"
)

const (
	maxServiceAttempts = 6
	retryDelay         = 300 * time.Millisecond
	runsTimeout        = 5 * time.Second
)

// sendServiceRequest sends a request that must not run twice. Some are sent by two clients concurrently; each retries
// with the same idempotency key.
func (r *runner) sendServiceRequest(ctx context.Context, number int, random *rand.Rand) {
	idempotencyKey := fmt.Sprintf("load-%d-%d", r.options.Seed, number)
	body := fmt.Appendf(nil, serviceBodyFormat, number, random.IntN(90))
	apiKey := r.randomKey(random)
	r.updateResult(func(result *Result) { result.Requests++; r.sent[idempotencyKey] = true })
	started := time.Now()
	var senders sync.WaitGroup
	outcomes := make([]serviceOutcome, 1)
	if random.Float64() < duplicateRatio {
		outcomes = make([]serviceOutcome, 2)
	}
	for i := range outcomes {
		senderRandom := rand.New(rand.NewPCG(random.Uint64(), 11))
		senders.Go(func() { outcomes[i] = r.sendServiceWithRetries(ctx, idempotencyKey, apiKey, body, senderRandom) })
	}
	senders.Wait()
	r.recordServiceOutcome(idempotencyKey, outcomes, started)
}

// serviceOutcome is the outcome of a service request as one client saw it.
type serviceOutcome struct {
	complete         bool
	wrong            bool
	connectionBroken bool
	problem          *api.Problem
}

// sendServiceWithRetries sends a request until its outcome is final or the attempts are used up.
func (r *runner) sendServiceWithRetries(ctx context.Context, idempotencyKey, apiKey string, body []byte, random *rand.Rand) serviceOutcome {
	var last serviceOutcome
	for attempt := 0; attempt < maxServiceAttempts && ctx.Err() == nil; attempt++ {
		last = r.sendServiceOnce(ctx, idempotencyKey, apiKey, body, random)
		if !last.retryable() {
			return last
		}
		time.Sleep(retryDelay)
	}
	return last
}

// retryable reports whether another attempt can have a different outcome.
func (o serviceOutcome) retryable() bool {
	return o.connectionBroken || (o.problem != nil && o.problem.RetryAfter > 0)
}

func (r *runner) sendServiceOnce(ctx context.Context, idempotencyKey, apiKey string, body []byte, random *rand.Rand) serviceOutcome {
	response, err := r.send(ctx, r.randomRouter(random), "/v1/services/"+r.options.Deployment.Small.Name, apiKey, map[string]string{api.HeaderIdempotencyKey: idempotencyKey}, body)
	if err != nil {
		return serviceOutcome{connectionBroken: true}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		problem := &api.Problem{}
		if json.NewDecoder(response.Body).Decode(problem) != nil {
			return serviceOutcome{connectionBroken: true}
		}
		return serviceOutcome{problem: problem}
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return serviceOutcome{connectionBroken: true}
	}
	return serviceOutcome{complete: true, wrong: !bytes.Equal(data, standin.ServiceResponse(body))}
}

// recordServiceOutcome counts one request: as complete if any of its clients saw it complete.
func (r *runner) recordServiceOutcome(idempotencyKey string, outcomes []serviceOutcome, started time.Time) {
	r.updateResult(func(result *Result) {
		_ = r.service.RecordValue(time.Since(started).Microseconds()) // latencies beyond the range are dropped
		best := outcomes[0]
		for _, outcome := range outcomes {
			if outcome.wrong {
				result.WrongAnswer++
			}
			if outcome.complete {
				best = outcome
			}
		}
		switch {
		case best.complete:
			result.Complete++
		case best.problem != nil:
			result.Rejected++
			result.Reasons[best.problem.Type+"/"+string(best.problem.Run)]++
			allNotRun := true
			for _, outcome := range outcomes {
				allNotRun = allNotRun && outcome.problem != nil && outcome.problem.Run == core.RunNot
			}
			r.notRun[idempotencyKey] = allNotRun
		default:
			result.BrokenConnections++
		}
	})
}

// checkServiceRuns reads the run records of the small services and counts idempotency keys that ran more than once and
// requests that ran although they were rejected as not run.
func (r *runner) checkServiceRuns() error {
	runCounts := map[string]int{}
	for _, address := range r.options.Backends {
		runs, err := r.readRuns(address)
		if err != nil {
			return err
		}
		for _, run := range runs {
			if r.sent[run.Key] {
				runCounts[run.Key]++
			}
		}
	}
	for key, count := range runCounts {
		if count > 1 {
			r.result.Duplicated += count - 1
		}
		if r.notRun[key] {
			r.result.FalseNotRun++
		}
	}
	return nil
}

func (r *runner) readRuns(address string) ([]api.RunRecord, error) {
	ctx, cancel := context.WithTimeout(context.Background(), runsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+api.PathRuns, nil)
	if err != nil {
		return nil, eris.Wrap(err, "create request for run records")
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, eris.Wrapf(err, "read run records of %s", address)
	}
	defer response.Body.Close()
	var runs []api.RunRecord
	return runs, eris.Wrap(json.NewDecoder(response.Body).Decode(&runs), "decode run records")
}
