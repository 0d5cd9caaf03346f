// Package quarantine tracks requests under which back ends crashed, so that a request that crashes any back end that
// runs it is quarantined, and so are requests with a part of their prompts that does.
//
// What counts: an incarnation of a back end that ended while it ran the request. A process that sees a run fail
// records it until the end of the incarnation is confirmed: its address refuses connections, from peers too, or the
// control plane lists another incarnation there. A dropped or reset connection, a failure of a back end that stays up,
// a planned stop and a timeout on our side confirm nothing and don't count.
//
// Who counts: the control plane's Registry, which is replicated, so that the count covers the whole fleet and
// survives every process. Incarnations form a set: reporting one twice changes nothing, and the order is irrelevant.
// Processes receive every request with SuspectThreshold crashes or more and add the crashes they saw themselves. From
// QuarantineThreshold on, a request is refused before it is sent.
//
// What clears a request: a run that completed. The process that sees it reports the completion, and the count
// restarts. Crashes shortly after a completion don't count at all: a request that many callers send at once runs on
// several back ends when these crash together for another reason.
//
// Parts of prompts that requests share are counted by the same rules, whichever requests hold them. Each crash counts
// against all parts of the requests that ran there, the innocent included; judgeParts tells which of them matter.
//
// Registry and Tracker use no I/O, locks or clock: callers serialize their calls and pass the time, which must
// include the time that the machine was suspended. Package reporter confirms crashes and reports to the control plane
// for one process.
package quarantine
