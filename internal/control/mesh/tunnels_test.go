package mesh

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// Each gateway is given peers that open tunnels, of its own zone and of the others, itself excepted. Gateways of builds
// without tunnels are given to none.
func TestGatewaysAreGivenPeersForTunnels(t *testing.T) {
	var gateways []Gateway
	for number := range 120 {
		g := Gateway{Peer: Peer{Name: fmt.Sprint("g", number), Address: fmt.Sprint("10.0.0.", number, ":1")}, Zone: fmt.Sprint("z", number%3)}
		if number >= 10 {
			g.Tunnel = fmt.Sprintf("%s.%d:2", g.Zone, number)
		}
		gateways = append(gateways, g)
	}
	var planner Planner
	planner.Plan(0, gateways)
	layout, _ := planner.Layout()
	given := map[string]int{}
	for _, g := range gateways {
		mesh := layout.MeshOf(g.Zone, g.Name)
		if len(mesh.Tunnels) != maxTunnelsOwnZone || len(mesh.OtherTunnels) != 2*maxTunnelsOtherZone {
			t.Fatalf("%s is given %v and %v", g.Name, mesh.Tunnels, mesh.OtherTunnels)
		}
		for _, address := range slices.Concat(mesh.Tunnels, mesh.OtherTunnels) {
			given[address]++
			if own := strings.HasPrefix(address, g.Zone+"."); address == g.Tunnel || own != slices.Contains(mesh.Tunnels, address) {
				t.Fatalf("%s is given %v and %v", g.Name, mesh.Tunnels, mesh.OtherTunnels)
			}
		}
	}
	if len(given) != 3*maxTunnelPeersOfZone {
		t.Errorf("%d gateways are given, want %d", len(given), 3*maxTunnelPeersOfZone)
	}
	for address, count := range given {
		if count > 3*120*(maxTunnelsOwnZone+2*maxTunnelsOtherZone)/len(given) {
			t.Errorf("%s is given to %d gateways", address, count)
		}
	}
}
