package catalog

import (
	"maps"
	"math"
	"slices"

	"kitetiller/internal/guard"
	"kitetiller/internal/quarantine"
)

// State tells how far a back end's life has come. States only rise: a late message cannot take one back.
type State string

// States of an instance.
const (
	StateReady    State = "ready"
	StateDraining State = "draining" // finishes what it has; gets nothing new
)

// Instance is one life of a back end that registered itself.
type Instance struct {
	ID      string `json:"id"` // of the life, as Life.ID makes it
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	State   State  `json:"state"`
}

// maxDepartedIDs bounds the ended instances that are remembered, so that a late heartbeat revives none of them.
const maxDepartedIDs = 2000

// Command is one change of the replicated state. Exactly one field is set, beside UnixMS.
type Command struct {
	Replace               *Document         `json:"replace,omitempty"`
	Register              *Instance         `json:"register,omitempty"`
	RegisterBatch         []Instance        `json:"joined,omitempty"`  // registered together, in the order in which they came
	Drain                 string            `json:"drain,omitempty"`   // instance
	Deregister            string            `json:"remove,omitempty"`  // instance that said that it leaves
	Expire                string            `json:"forget,omitempty"`  // instance that fell silent; it may register again
	PublishWeights        *WeightsVersion   `json:"version,omitempty"` // newest weights of a model
	Fence                 bool              `json:"fence,omitempty"`   // a new holder of the right to give orders
	Loaded                []LoadedWeights   `json:"held,omitempty"`    // weights that instances were seen to hold
	WeightsCommandTargets []string          `json:"order,omitempty"`   // instances that the leader is about to give orders
	ReplaceGateways       []string          `json:"gates,omitempty"`   // gateways that ask the leader; it replaces those before
	MaxHashWeights        map[string]uint64 `json:"bounds,omitempty"`  // by service: the highest weight of a back end in use
	AddGateways           []string          `json:"came,omitempty"`    // gateways that ask the leader, beside those before
	RemoveGateways        []string          `json:"left,omitempty"`    // gateways that no longer do

	Quarantine *quarantine.Change `json:"quarantine,omitempty"` // requests under which back ends ended

	// UnixMS is the time of day at which the command was proposed, by the proposer's clock. Whoever applies it takes it from the entry.
	UnixMS int64 `json:"-"`
}

// LoadedWeights is a version of a model's weights that an instance was seen to hold.
type LoadedWeights struct {
	Instance string `json:"instance"`
	WeightsVersion
}

// WeightsVersion is a version of a model's weights.
type WeightsVersion struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

// Outcome is what a command did.
type Outcome struct {
	Revision        uint64 `json:"revision"`        // of the document in force
	Fence           uint64 `json:"fence,omitempty"` // given to a new holder
	AlreadyDeparted bool   `json:"gone,omitempty"`  // the instance had ended already
}

// Machine is the replicated state.
type Machine struct {
	Guards         guard.Set `json:"-"`
	document       Document
	instances      map[string]Instance
	addresses      map[string]string // the one instance at each address
	ids            []string          // of instances, rising; nil when they have changed
	departedIDs    []string
	departed       map[string]bool
	expiredIDs     []string     // lives that fell silent and may register again, the newest last; at most tombstonesKept
	incarnations   incarnations // of instances and tombstones
	latestVersions map[string]uint64
	publications   map[string][]Publication     // by model, rising; the newest is of the version in versions
	loaded         map[string]map[string]uint64 // by instance and model; of registered instances only; versions only rise
	commanded      map[string]bool              // registered instances that, or whose last life, were ever to be given an order
	gateways       []string                     // that asked the last leader that wrote them, rising
	gatewaySet     map[string]bool              // the same
	maxHashWeights map[string]uint64            // by service; of those that don't use all their back ends
	changed        map[string]bool              // instances that changed since Touched was last called
	fence          uint64
	quarantine     *quarantine.Registry
}

// NewMachine returns the empty state.
func NewMachine() *Machine {
	return &Machine{
		instances: map[string]Instance{}, addresses: map[string]string{}, departed: map[string]bool{}, incarnations: newIncarnations(), latestVersions: map[string]uint64{}, publications: map[string][]Publication{}, loaded: map[string]map[string]uint64{},
		commanded: map[string]bool{}, gatewaySet: map[string]bool{}, maxHashWeights: map[string]uint64{}, changed: map[string]bool{}, quarantine: quarantine.NewRegistry(),
	}
}

// Document returns the document in force; callers only read it.
func (m *Machine) Document() *Document { return &m.document }

// Instances returns the registered back ends by id; callers only read it.
func (m *Machine) Instances() map[string]Instance { return m.instances }

// IDs returns the ids of the registered back ends, rising; callers only read them.
func (m *Machine) IDs() []string {
	if m.ids == nil {
		m.ids = slices.Sorted(maps.Keys(m.instances))
	}
	return m.ids
}

// Accepts reports whether an instance can be registered: it didn't say that it left, there is no later life of its back end, and it tells its
// life where others of its service do. What doesn't is somebody else's word.
func (m *Machine) Accepts(instance Instance) bool {
	incarnation := ParseInstanceID(instance.ID)
	lacksStartTime := incarnation.StartedMS == 0 && m.incarnations.withStartTime[instance.Service] > 0
	return !m.departed[instance.ID] && !m.incarnations.isSuperseded(incarnation) && !lacksStartTime
}

// InstanceAt returns the instance that is registered at an address, if there is one.
func (m *Machine) InstanceAt(address string) (Instance, bool) {
	instance, known := m.instances[m.addresses[address]]
	return instance, known
}

// InstanceByName returns the registered life of the back end that has a name, if there is one.
func (m *Machine) InstanceByName(name string) (Instance, bool) {
	id, tells := m.incarnations.currentID(name)
	if !tells {
		id = Incarnation{Name: name}.ID()
	}
	instance, known := m.instances[id]
	return instance, known
}

// LatestVersions returns the newest weights version by model; callers only read it.
func (m *Machine) LatestVersions() map[string]uint64 { return m.latestVersions }

// LoadedVersions returns the newest weights that an instance was seen to hold, by model; callers only read it. It may hold others by now: newer ones,
// or older ones where a late order was carried out.
func (m *Machine) LoadedVersions(id string) map[string]uint64 { return m.loaded[id] }

// MayHaveWeightsCommand reports whether an instance, or the life that it followed, may ever have been given an order.
func (m *Machine) MayHaveWeightsCommand(id string) bool { return m.commanded[id] }

// Gateways returns the gateways that were written last, rising; callers only read it.
func (m *Machine) Gateways() []string { return m.gateways }

// HasGateway reports whether a gateway is among them.
func (m *Machine) HasGateway(gateway string) bool { return m.gatewaySet[gateway] }

// MaxHashWeight returns the highest weight of the back ends of a service that are in use.
func (m *Machine) MaxHashWeight(service string) uint64 {
	if bound, known := m.maxHashWeights[service]; known {
		return bound
	}
	return math.MaxUint64
}

// HasMaxHashWeight reports whether it was ever decided which back ends of a service are in use.
func (m *Machine) HasMaxHashWeight(service string) bool {
	_, known := m.maxHashWeights[service]
	return known
}

// TakeChanged returns the instances that changed since the last call, in no order.
func (m *Machine) TakeChanged() []string {
	if len(m.changed) == 0 {
		return nil
	}
	ids := slices.Collect(maps.Keys(m.changed))
	clear(m.changed)
	return ids
}

// Quarantine returns the requests under which back ends ended; callers only read it.
func (m *Machine) Quarantine() *quarantine.Registry { return m.quarantine }

// Apply applies one committed command.
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
		m.deregister(command.Deregister)
	case command.Expire != "":
		m.expire(command.Expire)
	case len(command.Loaded) > 0:
		m.recordLoaded(command.Loaded)
	case len(command.WeightsCommandTargets) > 0:
		m.recordWeightsCommands(command.WeightsCommandTargets)
	case len(command.ReplaceGateways) > 0:
		m.setGateways(command.ReplaceGateways)
	case len(command.AddGateways)+len(command.RemoveGateways) > 0:
		m.updateGateways(command.AddGateways, command.RemoveGateways)
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

// replace puts a document in force unless the one held is as new.
func (m *Machine) replace(document Document) {
	if document.Revision > m.document.Revision || !m.Guards.On(guard.HighestRevision) {
		m.document = document
	}
}

// register adds an instance. The last life of its back end has ended, and whoever held its address before is gone: an address has one
// owner at a time. Of two that tell their lives the one that was started later holds it, since a heartbeat may come long after its
// sender has ended.
func (m *Machine) register(instance Instance) Outcome {
	existing, known := m.instances[instance.ID]
	if !known && !m.Accepts(instance) {
		return Outcome{Revision: m.document.Revision, AlreadyDeparted: true}
	}
	if other, taken := m.InstanceAt(instance.Address); taken && ParseInstanceID(instance.ID).StartedBefore(ParseInstanceID(other.ID)) {
		return Outcome{Revision: m.document.Revision, AlreadyDeparted: true}
	}
	if previous, found := m.InstanceByName(ParseInstanceID(instance.ID).Name); found && previous.ID != instance.ID {
		commanded := m.commanded[previous.ID]
		m.delete(previous.ID)
		if commanded {
			m.commanded[instance.ID] = true // an order that is on its way names the back end, not its life
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

// upsert notes an instance, at an address that no other one has.
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

// delete forgets an instance and what it held.
func (m *Machine) delete(id string) {
	existing, known := m.instances[id]
	if known {
		delete(m.addresses, existing.Address)
		m.incarnations.remove(existing)
		m.ids, m.changed[id] = nil, true
	}
	delete(m.instances, id)
	delete(m.loaded, id)
	delete(m.commanded, id)
}

// recordWeightsCommands notes registered instances that are about to be given orders.
func (m *Machine) recordWeightsCommands(ids []string) {
	for _, id := range ids {
		if _, known := m.instances[id]; known {
			m.commanded[id] = true
		}
	}
}

// setGateways replaces the gateways; names rise.
func (m *Machine) setGateways(names []string) {
	m.gateways = names
	clear(m.gatewaySet)
	for _, name := range names {
		m.gatewaySet[name] = true
	}
}

// updateGateways takes gateways that came and that left up.
func (m *Machine) updateGateways(added, removed []string) {
	for _, name := range added {
		m.gatewaySet[name] = true
	}
	for _, name := range removed {
		delete(m.gatewaySet, name)
	}
	m.gateways = slices.Sorted(maps.Keys(m.gatewaySet))
}

// recordLoaded notes what registered instances recordLoaded.
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
