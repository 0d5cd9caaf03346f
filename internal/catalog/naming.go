package catalog

// Publication is a version of a model's weights that was the newest once, and when it was named.
type Publication struct {
	Version uint64 `json:"version"`
	UnixMS  int64  `json:"ms"` // by the clock of the leader that proposed it; 0 is unknown, and long past
}

// MaxPublications bounds the namings of a model that are kept, the newest. It is of use only for what was named within the limit for old
// weights, some seconds.
const MaxPublications = 32

// Publications returns when the versions of a model were named, rising by version; callers only read it. Each replica holds the same ones,
// however it came by them.
func (m *Machine) Publications(model string) []Publication { return m.publications[model] }

// publish notes the newest version of a model. One that isn't newer than what was named before changes nothing.
func (m *Machine) publish(weights WeightsVersion, unixMS int64) {
	if m.latestVersions[weights.Model] >= weights.Version {
		return
	}
	m.latestVersions[weights.Model] = weights.Version
	namings := append(m.publications[weights.Model], Publication{Version: weights.Version, UnixMS: unixMS})
	m.publications[weights.Model] = namings[max(0, len(namings)-MaxPublications):]
}

// restorePublications takes the namings of a model from a snapshot. Where it tells none of the newest version, which is of a release that kept
// no times, that one is long past: in doubt nothing begins on older weights.
func (m *Machine) restorePublications(model string, namings []Publication) {
	if last := len(namings) - 1; last < 0 || namings[last].Version != m.latestVersions[model] {
		namings = append(namings, Publication{Version: m.latestVersions[model]})
	}
	m.publications[model] = namings
}
