package catalog

import (
	"slices"
	"strings"
)

// expire deletes an instance whose heartbeats stopped. Its id is kept so that a later deregistration by name still
// resolves to it.
func (m *Machine) expire(id string) {
	if _, known := m.instances[id]; known && ParseInstanceID(id).StartedMS > 0 {
		m.expiredIDs = append(m.expiredIDs, id)
		m.expiredIDs = slices.Delete(m.expiredIDs, 0, max(0, len(m.expiredIDs)-maxDepartedIDs))
	}
	m.delete(id)
}

// ResolveInstanceID returns the instance id that a deregistration refers to. An id without a start time refers to the
// registered incarnation of that name or, if there is none, to the latest one that expired or whose deregistration is
// contested.
func (m *Machine) ResolveInstanceID(id string) string {
	incarnation := ParseInstanceID(id)
	if _, known := m.instances[id]; known || incarnation.StartedMS > 0 {
		return id
	}
	if registeredID, found := m.incarnations.currentID(incarnation.Name); found {
		return registeredID
	}
	latest := incarnation
	for _, expiredID := range slices.Backward(m.expiredIDs) {
		if expired := ParseInstanceID(expiredID); expired.Name == incarnation.Name {
			latest = expired
			break
		}
	}
	for _, startedMS := range m.incarnations.departed[incarnation.Name] {
		departed := Incarnation{Name: incarnation.Name, StartedMS: startedMS}
		if m.contested[departed.ID()] && latest.StartedMS < startedMS {
			latest = departed
		}
	}
	if latest == incarnation {
		return id
	}
	return latest.ID()
}

// deregister deletes an instance that announced that it leaves, and rejects later registrations of it. A contested
// deregistration may be reverted by reinstate; one that names the incarnation settles an earlier contested one.
func (m *Machine) deregister(id string, contested bool) {
	id = m.ResolveInstanceID(id)
	m.delete(id)
	if m.departed[id] {
		if !contested {
			delete(m.contested, id)
		}
		return
	}
	m.departed[id] = true
	if contested && ParseInstanceID(id).StartedMS > 0 {
		m.contested[id] = true
	}
	m.incarnations.recordDeparted(id)
	m.departedIDs = append(m.departedIDs, id)
	if len(m.departedIDs) > maxDepartedIDs {
		m.forgetDeparted(m.departedIDs[0])
	}
}

// forgetDeparted removes an instance from those that departed.
func (m *Machine) forgetDeparted(id string) {
	delete(m.departed, id)
	delete(m.contested, id)
	m.incarnations.forgetDeparted(id)
	m.departedIDs = slices.DeleteFunc(m.departedIDs, func(departed string) bool { return departed == id })
}

// reinstate registers an instance whose deregistration was contested and turned out to be another incarnation's.
func (m *Machine) reinstate(instance Instance) Outcome {
	if !m.contested[instance.ID] {
		return Outcome{Revision: m.document.Revision, AlreadyDeparted: m.departed[instance.ID]}
	}
	m.forgetDeparted(instance.ID)
	return m.register(instance)
}

// IsContested reports whether an instance departed by a contested deregistration.
func (m *Machine) IsContested(id string) bool { return m.contested[id] }

// HasPredecessor reports whether another incarnation of an instance's backend is registered or remembered.
func (m *Machine) HasPredecessor(id string) bool {
	incarnation := ParseInstanceID(id)
	if registered, known := m.InstanceByName(incarnation.Name); known && registered.ID != id {
		return true
	}
	isOther := func(startedMS int64) bool { return startedMS != incarnation.StartedMS }
	if slices.ContainsFunc(m.incarnations.departed[incarnation.Name], isOther) {
		return true
	}
	return slices.ContainsFunc(m.expiredIDs, func(expiredID string) bool {
		return expiredID != id && strings.HasPrefix(expiredID, incarnation.Name) && ParseInstanceID(expiredID).Name == incarnation.Name
	})
}
