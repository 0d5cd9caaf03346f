package catalog

import (
	"maps"
	"math"
	"slices"

	"kitetiller/internal/guard"
	"kitetiller/internal/quarantine"
)

// State is the lifecycle state of an instance. It never goes back from draining to ready.
type State string

// States of an instance.
const (
	StateReady    State = "ready"
	StateDraining State = "draining" // finishes running requests and gets no new ones
)

// Instance is a registered incarnation of a backend.
type Instance struct {
	ID      string `json:"id"` // see Incarnation.ID
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	State   State  `json:"state"`
}

// maxDepartedIDs bounds the departed instances that are remembered so that a delayed heartbeat doesn't register them
// again.
const maxDepartedIDs = 2000

// Command is a change of the replicated state. Exactly one field is set besides UnixMS; AddGateways and RemoveGateways
// may be set together, and Contested only together with Deregister.
type Command struct {
	Replace             *Document         `json:"replace,omitempty"`
	Register            *Instance         `json:"register,omitempty"`
	RegisterBatch       []Instance        `json:"joined,omitempty"`  // registered in this order
	Drain               string            `json:"drain,omitempty"`   // instance id
	Deregister          string            `json:"remove,omitempty"`  // id of an instance that announced that it leaves
	Expire              string            `json:"forget,omitempty"`  // id of an instance without heartbeats; may register again
	PublishWeights      *WeightsVersion   `json:"version,omitempty"` // new version of a model's weights
	Fence               bool              `json:"fence,omitempty"`   // issue a new fencing token
	Loaded              []LoadedWeights   `json:"held,omitempty"`    // weights that instances reported as loaded
	WeightsOrderTargets []string          `json:"order,omitempty"`   // ids of instances about to be sent weights orders
	ReplaceGateways     []string          `json:"gates,omitempty"`   // all gateways that poll the leader
	MaxHashWeights      map[string]uint64 `json:"bounds,omitempty"`  // by service: highest hash weight in use
	AddGateways         []string          `json:"came,omitempty"`    // gateways that started to poll the leader
	RemoveGateways      []string          `json:"left,omitempty"`    // gateways that stopped polling the leader
	// GatewayAddresses holds the internal addresses of AddGateways, from level Addressed on.
	GatewayAddresses map[string]string `json:"came_at,omitempty"`

	Quarantine *quarantine.Change `json:"quarantine,omitempty"` // requests during which backends crashed

	Contested bool      `json:"contested,omitempty"` // an earlier incarnation may have sent the deregistration; see Reinstate
	Reinstate *Instance `json:"reinstate,omitempty"` // registers an instance whose deregistration was contested

	// UnixMS is the wall-clock time of the proposal by the proposer's clock, set from the log entry when it is applied.
	UnixMS int64 `json:"-"`
}

// LoadedWeights is a weights version that an instance reported as loaded.
type LoadedWeights struct {
	Instance string `json:"instance"`
	WeightsVersion
}

// WeightsVersion is a version of a model's weights.
type WeightsVersion struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

// Outcome is the result of a command.
type Outcome struct {
	Revision        uint64 `json:"revision"`        // of the document in force
	Fence           uint64 `json:"fence,omitempty"` // fencing token issued by the command
	AlreadyDeparted bool   `json:"gone,omitempty"`  // the instance departed before, or a later one replaced it
}

// Machine is the replicated state. It is not safe for concurrent use.
type Machine struct {
	Guards           guard.Set `json:"-"`
	document         Document
	sharing          sharing
	instances        map[string]Instance
	addresses        map[string]string // id of the instance at each address
	ids              []string          // sorted ids of instances; nil when outdated
	departedIDs      []string          // instances that deregistered, oldest first; at most maxDepartedIDs
	departed         map[string]bool   // set of departedIDs
	contested        map[string]bool   // departed instances that may be reinstated; a subset of departed
	expiredIDs       []string          // may register again, oldest first; at most maxDepartedIDs
	incarnations     incarnations      // of instances and departedIDs
	latestVersions   map[string]uint64
	publications     map[string][]Publication     // by model, ascending by version; the last one is the latest version
	loaded           map[string]map[string]uint64 // by registered instance and model; versions never decrease
	ordered          map[string]bool              // see MayHaveWeightsOrder; only registered instances
	gateways         []string                     // gateways that poll the leader, sorted
	gatewaySet       map[string]bool              // set of gateways
	gatewayAddresses map[string]gatewayAddress    // by name
	maxHashWeights   map[string]uint64            // by service; no entry if all backends are in use
	changed          map[string]bool              // ids of instances that changed since the last TakeChanged
	fence            uint64
	quarantine       *quarantine.Registry
}

// NewMachine returns an empty state.
func NewMachine() *Machine {
	return &Machine{
		instances: map[string]Instance{}, addresses: map[string]string{}, departed: map[string]bool{}, contested: map[string]bool{}, incarnations: newIncarnations(), latestVersions: map[string]uint64{}, publications: map[string][]Publication{}, loaded: map[string]map[string]uint64{},
		ordered: map[string]bool{}, gatewaySet: map[string]bool{}, gatewayAddresses: map[string]gatewayAddress{}, maxHashWeights: map[string]uint64{}, changed: map[string]bool{}, quarantine: quarantine.NewRegistry(),
	}
}

// Blank returns an empty state to restore a snapshot into. It knows the sharing epoch of m, which a snapshot of an older
// build lacks.
func (m *Machine) Blank() *Machine {
	blank := NewMachine()
	blank.Guards, blank.sharing.epoch = m.Guards, m.sharing.epoch
	return blank
}

// Document returns the document in force. Callers must not modify it.
func (m *Machine) Document() *Document { return &m.document }

// Instances returns the registered instances by id. Callers must not modify the map.
func (m *Machine) Instances() map[string]Instance { return m.instances }

// IDs returns the sorted ids of the registered instances. Callers must not modify the slice.
func (m *Machine) IDs() []string {
	if m.ids == nil {
		m.ids = slices.Sorted(maps.Keys(m.instances))
	}
	return m.ids
}

// Accepts reports whether an instance may register: it has not deregistered, no later incarnation of its backend is
// known, and it has a start time if other instances of its service have one.
func (m *Machine) Accepts(instance Instance) bool {
	incarnation := ParseInstanceID(instance.ID)
	lacksStartTime := incarnation.StartedMS == 0 && m.incarnations.withStartTime[instance.Service] > 0
	return !m.departed[instance.ID] && !m.incarnations.isSuperseded(incarnation) && !lacksStartTime
}

// InstanceAt returns the instance that is registered at an address.
func (m *Machine) InstanceAt(address string) (Instance, bool) {
	instance, known := m.instances[m.addresses[address]]
	return instance, known
}

// InstanceByName returns the registered incarnation of the backend with the given name.
func (m *Machine) InstanceByName(name string) (Instance, bool) {
	id, found := m.incarnations.currentID(name)
	if !found {
		id = Incarnation{Name: name}.ID()
	}
	instance, known := m.instances[id]
	return instance, known
}

// LatestVersions returns the latest published weights version by model. Callers must not modify the map.
func (m *Machine) LatestVersions() map[string]uint64 { return m.latestVersions }

// LoadedVersions returns the highest weights version by model that an instance was known to have loaded. It may have
// loaded others since: newer ones, or older ones after a delayed order. Callers must not modify the map.
func (m *Machine) LoadedVersions(id string) map[string]uint64 { return m.loaded[id] }

// MayHaveWeightsOrder reports whether an instance or its predecessor may have been sent a weights order.
func (m *Machine) MayHaveWeightsOrder(id string) bool { return m.ordered[id] }

// MaxHashWeight returns the highest hash weight of the backends of a service that are in use.
func (m *Machine) MaxHashWeight(service string) uint64 {
	if highest, known := m.maxHashWeights[service]; known {
		return highest
	}
	return math.MaxUint64
}

// HasMaxHashWeight reports whether a maximum hash weight was set for a service.
func (m *Machine) HasMaxHashWeight(service string) bool {
	_, known := m.maxHashWeights[service]
	return known
}

// TakeChanged returns the ids of the instances that changed since the last call, in no particular order.
func (m *Machine) TakeChanged() []string {
	if len(m.changed) == 0 {
		return nil
	}
	ids := slices.Collect(maps.Keys(m.changed))
	clear(m.changed)
	return ids
}

// Quarantine returns the requests during which backends crashed. Callers must not modify it.
func (m *Machine) Quarantine() *quarantine.Registry { return m.quarantine }

// Apply applies a committed command.
func (m *Machine) Apply(command Command) Outcome {
	switch {
	case command.Replace != nil:
		m.replace(*command.Replace)
	case command.Register != nil:
		return m.register(*command.Register)
	case len(command.RegisterBatch) > 0:
		for _, instance := range command.RegisterBatch {
			m.register(instance)
		}
	case command.Drain != "":
		m.drain(command.Drain)
	case command.Deregister != "":
		m.deregister(command.Deregister, command.Contested)
	case command.Reinstate != nil:
		return m.reinstate(*command.Reinstate)
	case command.Expire != "":
		m.expire(command.Expire)
	case len(command.Loaded) > 0:
		m.recordLoaded(command.Loaded)
	case len(command.WeightsOrderTargets) > 0:
		m.recordWeightsOrders(command.WeightsOrderTargets)
	case len(command.ReplaceGateways) > 0:
		m.setGateways(command.ReplaceGateways)
	case len(command.AddGateways)+len(command.RemoveGateways) > 0:
		m.updateGateways(command)
	case len(command.MaxHashWeights) > 0:
		maps.Copy(m.maxHashWeights, command.MaxHashWeights)
	case command.Quarantine != nil:
		m.quarantine.Apply(*command.Quarantine)
	case command.PublishWeights != nil:
		m.publish(*command.PublishWeights, command.UnixMS)
	case command.Fence:
		m.fence++
		return Outcome{Revision: m.document.Revision, Fence: m.fence}
	}
	return Outcome{Revision: m.document.Revision}
}

// replace puts a document in force if its revision is higher than the current one.
func (m *Machine) replace(document Document) {
	if document.Revision > m.document.Revision || !m.Guards.On(guard.HighestRevision) {
		m.sharing = m.sharing.advance(&document)
		document.SharingEpoch = m.sharing.epoch
		m.document = document
	}
}

// register adds or updates an instance. It replaces the previous incarnation of its backend and the previous instance
// at its address. An instance that started earlier than the one at its address is rejected, since a heartbeat may
// arrive long after its sender ended.
func (m *Machine) register(instance Instance) Outcome {
	existing, known := m.instances[instance.ID]
	if !known && !m.Accepts(instance) {
		return Outcome{Revision: m.document.Revision, AlreadyDeparted: true}
	}
	if other, taken := m.InstanceAt(instance.Address); taken && ParseInstanceID(instance.ID).StartedBefore(ParseInstanceID(other.ID)) {
		return Outcome{Revision: m.document.Revision, AlreadyDeparted: true}
	}
	if previous, found := m.InstanceByName(ParseInstanceID(instance.ID).Name); found && previous.ID != instance.ID {
		ordered := m.ordered[previous.ID]
		m.delete(previous.ID)
		if ordered {
			m.ordered[instance.ID] = true // an order in flight is addressed to the backend, not to the incarnation
		}
	}
	if known && existing.State == StateDraining {
		instance.State = StateDraining
	}
	if known && existing.Address != instance.Address {
		delete(m.addresses, existing.Address)
	}
	if occupant, taken := m.addresses[instance.Address]; taken && occupant != instance.ID {
		m.delete(occupant)
	}
	m.upsert(instance)
	return Outcome{Revision: m.document.Revision}
}

// upsert stores an instance. No other instance may have its address.
func (m *Machine) upsert(instance Instance) {
	existing, known := m.instances[instance.ID]
	if !known {
		m.ids = nil
	}
	if known {
		m.incarnations.remove(existing)
	}
	m.incarnations.add(instance)
	m.changed[instance.ID] = true
	m.instances[instance.ID] = instance
	m.addresses[instance.Address] = instance.ID
}

// delete deletes an instance and all that is recorded about it.
func (m *Machine) delete(id string) {
	existing, known := m.instances[id]
	if known {
		delete(m.addresses, existing.Address)
		m.incarnations.remove(existing)
		m.ids, m.changed[id] = nil, true
	}
	delete(m.instances, id)
	delete(m.loaded, id)
	delete(m.ordered, id)
}

// recordWeightsOrders records registered instances that are about to be sent weights orders.
func (m *Machine) recordWeightsOrders(ids []string) {
	for _, id := range ids {
		if _, known := m.instances[id]; known {
			m.ordered[id] = true
		}
	}
}

// recordLoaded records the weights that registered instances have loaded.
func (m *Machine) recordLoaded(reports []LoadedWeights) {
	for _, report := range reports {
		if _, known := m.instances[report.Instance]; !known {
			continue
		}
		if m.loaded[report.Instance] == nil {
			m.loaded[report.Instance] = map[string]uint64{}
		}
		m.loaded[report.Instance][report.Model] = max(m.loaded[report.Instance][report.Model], report.Version)
	}
}

func (m *Machine) drain(id string) {
	instance, known := m.instances[id]
	if !known {
		return
	}
	instance.State = StateDraining
	m.upsert(instance)
}
