package catalog

import "slices"

// expire drops an instance that fell silent. It is remembered for the word that it may still leave, by its name alone.
func (m *Machine) expire(id string) {
	if _, known := m.instances[id]; known && ParseInstanceID(id).StartedMS > 0 {
		m.expiredIDs = append(m.expiredIDs, id)
		m.expiredIDs = slices.Delete(m.expiredIDs, 0, max(0, len(m.expiredIDs)-maxDepartedIDs))
	}
	m.delete(id)
}

// ResolveInstanceID returns the id of the life that the id of one that leaves means: without a start it means the life that is registered, or that was last
// forgotten.
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

// deregister ends an instance for good.
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
