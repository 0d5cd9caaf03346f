package node

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// A stage keeps the time at which it was first reached, and is shown as -1 before.
func TestStartupKeepsFirstTimes(t *testing.T) {
	s := NewStartup("startup", "first", "second")
	if !s.Record(0, 2*time.Second) || s.Record(0, 5*time.Second) || s.At(0) != 2*time.Second || s.At(1) != 0 {
		t.Fatalf("stages at %v and %v, want 2s and none", s.At(0), s.At(1))
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(s)
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]float64{}
	for _, family := range families {
		values[family.GetName()] = family.Metric[0].Gauge.GetValue()
	}
	if values["startup_first_seconds"] != 2 || values["startup_second_seconds"] != -1 {
		t.Fatalf("metrics %v, want 2 and -1", values)
	}
}
