package catalog

import (
	"testing"
	"time"
)

// Guards against changing how services are served whose objectives leave room for an inexact prediction, and against
// counting routes that send nothing to the service.
func TestLatencyCriticalNeedsAShortStreamingObjective(t *testing.T) {
	route := func(service string, objective time.Duration, streaming bool, weight int) Route {
		return Route{Streaming: streaming, Objective: objective, Targets: []Target{{Service: service, Weight: weight}}}
	}
	for name, c := range map[string]struct {
		routes []Route
		want   bool
	}{
		"short":                 {[]Route{route("engines", 800*time.Millisecond, true, 1), route("engines", 500*time.Millisecond, true, 1)}, true},
		"long":                  {[]Route{route("engines", 501*time.Millisecond, true, 1)}, false},
		"none":                  {[]Route{route("engines", 0, true, 1)}, false},
		"not streaming":         {[]Route{route("engines", 300*time.Millisecond, false, 1)}, false},
		"of another service":    {[]Route{route("desk", 300*time.Millisecond, true, 1)}, false},
		"without weight":        {[]Route{route("engines", 300*time.Millisecond, true, 0)}, false},
		"of an unknown service": {[]Route{route("gone", 300*time.Millisecond, true, 1)}, false},
		"no route":              {nil, false},
	} {
		document := Document{Services: []Service{{Name: "engines", Engine: true}, {Name: "desk"}}, Routes: c.routes}
		if got := document.LatencyCritical("engines"); got != c.want {
			t.Errorf("%s: latency-critical %v, want %v", name, got, c.want)
		}
		if document.LatencyCritical("desk") || document.LatencyCritical("gone") {
			t.Errorf("%s: a service without engines is latency-critical", name)
		}
	}
}
