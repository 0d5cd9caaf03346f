// Package traffic generates prompts for load tests: long documents with nested shared prefixes, short questions, and
// templates whose popularity is skewed and shifts over time.
package traffic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"kitetiller/internal/lab/plan"
	"kitetiller/internal/prefix"
)

// Prompt is a request to the model service.
type Prompt struct {
	At        time.Duration
	Zone      string
	Tenant    string
	Short     bool
	Text      string
	MaxTokens int
}

// Generator produces a deterministic sequence of prompts from a seed.
type Generator struct {
	deployment *plan.Deployment
	random     *rand.Rand
	now        time.Duration
	rate       float64
	tenants    []tenant
	hotShifts  int // number of shifts of the hot templates so far
	followUps  []followUp
	documents  int
	dayLength  time.Duration // period of the daily demand cycle; 0 disables it
}

// tenant is the state of one tenant's traffic.
type tenant struct {
	name          string
	zone          string
	share         float64
	preamble      string
	templateTexts map[int]string // by template number
}

// followUp is a scheduled further question about a document.
type followUp struct {
	at        time.Duration
	prompt    Prompt
	prefix    string
	remaining int
}

// New returns a generator. scale multiplies the deployment's request rate.
func New(deployment *plan.Deployment, seed uint64, scale float64) *Generator {
	g := &Generator{
		deployment: deployment, random: rand.New(rand.NewPCG(seed, 7)),
		rate: deployment.Traffic.RequestsPerSecond * scale,
	}
	for i, spec := range deployment.Tenants {
		g.tenants = append(g.tenants, tenant{
			name: spec.Name, share: spec.Share, zone: deployment.Zones[i%len(deployment.Zones)],
			preamble:      fillerText(fmt.Sprintf("preamble of %s", spec.Name), deployment.Traffic.PreambleTokens),
			templateTexts: map[int]string{},
		})
	}
	return g
}

// fillerText returns text of the given length in tokens. Texts with different labels differ within the first
// line.
func fillerText(label string, tokens int) string {
	size := tokens * prefix.BytesPerToken
	var text strings.Builder
	for line := 0; text.Len() < size; line++ {
		fmt.Fprintf(&text, "%s, line %d. ", label, line)
	}
	return text.String()[:size]
}

// ShiftHotTemplates replaces all templates by new ones, as at the start of a season or a change of shift.
func (g *Generator) ShiftHotTemplates() { g.hotShifts++ }

// FollowSun enables a daily demand cycle of the given length, shifted from zone to zone: a zone has its full demand at
// noon and none at midnight.
func (g *Generator) FollowSun(day time.Duration) { g.dayLength = day }

// demandFactor returns the fraction of a zone's full demand at the current time.
func (g *Generator) demandFactor(zone string) float64 {
	if g.dayLength == 0 {
		return 1
	}
	zoneIndex := slices.Index(g.deployment.Zones, zone)
	dayFraction := g.now.Seconds()/g.dayLength.Seconds() + float64(zoneIndex)/float64(len(g.deployment.Zones))
	return (1 - math.Cos(2*math.Pi*dayFraction)) / 2
}

// Next returns the next prompt in order of time.
func (g *Generator) Next() Prompt {
	gap := time.Duration(g.random.ExpFloat64() / g.initialRequestRate() * float64(time.Second))
	next := g.now + gap
	if due, found := g.takeDueFollowUp(next); found {
		g.now = max(g.now, due.At)
		return due
	}
	g.now = next
	return g.initialPrompt()
}

// initialRequestRate returns the rate of requests other than follow-ups at which the total rate is the configured one.
func (g *Generator) initialRequestRate() float64 {
	traffic := g.deployment.Traffic
	requestsPerInitial := 1 + (1-traffic.ShortShare)*float64(max(0, traffic.QuestionsPerDoc-1))
	return g.rate / requestsPerInitial
}

func (g *Generator) takeDueFollowUp(by time.Duration) (Prompt, bool) {
	earliest := -1
	for i := range g.followUps {
		if g.followUps[i].at <= by && (earliest < 0 || g.followUps[i].at < g.followUps[earliest].at) {
			earliest = i
		}
	}
	if earliest < 0 {
		return Prompt{}, false
	}
	due := g.followUps[earliest]
	g.followUps[earliest] = g.followUps[len(g.followUps)-1]
	g.followUps = g.followUps[:len(g.followUps)-1]
	prompt := due.prompt
	prompt.At = due.at
	prompt.Text = due.prefix + g.questionText(g.deployment.Traffic.QuestionTokens)
	g.scheduleFollowUp(due.prompt, due.prefix, due.at, due.remaining-1)
	return prompt, true
}

// scheduleFollowUp schedules the next question about a document, unless none remain.
func (g *Generator) scheduleFollowUp(prompt Prompt, documentPrefix string, after time.Duration, remaining int) {
	if remaining <= 0 {
		return
	}
	gap := time.Duration((0.5 + g.random.Float64()) * float64(g.deployment.Traffic.QuestionGap))
	g.followUps = append(g.followUps, followUp{at: after + gap, prompt: prompt, prefix: documentPrefix, remaining: remaining})
}

func (g *Generator) questionText(tokens int) string {
	return fillerText(fmt.Sprintf("question %x", g.random.Uint64()), tokens)
}

func (g *Generator) initialPrompt() Prompt {
	traffic := g.deployment.Traffic
	caller := g.pickTenant()
	prompt := Prompt{At: g.now, Zone: caller.zone, Tenant: caller.name, MaxTokens: g.jittered(traffic.LongAnswerTokens)}
	base := caller.preamble + caller.templateText(g.pickTemplate(), traffic.TemplateTokens)
	if g.random.Float64() < traffic.ShortShare {
		prompt.Short, prompt.MaxTokens = true, g.jittered(traffic.ShortAnswerTokens)
		prompt.Text = base + g.questionText(traffic.ShortTokens)
		return prompt
	}
	g.documents++
	document := base + fillerText(fmt.Sprintf("document %d of %s", g.documents, caller.name), g.jittered(traffic.DocumentTokens))
	prompt.Text = document + g.questionText(traffic.QuestionTokens)
	g.scheduleFollowUp(prompt, document, g.now, g.jittered(traffic.QuestionsPerDoc)-1)
	return prompt
}

// jittered returns a random number from half to one and a half times the mean, at least 1.
func (g *Generator) jittered(mean int) int {
	return max(1, mean/2+g.random.IntN(max(1, mean)))
}

func (t *tenant) templateText(number, tokens int) string {
	text, cached := t.templateTexts[number]
	if !cached {
		text = fillerText(fmt.Sprintf("template %d of %s", number, t.name), tokens)
		t.templateTexts[number] = text
	}
	return text
}

func (g *Generator) pickTenant() *tenant {
	total := 0.0
	for i := range g.tenants {
		total += g.tenants[i].share * g.demandFactor(g.tenants[i].zone)
	}
	draw := g.random.Float64() * total
	for i := range g.tenants {
		if draw -= g.tenants[i].share * g.demandFactor(g.tenants[i].zone); draw < 0 {
			return &g.tenants[i]
		}
	}
	return &g.tenants[len(g.tenants)-1]
}

// pickTemplate draws a template number by Zipf's law. Each shift of the hot templates starts a new range of numbers.
func (g *Generator) pickTemplate() int {
	count := g.deployment.Traffic.Templates
	total := 0.0
	for rank := 1; rank <= count; rank++ {
		total += math.Pow(float64(rank), -g.deployment.Traffic.ZipfExponent)
	}
	draw := g.random.Float64() * total
	for rank := 1; rank <= count; rank++ {
		if draw -= math.Pow(float64(rank), -g.deployment.Traffic.ZipfExponent); draw < 0 {
			return rank + g.hotShifts*count
		}
	}
	return count + g.hotShifts*count
}
