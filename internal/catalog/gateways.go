package catalog

import (
	"maps"
	"slices"
)

// maxGatewayAddresses bounds the recorded addresses of gateways. It is above the size of any fleet, since the addresses of
// gateways that don't poll the leader are kept: these may be unable to find it.
const maxGatewayAddresses = 4096

// Gateways returns the sorted names of the gateways that poll the leader. Callers must not modify the slice.
func (m *Machine) Gateways() []string { return m.gateways }

// HasGateway reports whether Gateways contains a gateway.
func (m *Machine) HasGateway(gateway string) bool { return m.gatewaySet[gateway] }

// GatewayAddresses returns the internal addresses of gateways that poll the leader or did so, by name. Callers must not modify the
// map.
func (m *Machine) GatewayAddresses() map[string]string { return m.gatewayAddresses }

// setGateways replaces the list of gateways with sorted names.
func (m *Machine) setGateways(names []string) {
	m.gateways = names
	clear(m.gatewaySet)
	for _, name := range names {
		m.gatewaySet[name] = true
	}
}

// updateGateways adds and removes gateways, and records addresses.
func (m *Machine) updateGateways(added, removed []string, addresses map[string]string) {
	for _, name := range added {
		m.gatewaySet[name] = true
	}
	for _, name := range removed {
		delete(m.gatewaySet, name)
	}
	m.gateways = slices.Sorted(maps.Keys(m.gatewaySet))
	m.recordGatewayAddresses(addresses)
}

// recordGatewayAddresses records addresses. A gateway that had one of them before has lost it. Beyond maxGatewayAddresses, those of
// gateways that don't poll the leader are dropped.
func (m *Machine) recordGatewayAddresses(addresses map[string]string) {
	if len(addresses) == 0 {
		return
	}
	taken := map[string]bool{}
	for _, address := range addresses {
		taken[address] = true
	}
	maps.DeleteFunc(m.gatewayAddresses, func(_, address string) bool { return taken[address] })
	maps.Copy(m.gatewayAddresses, addresses)
	if len(m.gatewayAddresses) > maxGatewayAddresses {
		maps.DeleteFunc(m.gatewayAddresses, func(name, _ string) bool { return !m.gatewaySet[name] })
	}
}
