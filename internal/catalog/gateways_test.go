package catalog

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"
)

// addressesOf returns the addresses that a machine keeps, by name.
func addressesOf(m *Machine) map[string]string {
	addresses := map[string]string{}
	for _, name := range m.AddressedGateways() {
		addresses[name] = m.GatewayAddress(name)
	}
	return addresses
}

// restore returns a machine with the state of another one's snapshot.
func restore(t *testing.T, m *Machine) *Machine {
	t.Helper()
	data, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	restored := NewMachine()
	if err := json.Unmarshal(data, restored); err != nil {
		t.Fatal(err)
	}
	return restored
}

// TestGatewayAddressesOutliveSilence: the addresses of gateways that stopped polling are kept for a time, also in snapshots, since
// these may be unable to find the leader; an address belongs to the gateway that had it last.
func TestGatewayAddressesOutliveSilence(t *testing.T) {
	m := NewMachine()
	const removedMS = 1_700_000_000_000
	m.Apply(Command{AddGateways: []string{"a", "b"}, GatewayAddresses: map[string]string{"a": "1", "b": "2"}})
	m.Apply(Command{RemoveGateways: []string{"a"}, UnixMS: removedMS})
	m.Apply(Command{AddGateways: []string{"c"}, GatewayAddresses: map[string]string{"c": "2"}, UnixMS: removedMS + 1})
	m.Apply(Command{RemoveGateways: []string{"c"}, UnixMS: removedMS + 2})
	m.Apply(Command{AddGateways: []string{"c"}, UnixMS: removedMS + 3}) // back at its address
	for _, machine := range []*Machine{m, restore(t, m)} {
		if got, want := addressesOf(machine), map[string]string{"a": "1", "c": "2"}; !maps.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
		machine.Apply(Command{AddGateways: []string{"d"}, UnixMS: removedMS + gatewayAddressTTL.Milliseconds()})
		if got, want := addressesOf(machine), map[string]string{"c": "2"}; !maps.Equal(got, want) {
			t.Fatalf("after %v got %v, want %v", gatewayAddressTTL, got, want)
		}
	}
}

func TestGatewayAddressesAreBounded(t *testing.T) {
	m := NewMachine()
	for i := range maxGatewayAddresses + 1 {
		name := fmt.Sprint("g", i)
		m.Apply(Command{AddGateways: []string{name}, GatewayAddresses: map[string]string{name: fmt.Sprint("address-", i)}})
		if i > 0 {
			m.Apply(Command{RemoveGateways: []string{name}})
		}
	}
	if got := addressesOf(m); len(got) != 2 || got["g0"] == "" { // and that of the gateway that came when the bound was reached
		t.Fatalf("%d addresses are kept, want 2", len(got))
	}
}
