package streamcopy

import "time"

// Refusal is why a broken stream is not continued from its copy, or "" if it may be. The values appear in logs and
// metrics.
type Refusal string

// Refusals.
const (
	Allowed Refusal = ""
	// NoCopy: no engine was asked to keep a copy.
	NoCopy Refusal = "no-copy"
	// NotEnded: the engine of the run may still be working on it. Only a connection that ended by the engine's side
	// proves that it does not; a time-out, a cancellation by the gateway or an inconsistent response proves nothing.
	NotEnded Refusal = "not-ended"
	// NoHead: no signed response head came, so it is unknown whether the run has begun.
	NoHead Refusal = "no-head"
	// NoEventIDs: events without usable IDs were relayed, so nobody could tell what has not arrived.
	NoEventIDs Refusal = "no-event-ids"
	// WeightsChanged: the run went on under other weights, or its engine was to load some.
	WeightsChanged Refusal = "weights-changed"
	// CopyGone, CopyUnavailable, CopyOtherWeights: the copy's engine has ended or was replaced; it drains, loads weights
	// or wants no requests; it holds weights of another version than those of the run.
	CopyGone         Refusal = "copy-gone"
	CopyUnavailable  Refusal = "copy-unavailable"
	CopyOtherWeights Refusal = "copy-other-weights"
	// CopyOtherSoftware: the software versions of the run's and the copy's engine are not known to be the same.
	CopyOtherSoftware Refusal = "copy-other-software"
	// CopyExpired: the copy's time to live has passed since the last event.
	CopyExpired Refusal = "copy-expired"
	// NearDeadline: the time left is shorter than the pause that the caller accepts.
	NearDeadline Refusal = "near-deadline"
	// Suspect: so many engines ended under the request that it is sent to no more.
	Suspect Refusal = "suspect"
	// Repeated: the stream was continued as often as permitted.
	Repeated Refusal = "repeated"
	// Unconfirmed: the gateway does not know whether the caller's key still holds.
	Unconfirmed Refusal = "view-unconfirmed"
	// OverBudget: the fleet's budget of retries is used up.
	OverBudget Refusal = "over-budget"
)

// MaxContinuations is how often one stream may be continued. Streams last about a second and an engine that crashes
// repeatedly does so every few seconds, so more would only follow a request that ends its engines.
const MaxContinuations = 2

// minTimeLeft is the least time left in which a continuation can deliver an event: connection, transfer and a step of
// the engine.
const minTimeLeft = 50 * time.Millisecond

// Break describes a stream that broke off.
type Break struct {
	HasCopy       bool
	SignedHead    bool // the engine that broke off had sent a signed response head
	EndedByEngine bool // the engine's side closed or reset the connection in the middle of the response
	Canceled      bool // the gateway had canceled the attempt, for a time-out or since the caller left
	CallerGone    bool
	EventIDs      bool // all events that were relayed had decimal IDs
	Version       uint64
	EngineVersion uint64 // of the run's engine as known now; 0 if unknown
	EngineLoading bool   // the run's engine is to load weights
	// VersionChanged is set if the response head or an event named another version than that of the run.
	VersionChanged bool
	CopyKnown      bool // the incarnation that was asked to keep the copy is still in the roster
	CopyUsable     bool // it may be sent requests
	CopyVersion    uint64
	// EngineSoftware and CopySoftware are the software versions of the two engines; "" if unknown.
	EngineSoftware, CopySoftware string
	SinceLastEvent               time.Duration // or since the response head
	CopyTTL                      time.Duration // 0 if unknown
	TimeLeft                     time.Duration
	MaxPause                     time.Duration // that the caller accepts; 0 if unknown
	Continuations                int           // of the stream so far
	Suspect                      bool
	KeyUnconfirmed               bool
}

// MayContinue returns why a stream must not be continued from its copy, or Allowed. A second run beside a first one is a
// worse fault than a broken stream, so whatever is unknown counts as a reason not to.
func (b Break) MayContinue() Refusal {
	switch {
	case !b.HasCopy:
		return NoCopy
	case !b.SignedHead:
		return NoHead
	case !b.EndedByEngine, b.Canceled, b.CallerGone:
		return NotEnded
	case !b.EventIDs:
		return NoEventIDs
	case b.VersionChanged, b.EngineLoading, b.Version == 0, b.EngineVersion > 0 && b.EngineVersion != b.Version:
		return WeightsChanged
	case !b.CopyKnown:
		return CopyGone
	case !b.CopyUsable:
		return CopyUnavailable
	case b.CopyVersion != b.Version:
		return CopyOtherWeights
	case b.EngineSoftware == "", b.CopySoftware != b.EngineSoftware:
		return CopyOtherSoftware
	case b.CopyTTL > 0 && b.SinceLastEvent >= b.CopyTTL:
		return CopyExpired
	case b.TimeLeft < max(minTimeLeft, b.MaxPause):
		return NearDeadline
	case b.Continuations >= MaxContinuations:
		return Repeated
	case b.Suspect:
		return Suspect
	case b.KeyUnconfirmed:
		return Unconfirmed
	}
	return Allowed
}
