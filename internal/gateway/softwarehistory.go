package gateway

import (
	"slices"
	"time"

	"kitetiller/internal/control"
	"kitetiller/internal/streamorigin"
)

const (
	// defaultMinStreamAge is the least age that a stream may reach over all its caller's requests. Streams of a service reach
	// streamAgeFactor times the longest timeout of its routes, since a caller may allow more than one request takes.
	defaultMinStreamAge = 30 * time.Second
	streamAgeFactor     = 2
	// recordMargin is how much longer than that records are sent after a software version has gone, since other gateways
	// may see it go later.
	recordMargin = 5 * time.Second
)

// streamAge returns how old a stream of a service may become. The caller holds the mutex.
func (t *table) streamAge(now time.Duration, service string) time.Duration {
	age := t.minStreamAge
	if current := t.currentViewOrNil(); current != nil {
		age = max(age, streamAgeFactor*current.streamTimeouts[service])
	}
	if known := t.streamAges[service]; now < known.until {
		age = max(age, known.age)
	}
	return age
}

// knownAge is how old streams of a service may become of which a gateway knows more than its view says, while one of them may
// still be taken up.
type knownAge struct {
	age, until time.Duration
}

// keepAge records that a stream of a service which has begun by now may become so old. The caller holds the mutex.
func (t *table) keepAge(now time.Duration, service string, age time.Duration) {
	known := t.streamAges[service]
	if now >= known.until {
		known = knownAge{}
	}
	t.streamAges[service] = knownAge{age: max(known.age, age), until: max(known.until, now+age)}
}

// keepTimeouts keeps the timeouts of a view that is replaced. The caller holds the mutex.
func (t *table) keepTimeouts(now time.Duration, replaced *view) {
	for service, timeout := range replaced.streamTimeouts {
		t.keepAge(now, service, streamAgeFactor*timeout)
	}
}

// recordCallerWait records how long the caller of a stream waits, which may be longer than the timeouts of routes say.
func (t *table) recordCallerWait(now time.Duration, service string, wait time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.keepAge(now, service, min(wait, streamorigin.MaxTTL))
}

func (t *table) currentViewOrNil() *view {
	if t.currentView == nil {
		return nil
	}
	return t.currentView()
}

// recordMoves records that requests go to services that went to others before: streams that began at those may be taken up
// here. The caller holds the mutex.
func (t *table) recordMoves(now time.Duration, moved map[string][]string) {
	for service, earlier := range moved {
		t.movedAt[service] = now
		for _, from := range earlier {
			t.keepAge(now, service, t.streamAge(now, from))
		}
	}
}

// movedWithin reports whether requests of other services began to go to a service within a period. The caller holds the
// mutex.
func (t *table) movedWithin(now time.Duration, service string, period time.Duration) bool {
	at, moved := t.movedAt[service]
	return moved && at > now-period
}

// sole returns the software version at which all streams of a period began that may be taken up at a service, if there is
// one. The caller holds the mutex.
func (t *table) sole(now time.Duration, service string, period time.Duration) (streamorigin.SoftwareVersion, bool) {
	version, sole := t.software[service].Sole(now, period)
	return version, sole && !t.movedWithin(now, service, period)
}

// soleSoftware returns the software version that all back ends of a service have had for as long as any stream may be old.
func (t *table) soleSoftware(now time.Duration, service string) (streamorigin.SoftwareVersion, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.sole(now, service, t.streamAge(now, service))
}

// vouchSoftware returns the software version that all back ends of a service have had for as long as any stream may be old,
// up to the latest confirmation of the roster.
func (t *table) vouchSoftware(now time.Duration, service string) (streamorigin.Vouch, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	version, sole := t.sole(now, service, t.streamAge(now, service))
	return streamorigin.Vouch{Software: version, Age: now - t.rosterConfirmedAt}, sole
}

// vouchedSoftware returns the software version that all back ends of a service have had for as long as any stream may be
// old, by what this gateway has observed and what others, asked at a time, vouch for before. One of them must have had
// its roster confirmed since this gateway's observation began, or back ends in between were seen by neither.
func (t *table) vouchedSoftware(now, askedAt time.Duration, service string, vouched []streamorigin.Vouch) (streamorigin.SoftwareVersion, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	history := t.software[service]
	version, sole := history.Current(now, t.streamAge(now, service))
	if !sole || t.movedWithin(now, service, t.streamAge(now, service)) || slices.ContainsFunc(vouched, func(v streamorigin.Vouch) bool { return v.Software != version }) {
		return streamorigin.SoftwareVersion{}, false
	}
	seamless := slices.ContainsFunc(vouched, func(v streamorigin.Vouch) bool { return history.ObservedSince(askedAt - v.Age) })
	return version, seamless
}

// needsRecords reports whether other gateways need records of a service's streams.
func (t *table) needsRecords(now time.Duration, service string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	_, sole := t.sole(now, service, t.streamAge(now, service)+recordMargin)
	return !sole
}

// observeSoftware records the software versions of a new roster. The caller holds the mutex.
func (t *table) observeSoftware(now time.Duration) {
	versions := map[string]map[streamorigin.SoftwareVersion]bool{}
	for service := range t.software {
		versions[service] = map[streamorigin.SoftwareVersion]bool{}
	}
	for service, rows := range t.services {
		versions[service] = map[streamorigin.SoftwareVersion]bool{}
		for _, row := range rows {
			versions[service][row.software] = true
		}
	}
	for service, present := range versions {
		if t.software[service] == nil {
			t.software[service] = streamorigin.NewHistory(t.softwareSince)
		}
		t.software[service].Observe(now, present)
	}
}

// mayHaveMissed reports whether back ends may have come and gone that an update of the roster does not name: a full one names
// none that have left since the last. Others name them, so back ends that this gateway never knew show that there were
// some. The caller holds the mutex.
func (t *table) mayHaveMissed(update *control.RosterUpdate) bool {
	return update.Full || !t.rosterHeld || slices.ContainsFunc(update.Removed, func(id string) bool { return t.rows[id] == nil })
}

// interruptSoftware records that changes of the roster before a time may have been missed. The caller holds the mutex.
func (t *table) interruptSoftware(at time.Duration) {
	t.softwareSince = at
	for _, history := range t.software {
		history.Interrupt(at)
	}
}

// servicesWithRecords returns the services whose streams need records.
func (t *table) servicesWithRecords(now time.Duration) map[string]bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	needed := map[string]bool{}
	for service := range t.software {
		if _, sole := t.sole(now, service, t.streamAge(now, service)+recordMargin); !sole {
			needed[service] = true
		}
	}
	return needed
}

// sendEarlierRecords sends the records of streams that began before a service needed records.
func (g *Gateway) sendEarlierRecords(before map[string]bool) {
	for service := range g.table.servicesWithRecords(g.now()) {
		if !before[service] {
			g.streams.ReplicateOwn(service)
		}
	}
}
