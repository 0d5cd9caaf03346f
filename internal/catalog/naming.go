package catalog

// Publication records when a weights version of a model became the latest.
type Publication struct {
	Version uint64 `json:"version"`
	UnixMS  int64  `json:"ms"` // by the clock of the leader that proposed it; 0 if unknown, treated as long ago
}

// MaxPublications bounds the publications that are kept per model. Only those of the last seconds are needed, to decide
// which weights versions are too old.
const MaxPublications = 32

// Publications returns the publications of a model, ascending by version, identical on all replicas. Callers must not
// modify the slice.
func (m *Machine) Publications(model string) []Publication { return m.publications[model] }

// publish records the latest weights version of a model. Versions that are not newer than the latest are ignored.
func (m *Machine) publish(weights WeightsVersion, unixMS int64) {
	if m.latestVersions[weights.Model] >= weights.Version {
		return
	}
	m.latestVersions[weights.Model] = weights.Version
	publications := append(m.publications[weights.Model], Publication{Version: weights.Version, UnixMS: unixMS})
	m.publications[weights.Model] = publications[max(0, len(publications)-MaxPublications):]
}

// restorePublications restores the publications of a model from a snapshot. Snapshots of older builds have no
// publication times; the latest version then counts as published long ago, so that no request starts on older
// weights.
func (m *Machine) restorePublications(model string, publications []Publication) {
	if last := len(publications) - 1; last < 0 || publications[last].Version != m.latestVersions[model] {
		publications = append(publications, Publication{Version: m.latestVersions[model]})
	}
	m.publications[model] = publications
}
