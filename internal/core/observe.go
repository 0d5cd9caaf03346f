package core

import (
	"slices"
	"time"

	"kitetiller/internal/guard"
	"kitetiller/internal/prefix"
	"kitetiller/internal/settings"
)

// snapshotRetryInterval is how long to wait for a cache snapshot before requesting it again.
const snapshotRetryInterval = 2 * time.Second

// observe applies one event to the tables.
func (c *Core) observe(event Event) {
	switch e := event.(type) {
	case EventRequest:
		c.observeRequest(e.Request)
	case EventCallerGone:
		c.observeCallerGone(e.ID)
	case EventQuarantined:
		c.observeQuarantined(e.ID)
	case EventClaim:
		c.observeClaim(e)
	case EventAttempt:
		c.observeAttempt(e)
	case EventPushback:
		c.observePushback(e)
	case EventBackendPoll:
		c.observeBackendPoll(e)
	case EventCacheSnapshot:
		c.observeSnapshot(e)
	case EventMachineList:
		c.observeMachineList(e)
	case EventSettings:
		c.observeSettings(e)
	case EventLease:
		c.epoch = e.Epoch
		c.leaseEnd = max(c.leaseEnd, e.Until)
		c.hadLease = c.hadLease || e.Until > c.now
	case EventVault:
		c.observeVault(e)
	case EventPeerDispatches:
		c.observePeerDispatches(e)
	case EventPeerRouters:
		c.observePeerRouters(e)
	case EventDrain:
		c.draining = true
	}
}

func (c *Core) observeSettings(event EventSettings) {
	if c.hasSettings && event.Version < c.settingsVersion && c.config.Guards.On(guard.SettingsMonotonic) {
		return
	}
	c.tree, c.settingsVersion, c.hasSettings = event.Tree, event.Version, true
	c.resolvedSettings = map[tenantKey]settings.Values{}
	for i := range c.backends {
		row := &c.backends[i]
		values := c.effectiveSettings(row.machine.Service, "")
		row.kind = values.Kind
		row.setMaxConcurrency(float64(values.EngineConcurrency))
	}
}

func (c *Core) observeVault(event EventVault) {
	for _, hash := range event.Blocks {
		if event.Held {
			c.vaultBlocks[hash] = true
		} else {
			delete(c.vaultBlocks, hash)
		}
	}
}

// observePeerDispatches records prefill dispatched by other routers that no load report includes yet.
func (c *Core) observePeerDispatches(event EventPeerDispatches) {
	for _, dispatched := range event.Sends {
		id, found := c.backendIDs[dispatched.Backend]
		if !found {
			continue
		}
		row := &c.backends[id]
		row.peerPrefill = append(row.peerPrefill, pendingPrefill{sentAt: c.now - dispatched.Age, tokens: dispatched.Tokens, lane: dispatched.Lane})
	}
}

func (c *Core) observeMachineList(event EventMachineList) {
	c.membershipDirty = true
	c.listRequestedAt = max(c.listRequestedAt, event.RequestedAt)
	for i := range c.backends {
		c.backends[i].listed = false
	}
	for _, machine := range event.Machines {
		row := c.backendRow(machine)
		if row.machine.Address != machine.Address {
			row.state = BackendJoining
		}
		row.machine = machine
		row.listed = true
	}
}

// backendRow returns the row of a machine, creating it on first use.
func (c *Core) backendRow(machine Machine) *backend {
	if id, found := c.backendIDs[machine.Name]; found {
		return &c.backends[id]
	}
	id := prefix.EngineID(len(c.backends))
	values := c.effectiveSettings(machine.Service, "")
	c.backends = append(c.backends, backend{
		id: id, machine: machine, kind: values.Kind, lastSeenAt: c.now,
		concurrencyLimit: float64(values.EngineConcurrency), maxConcurrency: float64(values.EngineConcurrency), latencyBias: 1,
	})
	c.backendIDs[machine.Name] = id
	service := c.service(machine.Service)
	service.backends = append(service.backends, id)
	service.ringStale, service.softwareStale = true, true
	return &c.backends[id]
}

func (c *Core) observeBackendPoll(event EventBackendPoll) {
	id, found := c.backendIDs[event.Name]
	if !found {
		return
	}
	c.membershipDirty = true
	row := &c.backends[id]
	if event.Report == nil {
		c.recordConnectionFailure(row)
		return
	}
	report := event.Report
	c.updateIncarnation(row, report)
	row.lastSeenAt = max(row.lastSeenAt, event.RequestedAt)
	row.consecutiveFailures = 0
	row.loading = report.Loading
	row.leaving = report.Leaving
	row.load = report.Load
	row.loadMeasuredAt = c.now - report.Load.Age
	row.peerPrefill = slices.DeleteFunc(row.peerPrefill, func(sent pendingPrefill) bool { return sent.sentAt < row.loadMeasuredAt })
	c.index.SetMaxAge(id, report.Load.EvictionAge)
	c.applyCacheEvents(row, report)
}

// updateIncarnation handles a new incarnation or new weights: cached blocks of the earlier one are forgotten, and
// attempts on an earlier incarnation fail.
func (c *Core) updateIncarnation(row *backend, report *BackendReport) {
	if report.Incarnation == row.incarnation && report.Weights == row.weights {
		return
	}
	restarted := report.Incarnation != row.incarnation
	row.incarnation, row.weights, row.software = report.Incarnation, report.Weights, report.Software
	c.service(row.machine.Service).softwareStale = true
	if c.config.Guards.On(guard.IncarnationCheck) {
		c.index.InvalidateEngine(row.id)
	}
	if restarted {
		c.failAttemptsOn(row, allRequests)
		row.pendingPrefill = row.pendingPrefill[:0]
		row.latencyBias = 1
	}
	row.nextSequence = 0
}

// applyCacheEvents applies cache events in sequence. A gap marks the engine's index entries stale and requests a
// snapshot.
func (c *Core) applyCacheEvents(row *backend, report *BackendReport) {
	for _, event := range report.Events {
		if event.Sequence < row.nextSequence {
			continue
		}
		if event.Sequence > row.nextSequence {
			c.recordCacheEventGap(row)
		}
		row.nextSequence = event.Sequence + 1
		c.index.Add(row.id, event.Stored, c.now, prefix.SourceEvent)
		c.index.Remove(row.id, event.Evicted)
	}
	if report.NextSequence > row.nextSequence {
		c.recordCacheEventGap(row)
		row.nextSequence = report.NextSequence
	}
}

func (c *Core) recordCacheEventGap(row *backend) {
	if row.needsSnapshot {
		return
	}
	c.counters.CacheEventGaps++
	c.index.MarkStale(row.id, c.now)
	row.needsSnapshot = true
	row.snapshotRequestedAt = -snapshotRetryInterval
	c.snapshotsWanted = append(c.snapshotsWanted, row.id)
}

func (c *Core) observeSnapshot(event EventCacheSnapshot) {
	id, found := c.backendIDs[event.Name]
	if !found {
		return
	}
	row := &c.backends[id]
	if event.Incarnation != row.incarnation {
		return
	}
	c.counters.Snapshots++
	row.needsSnapshot = false
	row.nextSequence = max(row.nextSequence, event.Sequence)
	c.index.InvalidateEngine(id)
	c.index.Add(id, event.Blocks, c.now, prefix.SourceSnapshot)
}

// observeQuarantined refuses a quarantined request without a running attempt.
func (c *Core) observeQuarantined(id RequestID) {
	r, found := c.requests[id]
	if !found || len(r.attempts) > 0 {
		return
	}
	reason := ReasonQuarantined
	if r.possibleRuns > 0 {
		reason = ReasonRunUnknown // an earlier attempt may have run
	}
	c.refuse(r, reason, 0)
}
