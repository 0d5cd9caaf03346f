package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// restorationWindow is the time over which the share of served requests is taken.
	restorationWindow = time.Second
	// minZoneRequests and minGatewayRequests are how many requests to a zone and to a gateway are needed to judge it.
	minZoneRequests    = 20
	minGatewayRequests = 5
	// minRestoredTime is the shortest undisturbed time, after service must be back, that is judged.
	minRestoredTime = 2 * time.Second
)

// Shares of requests served that mark the steps of a restoration.
const (
	halfServed = 0.5
	mostServed = 0.9
)

// Outcome is how a request of a caller ended.
type Outcome struct {
	SentAt  time.Duration
	Gateway string
	Zone    string
	Served  bool
	Reason  string // why it was not served
	Refused bool   // with 429 or 503
	Took    time.Duration
}

// stop is a period in which all processes were down, and the time until the next fault.
type stop struct {
	kind        Kind
	from, back  time.Duration
	until       time.Duration // start of the next fault of processes or links, or the end of the traffic
	leaderAfter time.Duration // from back until a leader was seen; 0 if none was
}

// Restoration is how service came back after all processes had stopped. Times count from their return; 0 stands for never.
type Restoration struct {
	Kind               Kind
	At                 time.Duration // of the return
	Leader             time.Duration // until a control process led with a valid lease
	First              time.Duration // until the first request was sent that was served
	Half, Most         time.Duration // until half, and nine in ten, of the requests of the next second were served
	HalfByZone         map[string]time.Duration
	Unserved           map[string]int // requests not served until Most, by reason
	Sent, Served       int            // requests sent from when service must be back to the next fault
	GatewaysNotServing []string       // gateways that served none of several requests in that time
	ServedByZone       map[string][2]int
}

// String returns the times in seconds.
func (r Restoration) String() string {
	return fmt.Sprintf("%s, back at %s: leader %s, first served %s, half %s, nine in ten %s; zones %s; unserved meanwhile %v",
		r.Kind, seconds(r.At), seconds(r.Leader), seconds(r.First), seconds(r.Half), seconds(r.Most), formatTimes(r.HalfByZone), r.Unserved)
}

func seconds(d time.Duration) string {
	if d <= 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f s", d.Seconds())
}

func formatTimes(times map[string]time.Duration) string {
	var parts []string
	for _, zone := range slices.Sorted(maps.Keys(times)) {
		parts = append(parts, zone+" "+seconds(times[zone]))
	}
	return strings.Join(parts, ", ")
}

// RecordStop records a period in which all processes are down and when the next fault begins.
func (w *Watcher) RecordStop(kind Kind, from, back, until time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops = append(w.stops, stop{kind: kind, from: from, back: back, until: until})
}

// RecordLeader records that a control process leads with a valid lease.
func (w *Watcher) RecordLeader(at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.stops {
		if s := &w.stops[i]; s.leaderAfter == 0 && at > s.back && at < s.until {
			s.leaderAfter = at - s.back
		}
	}
}

// RecordOutcome records how a request ended.
func (w *Watcher) RecordOutcome(outcome Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requestOutcomes = append(w.requestOutcomes, outcome)
}

// Restorations returns how service came back after each stop of all processes. Requests must be served again from recover
// after their return.
func (w *Watcher) Restorations(recover time.Duration) []Restoration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.restorations(recover)
}

// restorations is Restorations. The caller holds mu.
func (w *Watcher) restorations(recover time.Duration) []Restoration {
	slices.SortFunc(w.requestOutcomes, func(a, b Outcome) int { return int(a.SentAt - b.SentAt) })
	var results []Restoration
	for _, s := range w.stops {
		results = append(results, s.restoration(w.requestOutcomes, recover))
	}
	return results
}

func (s stop) restoration(outcomes []Outcome, recover time.Duration) Restoration {
	r := Restoration{Kind: s.kind, At: s.back, Leader: s.leaderAfter, HalfByZone: map[string]time.Duration{}, Unserved: map[string]int{}, ServedByZone: map[string][2]int{}}
	var after []Outcome
	zones := map[string][]Outcome{}
	for _, o := range outcomes {
		if o.SentAt >= s.back && o.SentAt < s.until {
			after = append(after, o)
			zones[o.Zone] = append(zones[o.Zone], o)
		}
	}
	if first := slices.IndexFunc(after, func(o Outcome) bool { return o.Served }); first >= 0 {
		r.First = after[first].SentAt - s.back
	}
	r.Half, r.Most = timeToShare(after, s.back, halfServed), timeToShare(after, s.back, mostServed)
	for zone, sent := range zones {
		r.HalfByZone[zone] = timeToShare(sent, s.back, halfServed)
	}
	for _, o := range after {
		if !o.Served && (r.Most == 0 || o.SentAt < s.back+r.Most) {
			r.Unserved[o.Reason]++
		}
	}
	r.countRestored(after, s.back+recover)
	return r
}

// timeToShare returns the time from back until the share of the requests of the next restorationWindow was served, or 0 if
// that was never so. outcomes are in the order in which the requests were sent.
func timeToShare(outcomes []Outcome, back time.Duration, share float64) time.Duration {
	served, end := 0, 0
	for i, o := range outcomes {
		for end < len(outcomes) && outcomes[end].SentAt < o.SentAt+restorationWindow {
			if outcomes[end].Served {
				served++
			}
			end++
		}
		if float64(served) >= share*float64(end-i) {
			return max(o.SentAt-back, 1)
		}
		if o.Served {
			served--
		}
	}
	return 0
}

// countRestored counts the requests that were sent when service had to be back.
func (r *Restoration) countRestored(outcomes []Outcome, from time.Duration) {
	gateways := map[string][2]int{}
	for _, o := range outcomes {
		if o.SentAt < from {
			continue
		}
		served := 0
		if o.Served {
			served = 1
		}
		r.Sent, r.Served = r.Sent+1, r.Served+served
		zone, gateway := r.ServedByZone[o.Zone], gateways[o.Gateway]
		r.ServedByZone[o.Zone] = [2]int{zone[0] + served, zone[1] + 1}
		gateways[o.Gateway] = [2]int{gateway[0] + served, gateway[1] + 1}
	}
	for _, gateway := range slices.Sorted(maps.Keys(gateways)) {
		if counts := gateways[gateway]; counts[0] == 0 && counts[1] >= minGatewayRequests {
			r.GatewaysNotServing = append(r.GatewaysNotServing, gateway)
		}
	}
}

// checkRestorations reports stops after which service was not back in time, in a zone or as a whole. The caller holds mu.
func (w *Watcher) checkRestorations() {
	for i, r := range w.restorations(w.RecoverTime) {
		if w.stops[i].until < r.At+w.RecoverTime+minRestoredTime {
			continue
		}
		if float64(r.Served) < w.minServed()*float64(r.Sent) {
			w.addViolation(ServiceRecovers, "%d of %d requests were served from %v after the return from %s at %v", r.Served, r.Sent, w.RecoverTime, r.Kind, r.At)
		}
		for _, zone := range slices.Sorted(maps.Keys(r.ServedByZone)) {
			if counts := r.ServedByZone[zone]; counts[1] >= minZoneRequests && float64(counts[0]) < w.minServed()*float64(counts[1]) {
				w.addViolation(ServiceRecovers, "%d of %d requests in %s were served from %v after the return from %s at %v", counts[0], counts[1], zone, w.RecoverTime, r.Kind, r.At)
			}
		}
		if len(r.GatewaysNotServing) > 0 {
			w.addViolation(ServiceRecovers, "%v served no request from %v after the return from %s at %v", r.GatewaysNotServing, w.RecoverTime, r.Kind, r.At)
		}
	}
}
