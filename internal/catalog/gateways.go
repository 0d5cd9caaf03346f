package catalog

import (
	"maps"
	"slices"
	"time"
)

const (
	// gatewayAddressTTL is how long the address of a gateway is kept after it stopped polling the leader. It may be unable to find
	// the leader meanwhile. Those of gateways that are all silent at once are kept, since these don't leave the list.
	gatewayAddressTTL = time.Hour
	// maxGatewayAddresses bounds the addresses that are kept. It is above the size of any fleet.
	maxGatewayAddresses = 4096
)

// gatewayAddress is where a gateway can be reached by other processes.
type gatewayAddress struct {
	Address   string `json:"address"`
	RemovedMS int64  `json:"removed_ms,omitempty"` // when the gateway left the list, in Unix milliseconds; 0 while it is in it
}

// Gateways returns the sorted names of the gateways that poll the leader. Callers must not modify the slice.
func (m *Machine) Gateways() []string { return m.gateways }

// HasGateway reports whether Gateways contains a gateway.
func (m *Machine) HasGateway(gateway string) bool { return m.gatewaySet[gateway] }

// GatewayAddress returns the internal address of a gateway that polls the leader or has done so lately, or "".
func (m *Machine) GatewayAddress(gateway string) string { return m.gatewayAddresses[gateway].Address }

// AddressedGateways returns the sorted names of the gateways with a GatewayAddress.
func (m *Machine) AddressedGateways() []string { return slices.Sorted(maps.Keys(m.gatewayAddresses)) }

// setGateways replaces the list of gateways with sorted names.
func (m *Machine) setGateways(names []string) {
	m.gateways = names
	clear(m.gatewaySet)
	for _, name := range names {
		m.gatewaySet[name] = true
	}
}

// updateGateways adds and removes gateways, and records the addresses of added ones.
func (m *Machine) updateGateways(command Command) {
	for _, name := range command.AddGateways {
		m.gatewaySet[name] = true
		m.setRemoved(name, 0)
	}
	for _, name := range command.RemoveGateways {
		delete(m.gatewaySet, name)
		m.setRemoved(name, max(1, command.UnixMS))
	}
	m.gateways = slices.Sorted(maps.Keys(m.gatewaySet))
	m.recordGatewayAddresses(command.GatewayAddresses)
	m.dropGatewayAddresses(command.UnixMS)
}

// setRemoved records when a gateway left the list, or with 0 that it is in it.
func (m *Machine) setRemoved(gateway string, unixMS int64) {
	if address, known := m.gatewayAddresses[gateway]; known {
		address.RemovedMS = unixMS
		m.gatewayAddresses[gateway] = address
	}
}

// recordGatewayAddresses records addresses. A gateway that had one of them before has lost it.
func (m *Machine) recordGatewayAddresses(addresses map[string]string) {
	if len(addresses) == 0 {
		return
	}
	taken := map[string]bool{}
	for _, address := range addresses {
		taken[address] = true
	}
	maps.DeleteFunc(m.gatewayAddresses, func(_ string, old gatewayAddress) bool { return taken[old.Address] })
	for name, address := range addresses {
		m.gatewayAddresses[name] = gatewayAddress{Address: address}
	}
}

// dropGatewayAddresses drops the addresses of gateways that left the list gatewayAddressTTL ago, and beyond maxGatewayAddresses
// those of all that left it.
func (m *Machine) dropGatewayAddresses(nowMS int64) {
	full := len(m.gatewayAddresses) > maxGatewayAddresses
	maps.DeleteFunc(m.gatewayAddresses, func(_ string, address gatewayAddress) bool {
		return address.RemovedMS > 0 && (full || nowMS-address.RemovedMS >= gatewayAddressTTL.Milliseconds())
	})
}
