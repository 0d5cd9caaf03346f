package catalog

import (
	"slices"
	"strconv"
	"strings"
)

// Incarnation is one run of a backend, from start to end. Backends that choose a new name at each start report no start
// time; the others report when they were started.
type Incarnation struct {
	Name      string // reported by the backend; a later incarnation may reuse it
	StartedMS int64  // start in Unix milliseconds by the backend's clock; 0 if not reported
}

const (
	startTimeSeparator = "@"
	decimal            = 10
	int64Bits          = 64
)

// ID returns the unique name of this incarnation, used as Instance.ID.
func (i Incarnation) ID() string {
	if i.StartedMS == 0 && !strings.Contains(i.Name, startTimeSeparator) {
		return i.Name
	}
	return i.Name + startTimeSeparator + strconv.FormatInt(i.StartedMS, decimal)
}

// ParseInstanceID returns the incarnation with the given id.
func ParseInstanceID(id string) Incarnation {
	separator := strings.LastIndex(id, startTimeSeparator)
	if separator < 0 {
		return Incarnation{Name: id}
	}
	startedMS, err := strconv.ParseInt(id[separator+len(startTimeSeparator):], decimal, int64Bits)
	if err != nil {
		return Incarnation{Name: id}
	}
	return Incarnation{Name: id[:separator], StartedMS: startedMS}
}

// StartedBefore reports whether both incarnations have a start time and this one started earlier.
func (i Incarnation) StartedBefore(other Incarnation) bool {
	return i.StartedMS > 0 && i.StartedMS < other.StartedMS
}

// incarnations tracks the incarnations that have a start time, to find out which one of a backend is the latest.
type incarnations struct {
	registered    map[string]string  // by name: id of the registered incarnation
	departed      map[string][]int64 // by name: start times of the remembered departed incarnations; no empty slices
	withStartTime map[string]int     // by service: number of registered incarnations; no zero entries
}

func newIncarnations() incarnations {
	return incarnations{registered: map[string]string{}, departed: map[string][]int64{}, withStartTime: map[string]int{}}
}

// add records a registered instance.
func (l *incarnations) add(instance Instance) {
	if incarnation := ParseInstanceID(instance.ID); incarnation.StartedMS > 0 {
		l.registered[incarnation.Name] = instance.ID
		l.withStartTime[instance.Service]++
	}
}

// remove removes an instance that is no longer registered.
func (l *incarnations) remove(instance Instance) {
	incarnation := ParseInstanceID(instance.ID)
	if incarnation.StartedMS == 0 {
		return
	}
	if l.registered[incarnation.Name] == instance.ID {
		delete(l.registered, incarnation.Name)
	}
	if l.withStartTime[instance.Service]--; l.withStartTime[instance.Service] == 0 {
		delete(l.withStartTime, instance.Service)
	}
}

// recordDeparted records that an incarnation departed; forgetDeparted reverts this. Departures are stored one by one,
// so that a replica restored from a snapshot holds the same state as one that recorded and forgot the others.
func (l *incarnations) recordDeparted(id string) {
	if incarnation := ParseInstanceID(id); incarnation.StartedMS > 0 {
		l.departed[incarnation.Name] = append(l.departed[incarnation.Name], incarnation.StartedMS)
	}
}

func (l *incarnations) forgetDeparted(id string) {
	incarnation := ParseInstanceID(id)
	remaining := slices.DeleteFunc(l.departed[incarnation.Name], func(startedMS int64) bool { return startedMS == incarnation.StartedMS })
	if len(remaining) == 0 {
		delete(l.departed, incarnation.Name)
		return
	}
	l.departed[incarnation.Name] = remaining
}

// isSuperseded reports whether a later incarnation is registered or has departed.
func (l *incarnations) isSuperseded(incarnation Incarnation) bool {
	startedLater := func(startedMS int64) bool { return incarnation.StartedMS < startedMS }
	return startedLater(ParseInstanceID(l.registered[incarnation.Name]).StartedMS) || slices.ContainsFunc(l.departed[incarnation.Name], startedLater)
}

// currentID returns the id of the registered incarnation with the given name, if it has a start time.
func (l *incarnations) currentID(name string) (string, bool) {
	id, known := l.registered[name]
	return id, known
}
