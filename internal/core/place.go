package core

import (
	"slices"
	"sort"
	"time"

	"kitetiller/internal/guard"
	"kitetiller/internal/prefix"
	"kitetiller/internal/streamorigin"
)

// ringOwnerDiscount is the cost factor of the ring owner of a prefix that no engine holds. It sends requests with the
// same prefix to the same engine before the prefix index knows of it.
const ringOwnerDiscount = 0.9

// runPlacement dispatches queued requests of all services while engines have capacity.
func (c *Core) runPlacement() {
	if c.awaitsFreshList() {
		return
	}
	for _, name := range c.queuedServices() {
		service := c.services[name]
		for c.placeNext(service) {
		}
	}
}

// queuedServices returns the services with queued requests, sorted to keep ticks deterministic.
func (c *Core) queuedServices() []string {
	var names []string
	for name, service := range c.services {
		if service.queueLength() > 0 {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// placeNext dispatches or refuses the next request of a service. It returns false if the request must wait.
func (c *Core) placeNext(service *serviceState) bool {
	lane, found := service.nextLane()
	if !found {
		return false
	}
	r := service.lanes[lane][0]
	candidates := c.scoreCandidates(r, service)
	c.discountRingOwner(r, service, candidates)
	choice := -1
	if len(candidates) > 0 {
		choice = c.config.Placer.Pick(PlacementContext{Now: c.now, Request: &r.Request, Values: &r.values, Random: c.random}, candidates)
	}
	if choice < 0 {
		return c.handleNoCandidate(r, service)
	}
	chosen := candidates[choice]
	service.dequeue(lane)
	r.state = stateRunning
	if !r.streamStarted() && c.now+chosen.Predicted > r.deadline {
		c.refuse(r, ReasonDeadline, max(shortRetryAfter, c.now+chosen.Predicted-r.deadline))
		return true
	}
	if reason := c.dispatchRefusal(r); reason != "" {
		c.refuse(r, reason, shortRetryAfter)
		return true
	}
	if queued := c.now - r.arrivedAt; queued > 0 && service.queueLength() > 0 {
		service.recordDispatchInterval(queued / time.Duration(service.queueLength()+1))
	}
	c.decisions.record(r, c.now, chosen, candidates, c.settingsVersion)
	c.dispatch(r, chosen)
	return true
}

// discountRingOwner discounts the ring owner if no engine is assumed to hold any of the prefix.
func (c *Core) discountRingOwner(r *request, service *serviceState, candidates []Candidate) {
	if len(c.matches) > 0 || len(r.Chains) == 0 {
		return
	}
	if service.ringStale {
		c.rebuildRing(service)
	}
	owners := c.ringOwners(r, service, 1)
	for i := range candidates {
		if len(owners) > 0 && candidates[i].Engine == owners[0] {
			candidates[i].Cost *= ringOwnerDiscount
		}
	}
}

// handleNoCandidate handles the head of the queue when no engine can take it: it waits if some engine is only busy,
// and is refused otherwise. It returns false if the request must wait.
func (c *Core) handleNoCandidate(r *request, service *serviceState) bool {
	if r.software.Binds() && c.awaitSoftware(r, service) {
		return true
	}
	if blocked, reason := c.allBlockedFor(service); blocked > 0 {
		return c.waitOrRefuse(r, service, blocked, reason)
	}
	for _, id := range service.backends {
		if row := &c.backends[id]; c.isReady(row) && c.blockedFor(row) == 0 && !slices.Contains(r.failedOn, id) {
			return false
		}
	}
	if len(r.failedOn) > 0 && r.streamStarted() {
		r.failedOn = nil // a started stream may return to an engine on which it failed
		return c.anyAvailable(service)
	}
	if c.now < r.arrivedAt+backendWaitTimeout {
		c.wakeAt(r, r.arrivedAt+backendWaitTimeout)
		return false
	}
	service.remove(r)
	r.state = stateRunning
	c.refuse(r, ReasonNoBackend, shortRetryAfter)
	return true
}

// backendWaitTimeout is how long a request waits for a back end to become available.
const backendWaitTimeout = 400 * time.Millisecond

func (c *Core) anyAvailable(service *serviceState) bool {
	for _, id := range service.backends {
		if row := &c.backends[id]; c.isReady(row) && c.blockedFor(row) == 0 {
			return true
		}
	}
	return false
}

// dispatchRefusal checks lease and claim again right before the dispatch, since the process may have been paused after
// admission. It returns the reason for a refusal, or "". Started streams are always completed.
func (c *Core) dispatchRefusal(r *request) Reason {
	switch {
	case r.streamStarted() || !c.config.Guards.On(guard.LeaseAtDispatch):
		return ""
	case r.claimGranted && (r.epoch != c.epoch || !c.LeaseValid()):
		return ReasonLedgerUnavailable // the claim ended with its session
	case !c.mayAdmit():
		return ReasonNoLease
	}
	return ""
}

// dispatch sends an attempt to the chosen engine and adds its prefix to the index right away.
func (c *Core) dispatch(r *request, chosen Candidate) {
	row := &c.backends[chosen.Engine]
	c.lastAttemptID++
	c.counters.Attempts++
	blocks := chainFor(r, row)
	sent := attempt{
		id: c.lastAttemptID, backend: row.id, incarnation: row.incarnation, sentAt: c.now,
		predicted: chosen.unbiased, resumeFrom: r.emitted, uncached: chosen.Uncached, software: streamorigin.Known(row.software),
	}
	sent.wait = c.service(r.Service).congestion.Begin(c.now, row.machine.Name, len(c.service(r.Service).backends), c.giveUpAt(r)-r.arrivedAt, c.giveUpAt(r)-c.now)
	r.attempts = append(r.attempts, sent)
	r.attemptCount++
	r.possibleRuns++
	if r.attemptCount == 1 {
		c.creditRetryBudget(r)
	}
	row.running++
	c.takeRateToken(row)
	row.pendingPrefill = append(row.pendingPrefill, pendingPrefill{attempt: sent.id, sentAt: c.now, tokens: chosen.Uncached, lane: r.Lane})
	action := ActionDispatch{
		ID: r.ID, Attempt: sent.id, Backend: row.machine.Name, Address: row.machine.Address,
		Incarnation: row.incarnation, Weights: row.weights, Blocks: blocks, ExpectedCachedTokens: chosen.Cached, PrefillTokens: chosen.Uncached,
		ResumeFrom: r.emitted, Lane: r.Lane, MaxTokens: min(r.MaxTokens, r.values.MaxOutputTokens),
		ImportFrom: chosen.ImportFrom, ImportBlocks: chosen.ImportBlocks, SettingsVersion: c.settingsVersion,
	}
	c.trackHotPrefix(r, blocks, &action)
	c.emit(action)
	if len(blocks) > 0 {
		c.index.Add(row.id, blocks, c.now, prefix.SourceDispatch)
	}
	c.wakeAt(r, c.giveUpAt(r))
	if r.values.HedgeAfterMS > 0 && !r.hedged && r.values.Repeatable {
		c.wakeAt(r, c.now+time.Duration(r.values.HedgeAfterMS)*time.Millisecond)
	}
}

// trackHotPrefix counts a use of the shared prefix and requests its storage in the vault if it is hot.
func (c *Core) trackHotPrefix(r *request, blocks []prefix.Hash, action *ActionDispatch) {
	if len(c.matches) == 0 || len(blocks) == 0 {
		return
	}
	shared := min(c.matches[0].Blocks, len(blocks))
	rate := c.hotPrefixes.Record(blocks[shared-1], c.now)
	if rate < r.values.HotRequestsPerMinute || !r.values.VaultKeep || c.config.Vault == "" {
		return
	}
	if !c.vaultBlocks[blocks[shared-1]] {
		action.StoreInVault, action.VaultBlocks = true, shared
	}
}
