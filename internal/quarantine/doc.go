// Package quarantine remembers requests under which back ends ended, so that one which ends whoever runs it is held back.
//
// What counts: a life of a back end that ended while it ran the request. A process that sees a run break off keeps the run until there is
// proof that the life ended: its address refuses connections, or control names another life there. A cut, a reset connection, a failure of a
// back end that lives on, a planned stop and a timeout of our own are no proof and count for nothing.
//
// Who counts: control's Ledger, replicated, so that one count is the whole fleet's and outlives every process. Lives are a set: telling of one
// twice changes nothing, and order doesn't matter. Processes are told of every request with Suspected lives or more, and add what they saw
// themselves; from Held lives on, a request is refused before it is sent.
//
// Who is innocent: a request that some back end has run to a good end is no culprit. Whoever sees one says so, and the count begins anew. What
// ended well a moment ago isn't counted at all: a request that many callers send at once runs on several back ends when these end together.
//
// Ledger and Record have no I/O, no lock and no clock: callers pass the time, which counts the time a machine was suspended, and serialize
// their calls. Package reporter is the thread of one process that asks for proof and tells control.
package quarantine
