package gateway

import (
	"fmt"
	"slices"
	"testing"
)

// TestGatewaysSpreadOverNearbyReplicas: each replica of a zone answers about as many, who fails is asked last, and one that comes back takes
// nobody away from those that answer.
func TestGatewaysSpreadOverNearbyReplicas(t *testing.T) {
	replicas := []string{"10.0.0.1:7340", "10.0.0.2:7340", "10.0.0.3:7340", "10.0.0.4:7340", "10.0.0.5:7340"}
	asked := map[string]int{}
	for i := range 400 {
		n := newNearbyReplicas(fmt.Sprint("g-", i))
		n.update(replicas)
		first, _ := n.first()
		asked[first]++
		n.demoteFirst()
		if n.update(replicas); n.addresses[0] == first || n.addresses[4] != first {
			t.Fatalf("after %s failed the order is %v", first, n.addresses)
		}
		second, _ := n.first()
		n.update(slices.DeleteFunc(slices.Clone(replicas), func(a string) bool { return a == first }))
		if n.update(replicas); n.addresses[0] != second {
			t.Fatalf("%s came back and is asked instead of %s", n.addresses[0], second)
		}
	}
	for address, count := range asked {
		if count < 40 || count > 130 {
			t.Fatalf("%s is asked by %d of 400 gateways", address, count)
		}
	}
	n := newNearbyReplicas("g")
	if _, any := n.first(); any {
		t.Fatal("there is somebody to ask before control has named one")
	}
}
