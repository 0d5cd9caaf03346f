package mechanism

import (
	"slices"
	"strings"
	"testing"
)

// TestWithoutDisablesMechanismsByName checks that all mechanisms are enabled by default and that the error for an
// unknown name lists the known ones.
func TestWithoutDisablesMechanismsByName(t *testing.T) {
	none, err := Without("")
	if err != nil || len(none.Off()) > 0 {
		t.Fatalf("disabled %v, error %v", none.Off(), err)
	}
	set, err := Without(" lanes,mesh,lanes")
	if err != nil || !slices.Equal(set.Off(), []string{"lanes", "mesh"}) {
		t.Fatalf("disabled %v, error %v", set.Off(), err)
	}
	for _, name := range All() {
		if set.On(name) != (name != Lanes && name != GatewayMesh) || !none.On(name) {
			t.Errorf("%s is enabled: %v", name, set.On(name))
		}
	}
	_, err = Without("lanes,brakes")
	for _, name := range append(All(), "brakes") {
		if err == nil || !strings.Contains(err.Error(), string(name)) {
			t.Fatalf("error does not contain %q: %v", name, err)
		}
	}
}
