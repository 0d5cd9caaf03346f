package sim

import (
	"fmt"
	"strings"
	"time"

	"kitetiller/internal/core"
	"kitetiller/internal/ledger"
	"kitetiller/internal/prefix"
)

const (
	requestGap     = 140 * time.Millisecond // mean
	smallShare     = 0.4
	templates      = 4 // shared by all tenants, text for text
	templateBlocks = 4
	streamSends    = 4
	smallSends     = 6
	patience       = 45 * time.Second
	impatientShare = 0.08 // callers who send again while they wait
	hangUpShare    = 0.02
	testDigest     = 7
)

var tenants = []string{"amber", "birch", "cedar"}

// job is what one caller wants.
type job struct {
	w         *world
	name      string
	tenant    string
	small     bool
	segments  []string // texts of the prompt's blocks
	maxTokens int
	sends     int
	done      bool
}

// token is the text of one token of the job's answer.
func (j *job) token(index int) string { return fmt.Sprintf("%s:%d", j.name, index) }

// answer is the whole answer of a small service.
func (j *job) answer() string { return "done " + j.name }

func (j *job) content(weights string, block int) content {
	return content{tenant: j.tenant, weights: weights, text: j.segments[block]}
}

// exchange is one send of a job to one router.
type exchange struct {
	job        *job
	id         core.RequestID
	router     *routerNode
	toCaller   *stream
	next       int // token that the caller expects
	resumeFrom int
	over       bool
	ran        bool // a back end took it
}

func (e *exchange) promptTokens() int { return len(e.job.segments)*tokensPerBlock + 1 }

// callers are everybody who sends requests.
type callers struct {
	*process
	numbers int
	hot     int // raised when other templates become hot
	open    []*exchange
}

func (c *callers) boot() {
	c.start()
	c.after(2*time.Second, c.arrive)
}

func (c *callers) arrive() {
	if c.w.now() > activeTime {
		return
	}
	c.sendAnywhere(c.newJob(), 0)
	c.after(time.Duration(c.w.random.ExpFloat64()*float64(requestGap)), c.arrive)
}

func (c *callers) newJob() *job {
	c.numbers++
	fresh := &job{w: c.w, name: fmt.Sprintf("q%d", c.numbers), tenant: pick(c.w, tenants), small: c.w.chance(smallShare)}
	if fresh.small {
		return fresh
	}
	template := (c.hot + c.w.random.IntN(templates)*c.w.random.IntN(2)) % (templates * 4)
	for block := range templateBlocks {
		fresh.segments = append(fresh.segments, segment(fmt.Sprintf("template %d", template), block))
	}
	document := c.w.random.IntN(30)
	for block := range 1 + c.w.random.IntN(5) {
		fresh.segments = append(fresh.segments, segment(fmt.Sprintf("document %d", document), block))
	}
	fresh.maxTokens = 2 + c.w.random.IntN(8)
	return fresh
}

// segment is the text of one block.
func segment(label string, block int) string {
	const size = tokensPerBlock * prefix.BytesPerToken
	text := fmt.Sprintf("%s block %d", label, block)
	return text + strings.Repeat(".", size-len(text))
}

// sendAnywhere sends a job to a router that takes connections; callers reach every zone.
func (c *callers) sendAnywhere(j *job, resumeFrom int) {
	c.sendTo(j, pick(c.w, c.w.routers), resumeFrom)
}

// sendTo sends a job to one router.
func (c *callers) sendTo(j *job, router *routerNode, resumeFrom int) {
	j.sends++
	run := &exchange{job: j, router: router, next: resumeFrom, resumeFrom: resumeFrom}
	c.w.oracle.requests++
	if !router.up {
		c.after(refusedCallDelay, func() { c.again(run, 100*time.Millisecond) })
		return
	}
	run.toCaller = c.w.newStream(router.process, c.process)
	router.trackConnection(run)
	c.open = append(c.open, run)
	life := router.generation
	c.w.after(c.w.latency(c.process, router.process), func() {
		router.run(life, func() { router.arrive(run) })
	})
	if j.small && c.w.chance(impatientShare) && j.sends < smallSends {
		c.after(c.w.between(20*time.Millisecond, time.Second), func() { c.sendAnywhere(j, 0) })
	}
	c.after(patience, func() { c.hangUp(run) })
	if !j.small && c.w.chance(hangUpShare) {
		c.after(c.w.between(0, time.Second), func() { c.hangUp(run) })
	}
}

// arrive gives a new request to the core.
func (r *routerNode) arrive(run *exchange) {
	r.nextID++
	run.id = r.nextID
	r.waiting[run.id] = run
	request := core.Request{
		ID: run.id, Name: run.job.name, Tenant: run.job.tenant, Service: modelService, PromptTokens: run.promptTokens(),
		MaxTokens: run.job.maxTokens, ResumeFrom: run.resumeFrom,
	}
	if run.job.small {
		request.Service, request.Key, request.Digest, request.PromptTokens = smallService, run.job.name, testDigest, 1
	} else {
		text := []byte(strings.Join(run.job.segments, ""))
		for _, weights := range r.core.WeightsInUse(modelService) {
			request.Chains = append(request.Chains, core.Chain{Weights: weights, Blocks: r.w.hasher.Chain(run.job.tenant, weights, text)})
		}
	}
	r.post(core.EventRequest{Request: request})
}

// hangUp ends an exchange that the caller no longer waits for.
func (c *callers) hangUp(run *exchange) {
	if run.over {
		return
	}
	run.over = true
	run.toCaller.closed = true
	run.router.run(run.toCaller.fromGeneration, func() {
		if run.router.waiting[run.id] == run {
			delete(run.router.waiting, run.id)
			run.router.post(core.EventCallerGone{ID: run.id})
		}
	})
	if run.job.small {
		c.again(run, 100*time.Millisecond)
	}
}

// again sends a job once more, unless it has been sent often enough.
func (c *callers) again(run *exchange, after time.Duration) {
	j := run.job
	limit := streamSends
	if j.small {
		limit = smallSends
	}
	if j.done || j.sends >= limit || c.w.now() > activeTime+settleTime/3 {
		return
	}
	resume := 0
	if !j.small && c.w.chance(0.5) {
		resume = run.next
	}
	c.after(after+c.w.between(0, 300*time.Millisecond), func() {
		if !j.done {
			c.sendAnywhere(j, resume)
		}
	})
}

// chunk sends a token to the caller, who checks it.
func (e *exchange) chunk(action core.ActionChunk) {
	e.toCaller.send(func() {
		if e.over {
			return
		}
		e.job.w.oracle.callerGot(e, action)
		e.next++
	})
}

// final sends the final answer to the caller, who checks it and may send again.
func (e *exchange) final(action core.ActionFinish) {
	e.toCaller.send(func() {
		if e.over {
			return
		}
		e.over = true
		w := e.job.w
		w.oracle.callerFinished(e, action)
		if action.Reason == core.ReasonComplete || action.Reason == core.ReasonReplayed {
			e.job.done = true
			return
		}
		w.logf("%s at %s refused as %s, run=%s", e.job.name, e.router.name, action.Reason, action.Run)
		w.callers.again(e, max(action.RetryAfter, 50*time.Millisecond))
	})
}

func (e *exchange) ended() bool { return e.over }

// reset tells the caller that the connection died.
func (e *exchange) reset() {
	e.toCaller.send(func() {
		if e.over {
			return
		}
		e.over = true
		e.job.w.logf("%s at %s: connection broken", e.job.name, e.router.name)
		e.job.w.callers.again(e, 50*time.Millisecond)
	})
}

// answerOf returns the body of a stored answer.
func answerOf(answer *ledger.Response) string {
	if answer == nil {
		return ""
	}
	return string(answer.Body)
}
