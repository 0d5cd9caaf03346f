// Package ledger tracks idempotency keys of requests that may run at most once. It is a deterministic state machine
// that is applied from the replicated log: all replicas compute the same outcomes.
//
// A key has at most one claim at a time. Only the holder of the claim may dispatch the request, and only during the
// session in which it claimed the key. A claim ends as finished (with the response), released (the request provably
// did not run) or unknown (the session closed, or the holder cannot tell). A finished or unknown key is not granted
// again while it is retained, and is rejected as expired for a multiple of the retention time after that.
package ledger

import (
	"container/heap"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

const (
	// expiredRetentionFactor is how many retention times an expired key is still rejected, without a stored response.
	expiredRetentionFactor = 30
	// maxResponseBytes bounds the body of a stored response; longer bodies are not stored.
	maxResponseBytes = 256 << 10
)

// State is the state of a key.
type State string

// States of a key.
const (
	StateRunning  State = "running"
	StateFinished State = "finished"
	StateUnknown  State = "unknown"
	StateExpired  State = "expired"
)

// Key identifies a request that may run once. Tenants and services have separate key spaces.
type Key struct {
	Tenant  string `json:"tenant"`
	Service string `json:"service"`
	Key     string `json:"key"`
}

// Holder is a session of a router. A closed session gets no new claims.
type Holder struct {
	Router string `json:"router"`
	Epoch  uint64 `json:"epoch"`
}

// Response is the stored response of a backend.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Truncated   bool   `json:"truncated,omitempty"` // the body exceeded maxResponseBytes and was not stored
}

// Claim requests the right to run a key once.
type Claim struct {
	Key         Key    `json:"key"`
	Digest      uint64 `json:"digest"`   // of the request body
	ClaimID     string `json:"claim_id"` // the same for all retransmissions of this claim
	Holder      Holder `json:"holder"`
	RetentionMS int64  `json:"retention_ms"`
}

// End reports how a claim ended.
type End struct {
	Key      Key       `json:"key"`
	ClaimID  string    `json:"claim_id"`
	Kind     EndKind   `json:"kind"`
	Response *Response `json:"answer,omitempty"` // only with EndFinished
}

// EndKind is the result of a claim.
type EndKind string

// Results of a claim.
const (
	EndFinished EndKind = "finished"
	EndReleased EndKind = "released" // the request provably never ran
	EndUnknown  EndKind = "unknown"
)

// OutcomeKind is the decision on a claim.
type OutcomeKind string

// Decisions on a claim.
const (
	Granted        OutcomeKind = "granted"
	Replayed       OutcomeKind = "replayed" // with the stored response
	InProgress     OutcomeKind = "in-progress"
	RunUnknown     OutcomeKind = "unknown"
	DigestMismatch OutcomeKind = "digest-mismatch"
	KeyExpired     OutcomeKind = "expired"
	Withdrawn      OutcomeKind = "withdrawn"      // this claim id was released before
	SessionClosed  OutcomeKind = "session-closed" // the holder's session is closed
)

// Outcome is the decision on a claim and, for Replayed, the stored response.
type Outcome struct {
	Kind     OutcomeKind `json:"kind"`
	Response *Response   `json:"answer,omitempty"`
}

type record struct {
	Key       Key       `json:"key"`
	Digest    uint64    `json:"digest"`
	State     State     `json:"state"`
	ClaimID   string    `json:"claim_id"`
	Holder    Holder    `json:"holder"`
	Response  *Response `json:"answer,omitempty"`
	Retention int64     `json:"retention_ms"`
	ExpiresMS int64     `json:"expires_ms"`
}

// withdrawal remembers a released claim id, so that a delayed copy of the claim is not granted.
type withdrawal struct {
	ClaimID   string `json:"claim_id"`
	ExpiresMS int64  `json:"expires_ms"`
}

// Ledger is the replicated state. It is not safe for concurrent use.
type Ledger struct {
	records     map[Key]*record
	withdrawn   map[string]int64 // expiry time by claim id
	expiry      expiryHeap
	withdrawals []withdrawal // ordered by time
}

// withdrawalTTLMS is how long a released claim id is remembered. It exceeds the longest possible delay of a message.
const withdrawalTTLMS = 10 * 60 * 1000

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{records: map[Key]*record{}, withdrawn: map[string]int64{}}
}

// Len returns the number of keys, including expired ones.
func (l *Ledger) Len() int { return len(l.records) }

// Claim decides on a claim. sessionOpen reports whether the holder's session is open.
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

// decide decides on a claim for an existing key.
func (r *record) decide(claim Claim, sessionOpen bool) Outcome {
	if r.State == StateExpired {
		return Outcome{Kind: KeyExpired}
	}
	if r.Digest != claim.Digest {
		return Outcome{Kind: DigestMismatch}
	}
	switch r.State {
	case StateFinished:
		return Outcome{Kind: Replayed, Response: r.Response}
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

// End ends a claim. It has no effect if the claim already finished or was replaced by another one.
func (l *Ledger) End(end End, nowMS int64) {
	l.prune(nowMS)
	existing, found := l.records[end.Key]
	owned := found && existing.ClaimID == end.ClaimID
	if end.Kind == EndReleased {
		l.withdraw(end.ClaimID, nowMS)
		// Closing the session marked the claim as unknown, but its holder knows that it never dispatched the request.
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
	// A late response replaces "unknown": the key can't be granted again in either state.
	existing.State = StateFinished
	existing.Response = truncateResponse(end.Response)
}

func truncateResponse(response *Response) *Response {
	if response == nil || len(response.Body) <= maxResponseBytes {
		return response
	}
	return &Response{Status: response.Status, ContentType: response.ContentType, Truncated: true}
}

func (l *Ledger) withdraw(claimID string, nowMS int64) {
	if _, known := l.withdrawn[claimID]; known {
		return
	}
	item := withdrawal{ClaimID: claimID, ExpiresMS: nowMS + withdrawalTTLMS}
	l.withdrawn[claimID] = item.ExpiresMS
	l.withdrawals = append(l.withdrawals, item)
}

// CloseSession marks all running claims of a session as unknown.
func (l *Ledger) CloseSession(holder Holder) {
	for _, existing := range l.records {
		if existing.State == StateRunning && existing.Holder == holder {
			existing.State = StateUnknown
		}
	}
}

// prune expires records after their retention time, and deletes expired records and withdrawals whose time is over.
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
	existing.Response = nil
	existing.ExpiresMS = nowMS + expiredRetentionFactor*existing.Retention
	heap.Push(&l.expiry, expiryItem{key: existing.Key, at: existing.ExpiresMS})
}

// Digest returns a hash of a request body.
func Digest(body []byte) uint64 { return xxhash.Sum64(body) }

// ledgerSnapshot is the JSON form of a ledger.
type ledgerSnapshot struct {
	Records     []*record    `json:"records"`
	Withdrawals []withdrawal `json:"withdrawals"`
}

// MarshalJSON encodes the whole state as a snapshot.
func (l *Ledger) MarshalJSON() ([]byte, error) {
	snapshot := ledgerSnapshot{Withdrawals: l.withdrawals}
	for _, existing := range l.records {
		snapshot.Records = append(snapshot.Records, existing)
	}
	return json.Marshal(snapshot)
}

// UnmarshalJSON replaces the whole state by a snapshot.
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
