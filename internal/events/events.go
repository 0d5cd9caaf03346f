// Package events defines the log events of gateways and control replicas. Log lines are JSON, with the event in the
// field msg. A test checks that docs/LOGS.md lists all events and shared fields.
package events

// Events of gateways.
const (
	GatewayStarted           = "gateway started"
	GatewayServing           = "gateway serving" // the first request was answered
	GatewayStopping          = "gateway stopping"
	GatewayStopped           = "gateway stopped"
	DocumentApplied          = "document taken"
	SharingEpochBegan        = "shared prompts withdrawn" // a tenant became isolated: nothing cached before is shared any more
	RosterApplied            = "roster taken"
	ControlAnnounced         = "control group announced"
	InstanceJoined           = "instance joined"
	InstanceLeaving          = "instance leaving"
	InstanceGone             = "instance gone"
	SoftwareDisputed         = "instance software disputed" // heartbeats of one incarnation name several software versions
	InstanceBackoffRequested = "instance asks for rest"     // by a response of the instance
	// InstanceLimitAdvertised and InstanceLimitWithdrawn report changes of the rate limit that a backend advertises
	// for the requests of all gateways together.
	InstanceLimitAdvertised  = "instance names limit"
	InstanceLimitWithdrawn   = "instance names no limit"
	UnknownBackendHeader     = "unknown word of back end" // a response header that the gateway doesn't know
	WeightsDiscovered        = "weights learnt"
	WeightsMismatch          = "other weights answered" // other weights than expected, or outdated ones
	PublicationAgeRegression = "naming told younger"    // control reports a later publication time than before
	CacheReadFailed          = "cache not read"
	StoreReadFailed          = "store not read"
	StoreListed              = "store listed"
	SchedulerTimeout         = "scheduler silent" // a scheduler did not answer a placement request in time
	ControlDisconnected      = "control lost"
	ControlReconnected       = "control regained"
	AttemptFailed            = "attempt failed"
	PathLost                 = "path lost"      // a back end is reached through another gateway only
	PathRestored             = "path regained"  // it is reached directly again
	PathsLost                = "all paths lost" // no back end answers directly, but other gateways get answers
	PathsRestored            = "all paths regained"
	BackendCrashed           = "back end ended under requests" // requests were aborted; the end of their backend is verified
	CrashNotReported         = "ended back end not told"       // the queue of reports to control is full
	StreamContinued          = "stream continued"              // at the engine that keeps a copy of its run
	StreamNotContinued       = "stream not continued"
	ServiceCongested         = "service congested" // most of its back ends answer late, so requests are limited
	ServiceRelieved          = "service no longer congested"
	StreamTakenUp            = "stream taken up" // a router's client goes on with a stream that an earlier request began
	RequestAnswered          = "request answered"
	RequestRejected          = "request refused"
	LogLinesDropped          = "log lines dropped"
)

// Events of control replicas.
const (
	ReplicaStarted    = "control replica started"
	ReplicaStopped    = "control replica stopped"
	GroupCreated      = "control group founded"
	GroupJoined       = "control group joined"
	LeadershipWon     = "leadership won"
	LevelRaised       = "level raised"
	LeaderKnown       = "leader known" // this replica follows a leader, or leads, for the first time since its start
	LeadershipLost    = "leadership lost"
	FirstStateDurable = "first state on disk" // of a replica whose data folder was empty at its start
	// MemberAdded, MemberPromoted and MemberRemoved report changes of the group's members that have committed.
	MemberAdded         = "control member added"
	MemberPromoted      = "control member promoted"
	MemberRemoved       = "control member removed"
	LossesBorneChanged  = "losses borne changed" // how many voters may lose their disks now
	CheckpointPostponed = "checkpoint postponed" // it did not fit on the disk; the log goes on
	StorageSlow         = "data folder slow"     // a sync took long; elections wait longer
	LeaseChanged        = "lease length changed" // this leader asks voters for another time in which they reject votes
	ElectionUndecided   = "election undecided"   // this replica stood for election, and nobody won in time
	StorageFailed       = "data folder failed"   // it is opened again after a pause
	StorageRecovered    = "data folder usable again"
	CheckpointWritten   = "checkpoint written" // a snapshot and the entries after it replaced the log on disk
	RelayUnavailable    = "leader gives no answers for gateways"
	RelayAvailable      = "leader answers for gateways again"
	ChangeRejected      = "change refused" // there is no room for it, now or ever
	DocumentAccepted    = "document accepted"
	DocumentRejected    = "document refused"
	// RegistrationRejected reports a heartbeat that can't be parsed completely and is not used.
	RegistrationRejected = "registration refused"
	// DeregistrationContested and InstanceReinstated report a deregistration that may have come from an earlier
	// incarnation, and that it did.
	DeregistrationContested = "deregistration contested"
	InstanceReinstated      = "instance reinstated"
	WeightsPublished        = "weights named"
	WeightsCallFinished     = "weights call"
	LimitReached            = "limit reached"     // a fleet-wide limit rejects requests
	LimitCleared            = "limit left"        // the limit has rejected no requests for some time
	RequestQuarantined      = "request held back" // it crashed too many backends; gateways no longer send it
	RequestReleased         = "request released"  // its quarantine ended
	SettingsReloaded        = "settings reloaded"
	SettingsReloadFailed    = "settings not reloaded"
)

// IsRoutine reports whether an event is logged for every successful request. Routine events are dropped first when
// the log can't be written fast enough.
func IsRoutine(event string) bool { return event == RequestAnswered }

// Names of log fields that several events share.
const (
	FieldRequest            = "request"  // request id of the client
	FieldInstance           = "instance" // incarnation of a backend
	FieldSoftware           = "software" // software version of a backend, or of the one that began a stream
	FieldReason             = "reason"
	FieldRevision           = "revision" // of the routing document that applied
	FieldRoute              = "route"
	FieldStatus             = "status"
	FieldAddress            = "address" // of a backend
	FieldPeer               = "peer"    // gateway that carries connections to a backend
	FieldAttempts           = "sent"    // number of backends that the request was sent to so far
	FieldElapsed            = "took"    // time since the request arrived
	FieldCause              = "cause"
	FieldDisabledMechanisms = "without" // mechanisms that are disabled in this process
	// FieldPredictedWait is the predicted time until the request starts, in milliseconds, and FieldUncachedTokens the
	// predicted number of prompt tokens to prefill, both at placement. FieldCacheSource is where cached parts are
	// loaded from, and FieldScheduled reports whether another gateway placed the request.
	FieldPredictedWait  = "predicted"
	FieldUncachedTokens = "uncached"
	// FieldQueueWait is the part of FieldPredictedWait before the prefill starts and FieldPredictedPause the longest pause
	// of the streams at the engine, both in milliseconds; FieldSlowness is the factor by which the engine is taken to be
	// slower than its service. All are set for latency-critical services only.
	FieldQueueWait      = "queued"
	FieldPredictedPause = "pause_predicted"
	FieldSlowness       = "slowness"
	// FieldRecomputedTokens is how many of the uncached tokens belong to shared parts, and FieldRecomputeReason why
	// no cached copy of these is used.
	FieldRecomputedTokens = "reread"
	FieldRecomputeReason  = "reread_why"
	FieldCacheSource      = "from"
	// FieldCopySource is the kind of that source, and FieldStoreGap why the store is not it, for services that use the
	// store index.
	FieldCopySource = "copied"
	FieldStoreGap   = "store_gap"
	FieldScheduled  = "scheduled"
	// FieldRejectionCause is why admission rejected a request to a latency-critical service, FieldReturn what a
	// returning request had, and FieldHasPlace whether its retry time is that of a place.
	FieldRejectionCause = "refused_for"
	FieldReturn         = "returned"
	FieldHasPlace       = "place"
	FieldResource       = "resource" // limited resource: "tenant/NAME" or "repeats/SERVICE"
	// FieldFingerprint identifies a request across retries.
	FieldFingerprint  = "fingerprint"
	FieldPart         = "part"  // true if it identifies a part of prompts
	FieldIncarnations = "lives" // of backends that crashed during a request
	// FieldOutdatedFor is the age of the oldest publication that the weights lack, as reported by control.
	// FieldStartDeadline is the time left until no request may start on these weights, negative after that, and
	// FieldPlacementDeadline the same by the limit that was known at placement.
	FieldOutdatedFor       = "lacked"
	FieldStartDeadline     = "limit_left"
	FieldPlacementDeadline = "limit_chosen"
	FieldObjectiveMissed   = "late" // true if the response missed the route's objective
	// FieldBackoff is the backoff that a backend asked for, and FieldBackoffLeft how much of it was left, both in
	// seconds. FieldBackoffLeftAtSend is what was left when a request was sent nevertheless, and FieldUnparsedValue a
	// value that could not be parsed, as received.
	FieldBackoff           = "rest"
	FieldBackoffLeft       = "rest_left"
	FieldBackoffLeftAtSend = "sent_at_rest"
	FieldUnparsedValue     = "unread"
	// FieldResumes is the request that brought the first event of a stream that its caller takes up, FieldOriginSoftware the
	// software version at which that stream began, FieldOriginSource who knew it, and FieldOriginTook how long the search
	// took.
	FieldResumes        = "resumes"
	FieldOriginSoftware = "began_at"
	FieldOriginSource   = "origin"
	FieldOriginTook     = "origin_took"
	// FieldCopyAt is the engine that was asked to keep a copy of the run, FieldContinued how often the stream went on
	// from its copy, and FieldNotContinued why it did not.
	FieldCopyAt       = "copy_at"
	FieldContinued    = "continued"
	FieldNotContinued = "not_continued"
	// FieldSlotSource is where the latest slot of a small service was asked for: a scheduler's address, "self" for the
	// gateway's own queue, or "share" for its equal part of the slots. FieldSlotWait is how long the request waited there.
	FieldSlotSource = "slot_from"
	FieldSlotWait   = "slot_wait"
	// FieldAdvertisedLimit is the limit that a backend advertises, in requests per second.
	FieldAdvertisedLimit = "limit"
)
