package catalog

import (
	"encoding/json"
	"maps"

	"kitetiller/internal/quarantine"
)

// machineSnapshot is the JSON form of a machine.
type machineSnapshot struct {
	Document       Document            `json:"document"`
	Instances      map[string]Instance `json:"instances"`
	DepartedIDs    []string            `json:"tombstones"`
	LatestVersions map[string]uint64   `json:"versions"`
	Fence          uint64              `json:"fence"`

	Loaded         map[string]map[string]uint64 `json:"held,omitempty"`
	Commanded      map[string]bool              `json:"ordered,omitempty"`
	Gateways       []string                     `json:"gateways,omitempty"`
	MaxHashWeights map[string]uint64            `json:"bounds,omitempty"`

	Quarantine *quarantine.Registry `json:"quarantine,omitempty"`

	Publications map[string][]Publication `json:"namings,omitempty"`

	ExpiredIDs []string `json:"forgotten,omitempty"`

	Contested map[string]bool `json:"contested,omitempty"`

	Sharing *sharingSnapshot `json:"sharing,omitempty"`

	GatewayAddresses map[string]gatewayAddress `json:"gateway_addresses,omitempty"`
}

// MarshalJSON encodes the whole state as a snapshot.
func (m *Machine) MarshalJSON() ([]byte, error) {
	return json.Marshal(machineSnapshot{m.document, m.instances, m.departedIDs, m.latestVersions, m.fence, m.loaded, m.ordered, m.gateways, m.maxHashWeights, m.quarantine, m.publications, m.expiredIDs, m.contested, m.sharing.snapshot(), m.gatewayAddresses})
}

// UnmarshalJSON replaces the whole state by a snapshot.
func (m *Machine) UnmarshalJSON(data []byte) error {
	var snapshot machineSnapshot
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return err
	}
	guards, known := m.Guards, m.sharing
	*m = *NewMachine()
	m.Guards = guards
	m.document, m.departedIDs, m.fence, m.expiredIDs = snapshot.Document, snapshot.DepartedIDs, snapshot.Fence, snapshot.ExpiredIDs
	m.sharing = restoreSharing(&m.document, snapshot.Sharing, known)
	m.document.SharingEpoch = m.sharing.epoch
	for _, instance := range snapshot.Instances {
		m.upsert(instance)
	}
	for id := range snapshot.Commanded {
		m.ordered[id] = true
	}
	m.setGateways(snapshot.Gateways)
	maps.Copy(m.gatewayAddresses, snapshot.GatewayAddresses)
	maps.Copy(m.maxHashWeights, snapshot.MaxHashWeights)
	if snapshot.Quarantine != nil {
		m.quarantine = snapshot.Quarantine
	}
	for id, versions := range snapshot.Loaded {
		m.loaded[id] = versions
	}
	for model, version := range snapshot.LatestVersions {
		m.latestVersions[model] = version
		m.restorePublications(model, snapshot.Publications[model])
	}
	for _, id := range snapshot.DepartedIDs {
		m.departed[id] = true
		m.incarnations.recordDeparted(id)
	}
	for id := range snapshot.Contested {
		m.contested[id] = true
	}
	return nil
}
