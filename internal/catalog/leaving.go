package catalog

import "slices"

// forget drops an instance that fell silent. It is remembered for the word that it may still leave, by its name alone.
func (m *Machine) forget(id string) {
	if _, known := m.instances[id]; known && LifeOf(id).Born > 0 {
		m.forgotten = append(m.forgotten, id)
		m.forgotten = slices.Delete(m.forgotten, 0, max(0, len(m.forgotten)-tombstonesKept))
	}
	m.drop(id)
}

// meant returns the life that the id of one that leaves means: a name alone means the life that is registered, or that was last forgotten.
func (m *Machine) meant(id string) string {
	if held := m.lives.of(id); held != id {
		return held
	}
	if _, known := m.instances[id]; known || LifeOf(id).Born > 0 {
		return id
	}
	for _, last := range slices.Backward(m.forgotten) {
		if LifeOf(last).Name == LifeOf(id).Name {
			return last
		}
	}
	return id
}

// remove ends an instance for good.
func (m *Machine) remove(id string) {
	id = m.meant(id)
	m.drop(id)
	if m.ended[id] {
		return
	}
	m.ended[id] = true
	m.lives.end(id)
	m.tombstones = append(m.tombstones, id)
	if len(m.tombstones) > tombstonesKept {
		delete(m.ended, m.tombstones[0])
		m.lives.forget(m.tombstones[0])
		m.tombstones = slices.Delete(m.tombstones, 0, 1)
	}
}
