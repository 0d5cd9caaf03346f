// Package ledger records requests that may run at most once. It is a pure state machine applied from the
// replicated log; every replica gets the same outcome.
//
// Rules: a key has at most one claim at a time; only the holder of the claim may dispatch, and only within
// the session it claimed in. A claim ends as finished (with the answer), released (provably not run) or
// unknown (the holder is gone, or cannot tell). A finished or unknown key is never granted again while it
// is retained, and is refused as expired for a long time after that.
package ledger

import (
	"container/heap"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

const (
	// expiredRetentionFactor is how many retention times an expired key is still refused, without its answer.
	expiredRetentionFactor = 30
	// maxResponseBytes bounds a stored answer; a longer one is stored as finished without its body.
	maxResponseBytes = 256 << 10
)

// State is where the run of a key stands.
type State string

// States of a record.
const (
	StateRunning  State = "running"
	StateFinished State = "finished"
	StateUnknown  State = "unknown"
	StateExpired  State = "expired"
)

// Key names a request that may run once. Tenants and services never share keys.
type Key struct {
	Tenant  string `json:"tenant"`
	Service string `json:"service"`
	Key     string `json:"key"`
}

// Holder is a router's session; a session that was closed never holds claims again.
type Holder struct {
	Router string `json:"router"`
	Epoch  uint64 `json:"epoch"`
}

// Response is what the back end returned.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Truncated   bool   `json:"truncated,omitempty"` // the body was too long to keep
}

// Claim asks for the right to run a key once.
type Claim struct {
	Key         Key    `json:"key"`
	Digest      uint64 `json:"digest"`   // of the request body
	ClaimID     string `json:"claim_id"` // the same for every resend of this claim
	Holder      Holder `json:"holder"`
	RetentionMS int64  `json:"retention_ms"`
}

// End reports how a claim ended.
type End struct {
	Key     Key       `json:"key"`
	ClaimID string    `json:"claim_id"`
	Kind    EndKind   `json:"kind"`
	Answer  *Response `json:"answer,omitempty"` // with EndFinished
}

// EndKind is how a claim ended.
type EndKind string

// Kinds of end.
const (
	EndFinished EndKind = "finished"
	EndReleased EndKind = "released" // provably never ran
	EndUnknown  EndKind = "unknown"
)

// OutcomeKind is the answer to a claim.
type OutcomeKind string

// Kinds of claim outcome.
const (
	Granted        OutcomeKind = "granted"
	Replayed       OutcomeKind = "replayed" // Answer holds the stored answer
	InProgress     OutcomeKind = "in-progress"
	RunUnknown     OutcomeKind = "unknown"
	DigestMismatch OutcomeKind = "digest-mismatch"
	KeyExpired     OutcomeKind = "expired"
	Withdrawn      OutcomeKind = "withdrawn"      // this claim id was released before
	SessionClosed  OutcomeKind = "session-closed" // the holder's session is gone
)

// Outcome is the answer to a claim.
type Outcome struct {
	Kind   OutcomeKind `json:"kind"`
	Answer *Response   `json:"answer,omitempty"`
}

// record is the state of one key.
type record struct {
	Key       Key       `json:"key"`
	Digest    uint64    `json:"digest"`
	State     State     `json:"state"`
	ClaimID   string    `json:"claim_id"`
	Holder    Holder    `json:"holder"`
	Answer    *Response `json:"answer,omitempty"`
	Retention int64     `json:"retention_ms"`
	ExpiresMS int64     `json:"expires_ms"`
}

// withdrawal remembers a released claim id, so that a late copy of the claim is not granted.
type withdrawal struct {
	ClaimID   string `json:"claim_id"`
	ExpiresMS int64  `json:"expires_ms"`
}

// Ledger is the replicated state.
type Ledger struct {
	records     map[Key]*record
	withdrawn   map[string]int64
	expiry      expiryHeap
	withdrawals []withdrawal // in order of time
}

// withdrawalTTLMS is how long a released claim id is remembered; no message is delayed longer.
const withdrawalTTLMS = 10 * 60 * 1000

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{records: map[Key]*record{}, withdrawn: map[string]int64{}}
}

// Len returns the number of keys held, expired ones included.
func (l *Ledger) Len() int { return len(l.records) }

// Claim decides a claim. sessionOpen tells whether the holder's session is open.
func (l *Ledger) Claim(claim Claim, nowMS int64, sessionOpen bool) Outcome {
	l.prune(nowMS)
	if _, released := l.withdrawn[claim.ClaimID]; released {
		return Outcome{Kind: Withdrawn}
	}
	if existing, found := l.records[claim.Key]; found {
		return existing.decide(claim, sessionOpen)
	}
	if !sessionOpen {
		return Outcome{Kind: SessionClosed}
	}
	created := &record{
		Key: claim.Key, Digest: claim.Digest, State: StateRunning, ClaimID: claim.ClaimID, Holder: claim.Holder,
		Retention: claim.RetentionMS, ExpiresMS: nowMS + claim.RetentionMS,
	}
	l.records[claim.Key] = created
	heap.Push(&l.expiry, expiryItem{key: claim.Key, at: created.ExpiresMS})
	return Outcome{Kind: Granted}
}

// decide decides a claim for a key that is held already.
func (r *record) decide(claim Claim, sessionOpen bool) Outcome {
	if r.State == StateExpired {
		return Outcome{Kind: KeyExpired}
	}
	if r.Digest != claim.Digest {
		return Outcome{Kind: DigestMismatch}
	}
	switch r.State {
	case StateFinished:
		return Outcome{Kind: Replayed, Answer: r.Answer}
	case StateUnknown:
		return Outcome{Kind: RunUnknown}
	}
	if r.ClaimID == claim.ClaimID && r.Holder == claim.Holder {
		if !sessionOpen {
			return Outcome{Kind: SessionClosed}
		}
		return Outcome{Kind: Granted}
	}
	return Outcome{Kind: InProgress}
}

// End ends a claim. Ending it twice, or ending a claim that another one replaced, changes nothing.
func (l *Ledger) End(end End, nowMS int64) {
	l.prune(nowMS)
	existing, found := l.records[end.Key]
	owned := found && existing.ClaimID == end.ClaimID
	if end.Kind == EndReleased {
		l.withdraw(end.ClaimID, nowMS)
		// A closed session turned the claim to unknown, but its holder knows that it never dispatched.
		if owned && (existing.State == StateRunning || existing.State == StateUnknown) {
			delete(l.records, end.Key)
		}
		return
	}
	if !owned || existing.State == StateFinished || existing.State == StateExpired {
		return
	}
	if end.Kind == EndUnknown {
		existing.State = StateUnknown
		return
	}
	// A late answer replaces "unknown": it is the truth, and the key stays spent either way.
	existing.State = StateFinished
	existing.Answer = truncateResponse(end.Answer)
}

func truncateResponse(answer *Response) *Response {
	if answer == nil || len(answer.Body) <= maxResponseBytes {
		return answer
	}
	return &Response{Status: answer.Status, ContentType: answer.ContentType, Truncated: true}
}

func (l *Ledger) withdraw(claimID string, nowMS int64) {
	if _, known := l.withdrawn[claimID]; known {
		return
	}
	item := withdrawal{ClaimID: claimID, ExpiresMS: nowMS + withdrawalTTLMS}
	l.withdrawn[claimID] = item.ExpiresMS
	l.withdrawals = append(l.withdrawals, item)
}

// CloseSession marks every running claim of a session as unknown.
func (l *Ledger) CloseSession(holder Holder) {
	for _, existing := range l.records {
		if existing.State == StateRunning && existing.Holder == holder {
			existing.State = StateUnknown
		}
	}
}

// prune expires old records and forgets what has been expired for long.
func (l *Ledger) prune(nowMS int64) {
	for len(l.withdrawals) > 0 && l.withdrawals[0].ExpiresMS <= nowMS {
		delete(l.withdrawn, l.withdrawals[0].ClaimID)
		l.withdrawals = l.withdrawals[1:]
	}
	for len(l.expiry) > 0 && l.expiry[0].at <= nowMS {
		item := heap.Pop(&l.expiry).(expiryItem)
		existing, found := l.records[item.key]
		if !found || existing.ExpiresMS != item.at {
			continue
		}
		l.expire(existing, nowMS)
	}
}

func (l *Ledger) expire(existing *record, nowMS int64) {
	if existing.State == StateExpired {
		delete(l.records, existing.Key)
		return
	}
	existing.State = StateExpired
	existing.Answer = nil
	existing.ExpiresMS = nowMS + expiredRetentionFactor*existing.Retention
	heap.Push(&l.expiry, expiryItem{key: existing.Key, at: existing.ExpiresMS})
}

// Digest identifies a request body.
func Digest(body []byte) uint64 { return xxhash.Sum64(body) }

// ledgerSnapshot is the JSON form of a ledger.
type ledgerSnapshot struct {
	Records     []*record    `json:"records"`
	Withdrawals []withdrawal `json:"withdrawals"`
}

// MarshalJSON writes the whole state for a snapshot.
func (l *Ledger) MarshalJSON() ([]byte, error) {
	snapshot := ledgerSnapshot{Withdrawals: l.withdrawals}
	for _, existing := range l.records {
		snapshot.Records = append(snapshot.Records, existing)
	}
	return json.Marshal(snapshot)
}

// UnmarshalJSON restores a state written by MarshalJSON.
func (l *Ledger) UnmarshalJSON(data []byte) error {
	var snapshot ledgerSnapshot
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return err
	}
	*l = *New()
	l.withdrawals = snapshot.Withdrawals
	for _, item := range snapshot.Withdrawals {
		l.withdrawn[item.ClaimID] = item.ExpiresMS
	}
	for _, existing := range snapshot.Records {
		l.records[existing.Key] = existing
		l.expiry = append(l.expiry, expiryItem{key: existing.Key, at: existing.ExpiresMS})
	}
	heap.Init(&l.expiry)
	return nil
}
