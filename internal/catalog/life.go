package catalog

import (
	"slices"
	"strconv"
	"strings"
)

// Incarnation is one life of a back end. Back ends that take a new name with each start need no more than that; others tell when they
// were started as well. Whatever is known of a back end is known of one life of it.
type Incarnation struct {
	Name      string // under which the back end knows itself; a later life may have the same
	StartedMS int64  // when it was started, in Unix ms by its own clock; 0 where it doesn't tell
}

const (
	startTimeSeparator = "@"
	decimal            = 10
	int64Bits          = 64
)

// ID returns the name of this life alone, for use as Instance.ID.
func (l Incarnation) ID() string {
	if l.StartedMS == 0 && !strings.Contains(l.Name, startTimeSeparator) {
		return l.Name
	}
	return l.Name + startTimeSeparator + strconv.FormatInt(l.StartedMS, decimal)
}

// ParseInstanceID returns the life that an id names.
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

// StartedBefore reports whether both lives tell their start, and this one was started earlier.
func (l Incarnation) StartedBefore(other Incarnation) bool {
	return l.StartedMS > 0 && l.StartedMS < other.StartedMS
}

// incarnations tells which life of a back end counts. It holds those that tell their start; the others have a name for each life.
type incarnations struct {
	registered    map[string]string  // by name: id of the registered life
	departed      map[string][]int64 // by name: starts of the lives that said that they left, while that is remembered; none is empty
	withStartTime map[string]int     // by service: registered lives; none is 0
}

func newIncarnations() incarnations {
	return incarnations{registered: map[string]string{}, departed: map[string][]int64{}, withStartTime: map[string]int{}}
}

// add notes a registered instance.
func (l *incarnations) add(instance Instance) {
	if incarnation := ParseInstanceID(instance.ID); incarnation.StartedMS > 0 {
		l.registered[incarnation.Name] = instance.ID
		l.withStartTime[instance.Service]++
	}
}

// remove forgets a registered instance.
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

// recordDeparted remembers that a life said that it left; forget ends that. Each is noted by itself, so that what is left is the same
// whether the others were forgotten or never known.
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

// isSuperseded reports whether a later life is registered, or has left.
func (l *incarnations) isSuperseded(incarnation Incarnation) bool {
	startedLater := func(startedMS int64) bool { return incarnation.StartedMS < startedMS }
	return startedLater(ParseInstanceID(l.registered[incarnation.Name]).StartedMS) || slices.ContainsFunc(l.departed[incarnation.Name], startedLater)
}

// currentID returns the id of the registered life of the back end of a name, if it has one that tells its start.
func (l *incarnations) currentID(name string) (string, bool) {
	id, known := l.registered[name]
	return id, known
}
