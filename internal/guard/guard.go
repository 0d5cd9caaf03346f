// Package guard names the safety checks that enforce the invariants of the system. All are enabled in production. The
// simulator disables one at a time, to verify that its invariant check fails without it.
package guard

// Guard is the name of a safety check.
type Guard string

// Safety checks.
const (
	FenceCheck               Guard = "fence-check"               // engines reject commands with an old fencing token
	ClaimBeforeRun           Guard = "claim-before-dispatch"     // non-repeatable requests are claimed before dispatch
	TenantInHash             Guard = "tenant-in-hash"            // block chains are seeded with the tenant
	WeightsInHash            Guard = "weights-in-hash"           // block chains are seeded with the weights version
	IncarnationCheck         Guard = "incarnation-check"         // a new engine incarnation invalidates its entries
	SyncBeforeAck            Guard = "synced-before-acknowledge" // nothing is acknowledged before it is synced to disk
	LearnerBeforeVote        Guard = "learner-before-vote"       // a replica with an empty folder joins as a learner
	LeaseAtDispatch          Guard = "lease-check-at-dispatch"
	VersionCheck             Guard = "version-check"         // a settings change must name the version that it edits
	OperationCheck           Guard = "operation-id-check"    // a retransmitted settings change returns its first outcome
	StreamIndexCheck         Guard = "stream-index-check"    // repeated and missing chunks are detected
	EndOfStreamCheck         Guard = "end-of-stream-check"   // a stream without end marker is incomplete
	AttemptCheck             Guard = "attempt-check"         // a response must carry the current attempt
	NotRunProof              Guard = "not-run-proof"         // not-run is reported only if it is proved
	LeavingCheck             Guard = "leaving-check"         // draining backends get no new requests
	LeavingSelfReported      Guard = "leaving-heard"         // a backend may announce its own draining
	BackoffCheck             Guard = "rest-check"            // backoffs that backends ask for are observed
	AdvertisedLimitCheck     Guard = "limit-check"           // advertised limits hold for all gateways together
	DrainBeforeExit          Guard = "drain-before-exit"     // a planned stop waits for running streams
	SettingsMonotonic        Guard = "settings-never-revert" // acknowledged settings versions never decrease
	PersistedSettings        Guard = "settings-synced-copy"  // a router restarts from its synced settings
	LeaseMargin              Guard = "lease-margin"          // control assumes a longer lease than the router does
	AmbiguousNotResent       Guard = "ambiguous-not-resent"  // non-repeatable attempts of unknown result are not retried
	ConfirmedView            Guard = "confirmed-view"        // gateways are answered only under the leader lease
	DrainCommitted           Guard = "drain-committed"       // draining is acknowledged only after a majority stored it
	DeregistrationKept       Guard = "deregistration-kept"   // a delayed heartbeat does not register a deregistered backend
	DrainBeforeWeightsChange Guard = "turn-away-first"       // weights change only after dispatching stopped
	WeightsOrderDelay        Guard = "order-pause"           // a new leader waits before its first weights order
	DropLateOrders           Guard = "late-calls-dropped"    // orders decided before a long pause are dropped
	HighestRevision          Guard = "highest-revision"      // a document replaces only one of a lower revision
	QuarantineCheck          Guard = "held-back"             // quarantined requests are not dispatched
	PartQuarantine           Guard = "part-held-back"        // requests with quarantined parts of prompts are not dispatched
	RefusalConfirmed         Guard = "refusal-confirmed"     // a refused connection proves an end only if peers are refused too
	TunnelForLostPath        Guard = "path-through-peer"     // back ends without a direct path are reached through peers
	SameSoftware             Guard = "same-software"         // a stream goes on only at the software version that began it
	OriginKnown              Guard = "stream-origin"         // a stream is taken up only if it is known where it began
	SuspendAwareClock        Guard = "suspension-counts"     // clocks include the time that the machine was suspended
	RelayConfirmed           Guard = "relay-confirmed"       // relayed answers need the leader's confirmation
	RelayReported            Guard = "relay-reported"        // the leader knows the gateways that replicas answer
	RelayApplied             Guard = "relay-applied"         // relayed answers include what the leader had applied
	PublicationTimeFromLog   Guard = "naming-agreed"         // the age of weights is computed from the log
	PublicationAgeMonotonic  Guard = "naming-kept-older"     // publications never become younger for a gateway
	MessageByteLimits        Guard = "message-byte-limits"   // messages and bytes in flight between replicas are bounded
	LogByteLimits            Guard = "log-byte-limits"       // the log is bounded in bytes, not only in entries
)

// All returns all guards in a fixed order.
func All() []Guard {
	return []Guard{
		FenceCheck, ClaimBeforeRun, TenantInHash, WeightsInHash, IncarnationCheck, SyncBeforeAck,
		LearnerBeforeVote, LeaseAtDispatch, VersionCheck, OperationCheck, StreamIndexCheck,
		EndOfStreamCheck, AttemptCheck, NotRunProof, LeavingCheck, LeavingSelfReported, BackoffCheck, AdvertisedLimitCheck, DrainBeforeExit,
		SettingsMonotonic, PersistedSettings, LeaseMargin, AmbiguousNotResent,
		ConfirmedView, DrainCommitted, DeregistrationKept, DrainBeforeWeightsChange, WeightsOrderDelay, DropLateOrders, HighestRevision, QuarantineCheck, PartQuarantine, RefusalConfirmed, TunnelForLostPath, SameSoftware, OriginKnown, SuspendAwareClock,
		RelayConfirmed, RelayReported, RelayApplied, PublicationTimeFromLog, PublicationAgeMonotonic, LogByteLimits, MessageByteLimits,
	}
}

// Set is a set of enabled guards. In the zero value all are enabled.
type Set struct {
	off Guard
}

// Without returns the set of all guards but one.
func Without(g Guard) Set { return Set{off: g} }

// On reports whether a guard is enabled.
func (s Set) On(g Guard) bool { return s.off != g }
