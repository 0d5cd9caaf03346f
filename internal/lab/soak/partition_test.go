package soak

import (
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// A partition strikes the gateways that its fault names: a number of them, those of whole zones, or half.
func TestPartitionedGateways(t *testing.T) {
	fleet := &Fleet{Zone: func(name string) string { return string(name[0]) }}
	for _, name := range []string{"a0", "b1", "c2", "a3", "b4", "c5"} {
		fleet.Gateways = append(fleet.Gateways, &Process{Name: name})
	}
	for _, c := range []struct {
		fault Fault
		want  []string
	}{
		{Fault{Target: 5}, []string{"c5", "a0", "b1"}},
		{Fault{Target: 2, Gateways: 1}, []string{"c2"}},
		{Fault{Gateways: 9}, []string{"a0", "b1", "c2", "a3", "b4", "c5"}},
		{Fault{Target: 1, Zones: 1}, []string{"b1", "b4"}},
		{Fault{Target: 5, Zones: 2}, []string{"a0", "c2", "a3", "c5"}},
	} {
		if got := fleet.PartitionedGateways(c.fault); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%+v: %v, want %v", c.fault, got, c.want)
		}
	}
}

// Drawn cuts are reproducible and strike one gateway, parts of the fleet and whole zones, alone and beside other faults.
func TestGeneratedCutsVary(t *testing.T) {
	const seeds, gateways = 200, 16
	shape := Shape{Zones: 4, Direct: true}
	seen := map[string]int{}
	for seed := range uint64(seeds) {
		plan := GenerateCuts(seed, gateways, shape)
		if !reflect.DeepEqual(plan, GenerateCuts(seed, gateways, shape)) {
			t.Fatalf("seed %d yields two plans", seed)
		}
		path := filepath.Join(t.TempDir(), "plan.json")
		if err := plan.Write(path); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(path); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for _, fault := range plan.Faults {
			switch {
			case !fault.Kind.Partitions():
				seen["beside"]++
			case fault.Zones > 0:
				seen["zones"]++
			case fault.Gateways == 1:
				seen["one"]++
			case fault.Gateways > gateways/2:
				seen["most"]++
			default:
				seen["half"]++
			}
		}
	}
	for _, what := range []string{"beside", "zones", "one", "most", "half"} {
		if seen[what] < seeds/10 {
			t.Errorf("%d of %d plans strike %s", seen[what], seeds, what)
		}
	}
}

// A partition during which only one side got requests is reported as not judged.
func TestPartitionWithoutRequestsIsNotJudged(t *testing.T) {
	w := NewWatcher(time.Second, time.Second)
	w.RecordPartition(0, 10*time.Second, []string{"cut"})
	w.RecordRequest("r", false)
	w.RecordSent(5*time.Second, "r", Sender{Name: "other"})
	if result := w.PartitionResults()[0]; result.IsJudged() || !strings.Contains(result.String(), "not judged") {
		t.Errorf("result is %v", result)
	}
}
