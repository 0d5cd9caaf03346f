// Package events names the log lines that tell what a gateway or a control replica decided, or came to believe. Lines are
// JSON; the name stands in the field msg. docs/LOGS.md lists every name, and a test holds the two together.
package events

// Events of a gateway.
const (
	GatewayStarted           = "gateway started"
	GatewayStopping          = "gateway stopping"
	GatewayStopped           = "gateway stopped"
	DocumentApplied          = "document taken"
	RosterApplied            = "roster taken"
	InstanceJoined           = "instance joined"
	InstanceLeaving          = "instance leaving"
	InstanceGone             = "instance gone"
	InstanceBackoffRequested = "instance asks for rest" // in an answer
	// InstanceLimitAdvertised and InstanceUnlimited tell of the requests a second that a back end takes from all, once a change.
	InstanceLimitAdvertised  = "instance names limit"
	InstanceLimitWithdrawn   = "instance names no limit"
	UnknownBackendHeader     = "unknown word of back end" // a header of its own that nothing reads
	WeightsDiscovered        = "weights learnt"
	WeightsMismatch          = "other weights answered" // than were expected or believed, or older ones than were named
	PublicationAgeRegression = "naming told younger"    // control tells that a version was named later than known
	CacheReadFailed          = "cache not read"
	SchedulerTimeout         = "scheduler silent" // a scheduler did not answer a question for a placement in time
	ControlDisconnected      = "control lost"
	ControlReconnected       = "control regained"
	AttemptFailed            = "attempt failed"
	BackendCrashed           = "back end ended under requests" // runs broke off there, and its end is proved
	CrashNotReported         = "ended back end not told"       // too many wait for control
	RequestAnswered          = "request answered"
	RequestRejected          = "request refused"
	LogLinesDropped          = "log lines dropped"
)

// Events of a control replica.
const (
	ReplicaStarted   = "control replica started"
	ReplicaStopped   = "control replica stopped"
	GroupCreated     = "control group founded"
	GroupJoined      = "control group joined"
	LeadershipWon    = "leadership won"
	LevelRaised      = "level raised"
	LeadershipLost   = "leadership lost"
	RelayUnavailable = "leader gives no answers for gateways"
	RelayAvailable   = "leader answers for gateways again"
	DocumentAccepted = "document accepted"
	DocumentRejected = "document refused"
	// RegistrationRejected tells of a heartbeat that can't be read in full: it names no back end to use.
	RegistrationRejected = "registration refused"
	WeightsPublished     = "weights named"
	WeightsCommandSent   = "weights call"
	LimitReached         = "limit reached"     // a limit over the fleet turns requests away
	LimitCleared         = "limit left"        // it has turned none away for a while
	RequestQuarantined   = "request held back" // enough back ends ended under it; no gateway sends it any more
	RequestReleased      = "request released"  // it is held back no longer
	SettingsReloaded     = "settings reloaded"
	SettingsReloadFailed = "settings not reloaded"
)

// IsRoutine reports whether an event is told for each request that went well. Such lines are the first to be dropped when
// the reader of a log does not keep up.
func IsRoutine(event string) bool { return event == RequestAnswered }

// Names of fields that several events share.
const (
	FieldRequest            = "request"  // the caller's request id
	FieldInstance           = "instance" // one life of a back end
	FieldReason             = "reason"
	FieldRevision           = "revision" // of the routing document that decided
	FieldRoute              = "route"
	FieldStatus             = "status"
	FieldAttempts           = "sent" // back ends that got the request so far
	FieldElapsed            = "took" // seconds since the request arrived
	FieldCause              = "cause"
	FieldDisabledMechanisms = "without" // mechanisms that this process was started without
	// FieldPredictedWait is the time until a request begins that its placement expected, in milliseconds; FieldUncached the prompt tokens
	// that were to be read, FieldFrom where cached parts were taken from, FieldScheduled whether another gateway placed it.
	FieldPredictedWait  = "predicted"
	FieldUncachedTokens = "uncached"
	// FieldRecomputedTokens is how many of these tokens are of shared parts, and FieldRereadWhy why nobody's copy of them serves.
	FieldRecomputedTokens = "reread"
	FieldRecomputeReason  = "reread_why"
	FieldCacheSource      = "from"
	FieldScheduled        = "scheduled"
	FieldResource         = "resource" // what is limited: "tenant/NAME", or "repeats/SERVICE"
	// FieldFingerprint names a request by what stays when it comes again.
	FieldFingerprint  = "fingerprint"
	FieldIncarnations = "lives" // of back ends that ended under a request
	// FieldOutdatedFor is how long ago the oldest version was named that weights lack, as control told; FieldLimitLeft the seconds left
	// until nothing may begin on them any more, below 0 once that has passed; FieldLimitChosen the same by the limit that was known
	// when the place was chosen.
	FieldOutdatedFor       = "lacked"
	FieldStartDeadline     = "limit_left"
	FieldPlacementDeadline = "limit_chosen"
	FieldObjectiveMissed   = "late" // true where the answer missed the route's objective
	// FieldBackoff is how long a back end asked for rest, FieldRestLeft how much of that was left, both in seconds; FieldSentAtRest what was
	// left when a request was sent there all the same, and FieldUnread such a wish that can't be read, as it came.
	FieldBackoff           = "rest"
	FieldBackoffLeft       = "rest_left"
	FieldBackoffLeftAtSend = "sent_at_rest"
	FieldUnparsedValue     = "unread"
	// FieldAdvertisedLimit is what a back end had named as its limit, in requests a second.
	FieldAdvertisedLimit = "limit"
)
