// Package guard names the safety checks that enforce the invariants of the system. All are enabled in production. The
// simulator disables one at a time, to verify that its invariant check fails without it.
package guard

// Guard is the name of a safety check.
type Guard string

// Safety checks.
const (
	FenceCheck               Guard = "fence-check"               // engines reject commands with a fencing token below the highest one seen
	ClaimBeforeRun           Guard = "claim-before-dispatch"     // a non-repeatable request is claimed before it is dispatched
	TenantInHash             Guard = "tenant-in-hash"            // block chains are seeded with the tenant
	WeightsInHash            Guard = "weights-in-hash"           // block chains are seeded with the weights version
	IncarnationCheck         Guard = "incarnation-check"         // a new engine incarnation invalidates its index entries
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
	LeavingSelfReported      Guard = "leaving-heard"         // a backend that reports itself as draining is, even if control disagrees
	BackoffCheck             Guard = "rest-check"            // backends that asked for a backoff get no requests during it
	AdvertisedLimitCheck     Guard = "limit-check"           // advertised limits hold for all gateways together
	DrainBeforeExit          Guard = "drain-before-exit"     // a planned stop waits for running streams
	SettingsMonotonic        Guard = "settings-never-revert" // a router keeps the newest settings version that it acknowledged
	PersistedSettings        Guard = "settings-synced-copy"  // a router restarts from its synced settings
	LeaseMargin              Guard = "lease-margin"          // control assumes a longer lease than the router does
	AmbiguousNotResent       Guard = "ambiguous-not-resent"  // a non-repeatable attempt with unknown result is not retried
	ConfirmedView            Guard = "confirmed-view"        // a gateway's poll is answered only under the leader's lease
	DrainCommitted           Guard = "drain-committed"       // draining is acknowledged only after a majority stored it
	DrainBeforeWeightsChange Guard = "turn-away-first"       // weights are replaced only after gateways stopped dispatching
	WeightsCommandDelay      Guard = "order-pause"           // a new leader waits before its first weights command
	DropLateCommands         Guard = "late-calls-dropped"    // a command decided before a long sync is not sent after it
	HighestRevision          Guard = "highest-revision"      // a document replaces only one of a lower revision
	QuarantineCheck          Guard = "held-back"             // a request that crashes its backends is not dispatched any more
	SuspendAwareClock        Guard = "suspension-counts"     // clocks include the time that the machine was suspended
	RelayConfirmed           Guard = "relay-confirmed"       // a replica answers a gateway only after the leader confirmed the poll
	RelayReported            Guard = "relay-reported"        // the leader counts the gateways that other replicas answer
	RelayApplied             Guard = "relay-applied"         // a replica answers only after it applied what the leader had applied
	PublicationTimeFromLog   Guard = "naming-agreed"         // the age of weights is computed from the log
	PublicationAgeMonotonic  Guard = "naming-kept-older"     // publications never become younger for a gateway
)

// All returns all guards in a fixed order.
func All() []Guard {
	return []Guard{
		FenceCheck, ClaimBeforeRun, TenantInHash, WeightsInHash, IncarnationCheck, SyncBeforeAck,
		LearnerBeforeVote, LeaseAtDispatch, VersionCheck, OperationCheck, StreamIndexCheck,
		EndOfStreamCheck, AttemptCheck, NotRunProof, LeavingCheck, LeavingSelfReported, BackoffCheck, AdvertisedLimitCheck, DrainBeforeExit,
		SettingsMonotonic, PersistedSettings, LeaseMargin, AmbiguousNotResent,
		ConfirmedView, DrainCommitted, DrainBeforeWeightsChange, WeightsCommandDelay, DropLateCommands, HighestRevision, QuarantineCheck, SuspendAwareClock,
		RelayConfirmed, RelayReported, RelayApplied, PublicationTimeFromLog, PublicationAgeMonotonic,
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
