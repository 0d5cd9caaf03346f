// Package guard names the protections that keep the must-hold rules. Production code runs with all of
// them on. The simulator switches one off at a time, to show that the check made for it does fail
// without it.
package guard

// Guard is the name of one protection.
type Guard string

// The protections, each named by what it checks.
const (
	FenceCheck               Guard = "fence-check"               // engines refuse orders below the highest fence seen
	ClaimBeforeRun           Guard = "claim-before-dispatch"     // a non-repeatable request is claimed before it is sent
	TenantInHash             Guard = "tenant-in-hash"            // block chains are seeded by the tenant
	WeightsInHash            Guard = "weights-in-hash"           // block chains are seeded by the weights version
	IncarnationCheck         Guard = "incarnation-check"         // a new engine incarnation voids every belief about it
	SyncBeforeAck            Guard = "synced-before-acknowledge" // nothing is sent before what it tells is synced
	LearnerBeforeVote        Guard = "learner-before-vote"       // a replica with an empty folder joins as learner
	LeaseAtDispatch          Guard = "lease-check-at-dispatch"
	VersionCheck             Guard = "version-check"         // a settings change names the version it edits
	OperationCheck           Guard = "operation-id-check"    // a resent settings change gets its first outcome
	StreamIndexCheck         Guard = "stream-index-check"    // repeated and missing chunks are noticed
	EndOfStreamCheck         Guard = "end-of-stream-check"   // a stream without its end marker is not complete
	AttemptCheck             Guard = "attempt-check"         // an answer must carry the current attempt
	NotRunProof              Guard = "not-run-proof"         // not-run is said only when it can be proved
	LeavingCheck             Guard = "leaving-check"         // leaving back ends get no new work
	LeavingSelfReported      Guard = "leaving-heard"         // a back end that says itself that it leaves does, whatever control tells
	BackoffCheck             Guard = "rest-check"            // back ends that asked for rest get none
	AdvertisedLimitCheck     Guard = "limit-check"           // back ends that name a limit get no more from all together
	DrainBeforeExit          Guard = "drain-before-exit"     // a planned stop waits for running streams
	SettingsMonotonic        Guard = "settings-never-revert" // a router keeps the newest version it acknowledged
	PersistedSettings        Guard = "settings-synced-copy"  // a router restarts from its synced settings
	LeaseMargin              Guard = "lease-margin"          // control counts a lease longer than the router does
	AmbiguousNotResent       Guard = "ambiguous-not-resent"  // a non-repeatable attempt with unknown result is not tried again
	ConfirmedView            Guard = "confirmed-view"        // a gateway's question is answered only under the leader's lease
	DrainCommitted           Guard = "drain-committed"       // draining is acknowledged once a majority holds it
	DrainBeforeWeightsChange Guard = "turn-away-first"       // weights are ordered once gateways send nothing more there
	WeightsCommandDelay      Guard = "order-pause"           // a new leader waits before its first order for weights
	DropLateCommands         Guard = "late-calls-dropped"    // an order decided before a long sync is not given after it
	HighestRevision          Guard = "highest-revision"      // a document replaces only an older one
	QuarantineCheck          Guard = "held-back"             // a request that ends whoever runs it is sent no more
	SuspendAwareClock        Guard = "suspension-counts"     // clocks count the time that a machine was suspended
	RelayConfirmed           Guard = "relay-confirmed"       // a replica answers a gateway once the leader has confirmed its question
	RelayReported            Guard = "relay-reported"        // the leader counts the gateways that other replicas answer
	RelayApplied             Guard = "relay-applied"         // a replica answers once it has applied what the leader had
	PublicationTimeFromLog   Guard = "naming-agreed"         // weights are as old as the log tells, not as this replica's knowledge of them
	PublicationAgeMonotonic  Guard = "naming-kept-older"     // a gateway takes no naming to be younger than an earlier leader told
)

// All lists every guard in a fixed order.
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

// Set tells which guards are on. The zero value has all of them on.
type Set struct {
	off Guard
}

// Without returns a set with every guard on but one.
func Without(g Guard) Set { return Set{off: g} }

// On reports whether a guard is in force.
func (s Set) On(g Guard) bool { return s.off != g }
