package catalog

import "slices"

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
// registered incarnation of that name or, if there is none, to the one that expired last.
func (m *Machine) ResolveInstanceID(id string) string {
	incarnation := ParseInstanceID(id)
	if _, known := m.instances[id]; known || incarnation.StartedMS > 0 {
		return id
	}
	if registeredID, found := m.incarnations.currentID(incarnation.Name); found {
		return registeredID
	}
	for _, expiredID := range slices.Backward(m.expiredIDs) {
		if ParseInstanceID(expiredID).Name == incarnation.Name {
			return expiredID
		}
	}
	return id
}

// deregister deletes an instance that announced that it leaves, and rejects later registrations of it.
func (m *Machine) deregister(id string) {
	id = m.ResolveInstanceID(id)
	m.delete(id)
	if m.departed[id] {
		return
	}
	m.departed[id] = true
	m.incarnations.recordDeparted(id)
	m.departedIDs = append(m.departedIDs, id)
	if len(m.departedIDs) > maxDepartedIDs {
		delete(m.departed, m.departedIDs[0])
		m.incarnations.forgetDeparted(m.departedIDs[0])
		m.departedIDs = slices.Delete(m.departedIDs, 0, 1)
	}
}
