package core

import "time"

const (
	maxDecisions  = 4096
	shortlistSize = 4
)

// Decision records one placement or refusal, for "kitetiller explain".
type Decision struct {
	Request         string        `json:"request"`
	Tenant          string        `json:"tenant"`
	Service         string        `json:"service"`
	Lane            string        `json:"lane"`
	At              time.Duration `json:"at_ns"`
	Queued          time.Duration `json:"queued_ns"`
	Try             int           `json:"try"`
	PromptTokens    int           `json:"prompt_tokens"`
	ResumeFrom      int           `json:"resume_from"`
	SettingsVersion uint64        `json:"settings_version"`
	Chosen          string        `json:"chosen"`
	Considered      int           `json:"considered"`
	Shortlist       []Candidate   `json:"shortlist"`
	Outcome         Reason        `json:"outcome"`
	Run             RunStatus     `json:"run"`
	FinishedAt      time.Duration `json:"finished_at_ns"`
}

// decisionRing is a ring buffer of the newest decisions.
type decisionRing struct {
	records [maxDecisions]Decision
	next    int
}

// record stores a placement: the chosen candidate first, then the next candidates in the order they were scored.
func (d *decisionRing) record(r *request, now time.Duration, chosen Candidate, candidates []Candidate, version uint64) {
	slot := &d.records[d.next%maxDecisions]
	d.next++
	shortlist := append(slot.Shortlist[:0], chosen)
	*slot = Decision{
		Request: r.Name, Tenant: r.Tenant, Service: r.Service, Lane: r.Lane.String(), At: now, Queued: now - r.arrivedAt,
		Try: r.attemptCount + 1, PromptTokens: r.PromptTokens, ResumeFrom: r.emitted, SettingsVersion: version,
		Chosen: chosen.Name, Considered: len(candidates),
	}
	for i := range candidates {
		if len(shortlist) < shortlistSize && candidates[i].Engine != chosen.Engine {
			shortlist = append(shortlist, candidates[i])
		}
	}
	slot.Shortlist = shortlist
	r.lastDecision = d.next
}

// finish stores the outcome of a request in its newest decision. A request without one, or whose decision has been
// overwritten, gets a new record.
func (d *decisionRing) finish(r *request, final ActionFinish, now time.Duration) {
	if r.lastDecision == 0 || d.next-r.lastDecision >= maxDecisions {
		d.next++
		r.lastDecision = d.next
		slot := &d.records[(r.lastDecision-1)%maxDecisions]
		*slot = Decision{
			Request: r.Name, Tenant: r.Tenant, Service: r.Service, Lane: r.Lane.String(), At: now,
			Queued: now - r.arrivedAt, PromptTokens: r.PromptTokens, Shortlist: slot.Shortlist[:0],
		}
	}
	slot := &d.records[(r.lastDecision-1)%maxDecisions]
	slot.Outcome, slot.Run, slot.FinishedAt = final.Reason, final.Run, now
}

// Explain returns the stored decisions about a request, oldest first.
func (c *Core) Explain(name string) []Decision {
	var found []Decision
	first := max(0, c.decisions.next-maxDecisions)
	for number := first; number < c.decisions.next; number++ {
		record := c.decisions.records[number%maxDecisions]
		if record.Request == name {
			record.Shortlist = append([]Candidate(nil), record.Shortlist...)
			found = append(found, record)
		}
	}
	return found
}
