package catalog

import "time"

// LatencyCriticalObjective is the longest objective of a latency-critical service. Below it, an error of 100 to 200 ms
// in a predicted wait, about one long prompt, decides between an answer on time and a late one.
const LatencyCriticalObjective = 500 * time.Millisecond

// Offer holds optional features of a service's back ends. In the zero value there are none.
type Offer struct {
	KeepsCopies  bool          `json:"keeps_copies,omitempty"`  // an engine can keep a copy of a run at another one
	EventTokens  int           `json:"event_tokens,omitempty"`  // output tokens that one stream event carries; 0 if unknown
	CacheReaders int           `json:"cache_readers,omitempty"` // concurrent requests for cache events that a back end answers; 0 if unknown
	CopyTTL      time.Duration `json:"copy_ttl_ns,omitempty"`   // how long a copy outlives the last part of a run that broke off
}

// LatencyCritical reports whether a service of engines has a streaming route with an objective of at most
// LatencyCriticalObjective.
func (d *Document) LatencyCritical(service string) bool {
	if known, ok := d.Service(service); !ok || !known.Engine {
		return false
	}
	for i := range d.Routes {
		route := &d.Routes[i]
		if !route.Streaming || route.Objective <= 0 || route.Objective > LatencyCriticalObjective {
			continue
		}
		for _, target := range route.Targets {
			if target.Service == service && target.Weight > 0 {
				return true
			}
		}
	}
	return false
}
