package core

import (
	"time"

	"kitetiller/internal/guard"
	"kitetiller/internal/streamorigin"
)

// admitsSoftware reports whether a back end has the software version that a request's stream needs.
func (c *Core) admitsSoftware(r *request, row *backend) bool {
	return r.software.Admits(streamorigin.Known(row.software)) || !c.config.Guards.On(guard.SameSoftware)
}

// softwareOfRun returns the software version of the incarnation that runs an attempt, as stated at its start. It is not
// known if the back end has restarted and has not been polled since.
func (c *Core) softwareOfRun(sent *attempt, incarnation uint64) streamorigin.SoftwareVersion {
	if incarnation == 0 || incarnation == sent.incarnation {
		return sent.software
	}
	if row := &c.backends[sent.backend]; row.incarnation == incarnation {
		return streamorigin.Known(row.software)
	}
	return streamorigin.SoftwareVersion{}
}

// bindSoftware records at which software version the request's stream begins, with the first token of its answer. It
// returns false if an attempt would go on with a stream that began at another version. An attempt that began a stream at an
// unknown version goes on itself, but no other one does.
func (c *Core) bindSoftware(r *request, sent *attempt) bool {
	if !r.software.Binds() {
		r.software = streamorigin.SameAs(sent.software)
	}
	mixes := r.software.Satisfiable() && !r.software.Admits(sent.software)
	if mixes && c.config.Guards.On(guard.SameSoftware) {
		return false
	}
	if r.emitted == r.ResumeFrom {
		service := c.service(r.Service)
		_, sole := service.software.Sole(c.now, MaxStreamAge+recordMargin)
		c.emit(ActionRecordOrigin{ID: r.ID, Software: r.software.Version(), Replicate: !sole})
	}
	return true
}

const (
	// MaxStreamAge is for how long a client may go on with a stream that broke off. Clients don't state it. Within it a record
	// of the stream, or the proof that there was one software version only, tells where it began.
	MaxStreamAge = 5 * time.Minute
	// recordMargin is how much longer other routers may notice that a software version has gone.
	recordMargin = 15 * time.Second
)

// bindOrigin binds a request that goes on with a stream to the software version that began it. It returns false if that is
// not known, and not the only one that any back end has had while the stream may have existed.
func (c *Core) bindOrigin(r *request) bool {
	if r.ResumeFrom == 0 || !c.config.Guards.On(guard.OriginKnown) {
		return true
	}
	origin := r.Origin
	if !origin.IsKnown() && !origin.Disputed() {
		origin, _ = c.service(r.Service).software.Sole(c.now, MaxStreamAge)
	}
	r.software = streamorigin.SameAs(origin)
	return origin.IsKnown()
}

// observeSoftwareVersions records the software versions of the services whose back ends have changed.
func (c *Core) observeSoftwareVersions() {
	for _, service := range c.services {
		if !service.softwareStale {
			continue
		}
		service.softwareStale = false
		if service.software == nil {
			service.software = streamorigin.NewHistory(c.now)
		}
		present := map[streamorigin.SoftwareVersion]bool{}
		for _, id := range service.backends {
			row := &c.backends[id]
			switch {
			case row.incarnation != 0:
				present[streamorigin.Known(row.software)] = true
			case row.state != BackendDead:
				present[streamorigin.SoftwareVersion{}] = true // it has not been polled yet
			}
		}
		service.software.Observe(c.now, present)
	}
}

// awaitSoftware handles a request whose stream goes on only at back ends of one software version, and reports whether it
// has left the queue: it is refused if none of them is ready, and waits aside if they are busy, since other requests
// behind it may be placed meanwhile.
func (c *Core) awaitSoftware(r *request, service *serviceState) bool {
	ready, excluded := false, false
	for _, id := range service.backends {
		row := &c.backends[id]
		switch {
		case !c.isReady(row):
		case c.admitsSoftware(r, row):
			ready = true
		default:
			excluded = true
		}
	}
	if !excluded {
		return false // the software version excludes none, so this is a request like any other
	}
	service.remove(r)
	if !ready {
		r.state = stateRunning
		c.refuse(r, ReasonOtherSoftware, 0)
		return true
	}
	r.failedOn = nil // a started stream may return to an engine on which it failed
	r.state, r.retryAt = stateBackoff, c.now+baseRetryDelay
	c.wakeAt(r, r.retryAt)
	return true
}
