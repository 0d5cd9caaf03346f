package gateway

import (
	"fmt"
	"slices"
	"testing"
)

// Each replica of a zone is the first choice of about as many gateways, a failed one is moved last, and one that
// returns does not replace one that answers.
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
			t.Fatalf("%s failed and is not last: %v", first, n.addresses)
		}
		second, _ := n.first()
		n.update(slices.DeleteFunc(slices.Clone(replicas), func(a string) bool { return a == first }))
		if n.update(replicas); n.addresses[0] != second {
			t.Fatalf("%s returned and is asked instead of %s", n.addresses[0], second)
		}
	}
	for address, count := range asked {
		if count < 40 || count > 130 {
			t.Fatalf("%s is the first choice of %d of 400 gateways, want 40 to 130", address, count)
		}
	}
	n := newNearbyReplicas("g")
	if _, any := n.first(); any {
		t.Fatal("a replica is returned before control listed any")
	}
}
