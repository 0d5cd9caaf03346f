package sim

import (
	"fmt"
	"strings"
	"time"

	"kitetiller/internal/core"
	"kitetiller/internal/ledger"
	"kitetiller/internal/prefix"
	"kitetiller/internal/streamorigin"
)

const (
	meanRequestInterval = 140 * time.Millisecond // mean of the exponential distribution
	serviceRequestRatio = 0.4
	templates           = 4 // prompt templates that all tenants use
	templateBlocks      = 4
	maxModelSends       = 4
	maxServiceSends     = 6
	callerTimeout       = 45 * time.Second
	earlyRetryRatio     = 0.08 // fraction of service requests that are retried before the first try is answered
	disconnectRatio     = 0.02
	requestDigest       = 7
)

var tenants = []string{"amber", "birch", "cedar"}

// job is one caller's unit of work; it may be sent several times.
type job struct {
	w         *world
	name      string
	tenant    string
	toService bool
	segments  []string // prompt text, one element per block
	maxTokens int
	sends     int
	done      bool
}

// token returns the expected text of the generated token at index.
func (j *job) token(index int) string { return fmt.Sprintf("%s:%d", j.name, index) }

// responseBody returns the expected response body of a service job.
func (j *job) responseBody() string { return "done " + j.name }

func (j *job) content(weights string, block int) blockContent {
	return blockContent{tenant: j.tenant, weights: weights, text: j.segments[block]}
}

// exchange is one request of a job to one router.
type exchange struct {
	job        *job
	id         core.RequestID
	router     *routerNode
	toCaller   *stream
	nextToken  int // index of the next token that the caller expects
	resumeFrom int
	finished   bool
	executed   bool   // accepted by a back end
	software   string // version that generated the stream's tokens; "" before the first
	beganAs    string // names the exchange that began the stream
}

func (e *exchange) promptTokens() int { return len(e.job.segments)*tokensPerBlock + 1 }

// callers generates all client traffic.
type callers struct {
	*process
	jobCount          int
	hotTemplateOffset int // increased by a fault to shift the popular templates
	exchanges         []*exchange
}

func (c *callers) boot() {
	c.start()
	c.after(2*time.Second, c.sendJobs)
}

func (c *callers) sendJobs() {
	if c.w.now() > activeTime {
		return
	}
	c.sendAnywhere(c.newJob(), nil)
	c.after(time.Duration(c.w.random.ExpFloat64()*float64(meanRequestInterval)), c.sendJobs)
}

func (c *callers) newJob() *job {
	c.jobCount++
	created := &job{w: c.w, name: fmt.Sprintf("q%d", c.jobCount), tenant: pick(c.w, tenants), toService: c.w.chance(serviceRequestRatio)}
	if c.w.outages.replacements.slow {
		created.toService = false // requests with keys repeat the ends of their claims, which fills the log while syncs are slow
	}
	if created.toService {
		return created
	}
	template := (c.hotTemplateOffset + c.w.random.IntN(templates)*c.w.random.IntN(2)) % (templates * 4)
	for block := range templateBlocks {
		created.segments = append(created.segments, segment(fmt.Sprintf("template %d", template), block))
	}
	document := c.w.random.IntN(30)
	for block := range 1 + c.w.random.IntN(5) {
		created.segments = append(created.segments, segment(fmt.Sprintf("document %d", document), block))
	}
	created.maxTokens = 2 + c.w.random.IntN(8)
	return created
}

// segment returns the text of one block, padded to the block size.
func segment(label string, block int) string {
	const size = tokensPerBlock * prefix.BytesPerToken
	text := fmt.Sprintf("%s block %d", label, block)
	return text + strings.Repeat(".", size-len(text))
}

// sendAnywhere sends a job to a random router in any zone. If resumed is not nil, it goes on with that exchange's stream.
func (c *callers) sendAnywhere(j *job, resumed *exchange) {
	c.sendTo(j, pick(c.w, c.w.routers), resumed)
}

// sendTo sends a job to the given router and schedules the caller's early retry, timeout and disconnect.
func (c *callers) sendTo(j *job, router *routerNode, resumed *exchange) {
	j.sends++
	ex := &exchange{job: j, router: router, beganAs: fmt.Sprint(j.name, "#", j.sends)}
	if resumed != nil {
		ex.nextToken, ex.resumeFrom, ex.software, ex.beganAs = resumed.nextToken, resumed.nextToken, resumed.software, resumed.beganAs
	}
	c.w.oracle.requests++
	if !router.up {
		c.after(refusedCallDelay, func() { c.retry(ex, 100*time.Millisecond) })
		return
	}
	ex.toCaller = c.w.newStream(router.process, c.process)
	router.trackConnection(ex)
	c.exchanges = append(c.exchanges, ex)
	incarnation := router.generation
	c.w.after(c.w.latency(c.process, router.process), func() {
		router.run(incarnation, func() { router.acceptRequest(ex) })
	})
	if j.toService && c.w.chance(earlyRetryRatio) && j.sends < maxServiceSends {
		c.after(c.w.between(20*time.Millisecond, time.Second), func() { c.sendAnywhere(j, nil) })
	}
	c.after(callerTimeout, func() { c.disconnect(ex) })
	if !j.toService && c.w.chance(disconnectRatio) {
		c.after(c.w.between(0, time.Second), func() { c.disconnect(ex) })
	}
}

// acceptRequest registers a new request and passes it to the core.
func (r *routerNode) acceptRequest(ex *exchange) {
	r.nextID++
	ex.id = r.nextID
	r.exchanges[ex.id] = ex
	request := core.Request{
		ID: ex.id, Name: ex.job.name, Tenant: ex.job.tenant, Service: modelService, PromptTokens: ex.promptTokens(),
		MaxTokens: ex.job.maxTokens, ResumeFrom: ex.resumeFrom,
	}
	if ex.job.toService {
		request.Service, request.Key, request.Digest, request.PromptTokens = smallService, ex.job.name, requestDigest, 1
	} else {
		text := []byte(strings.Join(ex.job.segments, ""))
		for _, weights := range r.core.WeightsInUse(modelService) {
			request.Chains = append(request.Chains, core.Chain{Weights: weights, Blocks: r.w.hasher.Chain(ex.job.tenant, weights, text)})
		}
	}
	incarnation := r.generation
	r.findOrigin(ex, func(origin streamorigin.SoftwareVersion) {
		r.run(incarnation, func() {
			if r.exchanges[ex.id] == ex { // its caller has not disconnected meanwhile
				request.Origin = origin
				r.post(core.EventRequest{Request: request})
			}
		})
	})
}

// disconnect closes the caller's connection of an unfinished exchange.
func (c *callers) disconnect(ex *exchange) {
	if ex.finished {
		return
	}
	ex.finished = true
	ex.toCaller.closed = true
	ex.router.run(ex.toCaller.fromGeneration, func() {
		if ex.router.exchanges[ex.id] == ex {
			delete(ex.router.exchanges, ex.id)
			ex.router.post(core.EventCallerGone{ID: ex.id})
		}
	})
	if ex.job.toService {
		c.retry(ex, 100*time.Millisecond)
	}
}

// retry schedules another send of the job, up to the maximum number of sends.
func (c *callers) retry(ex *exchange, after time.Duration) {
	j := ex.job
	limit := maxModelSends
	if j.toService {
		limit = maxServiceSends
	}
	if j.done || j.sends >= limit || c.w.now() > activeTime+settleTime/3 {
		return
	}
	var resumed *exchange
	if !j.toService && c.w.chance(0.5) && ex.nextToken > 0 {
		resumed = ex
	}
	c.after(after+c.w.between(0, 300*time.Millisecond), func() {
		if !j.done {
			c.sendAnywhere(j, resumed)
		}
	})
}

// deliverChunk delivers a token to the caller, where the oracle checks it.
func (e *exchange) deliverChunk(action core.ActionChunk) {
	e.toCaller.send(func() {
		if e.finished {
			return
		}
		e.job.w.oracle.callerReceived(e, action)
		e.nextToken++
	})
}

// deliverFinal delivers the final response to the caller, where the oracle checks it. A failed job may be retried.
func (e *exchange) deliverFinal(action core.ActionFinish) {
	e.toCaller.send(func() {
		if e.finished {
			return
		}
		e.finished = true
		w := e.job.w
		w.oracle.callerFinished(e, action)
		if action.Reason == core.ReasonComplete || action.Reason == core.ReasonReplayed {
			e.job.done = true
			return
		}
		w.logf("%s at %s rejected as %s, run=%s", e.job.name, e.router.name, action.Reason, action.Run)
		w.callers.retry(e, max(action.RetryAfter, 50*time.Millisecond))
	})
}

func (e *exchange) ended() bool { return e.finished }

// reset notifies the caller that the connection broke.
func (e *exchange) reset() {
	e.toCaller.send(func() {
		if e.finished {
			return
		}
		e.finished = true
		e.job.w.logf("%s at %s: connection broken", e.job.name, e.router.name)
		e.job.w.callers.retry(e, 50*time.Millisecond)
	})
}

// bodyOf returns the body of a stored response, or "" for none.
func bodyOf(answer *ledger.Response) string {
	if answer == nil {
		return ""
	}
	return string(answer.Body)
}
