package catalog

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"
)

// TestGatewayAddressesOutliveSilence: the addresses of gateways that stopped polling are kept, also in snapshots, since these may be
// unable to find the leader; an address belongs to the gateway that had it last.
func TestGatewayAddressesOutliveSilence(t *testing.T) {
	m := NewMachine()
	m.Apply(Command{AddGateways: []string{"a", "b"}, GatewayAddresses: map[string]string{"a": "1", "b": "2"}})
	m.Apply(Command{RemoveGateways: []string{"a"}})
	m.Apply(Command{AddGateways: []string{"c"}, GatewayAddresses: map[string]string{"c": "2"}})
	want := map[string]string{"a": "1", "c": "2"}
	data, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	restored := NewMachine()
	if err := json.Unmarshal(data, restored); err != nil {
		t.Fatal(err)
	}
	for _, machine := range []*Machine{m, restored} {
		if got := machine.GatewayAddresses(); !maps.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
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
	if got := m.GatewayAddresses(); len(got) != 2 || got["g0"] == "" { // and the one that polled when the bound was reached
		t.Fatalf("%d addresses are kept, want 2", len(got))
	}
}
