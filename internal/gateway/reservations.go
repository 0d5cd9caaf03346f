package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"kitetiller/internal/admission"
	"kitetiller/internal/admission/reservation"
	"kitetiller/internal/events"
	"kitetiller/internal/gateway/belief"
)

// reservationController returns the reservations of a latency-critical service. The caller holds the mutex.
func (t *table) reservationController(service string) *reservation.Controller {
	controller := t.reservations[service]
	if controller == nil {
		controller = &reservation.Controller{}
		t.reservations[service] = controller
	}
	return controller
}

// decideReservation decides whether a request to a latency-critical service is rejected, and records the decision in the
// candidate.
func (t *table) decideReservation(now time.Duration, chosen *candidate, in selectionInput, req admission.Request) (retryAfter time.Duration, rejected bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	rejections := t.admissionController(in.service.Name) // those that other schedulers announced
	rejectedBefore := rejections.RejectedBefore(now, req.Key)
	reading := t.prefillEstimate(in.service.Name).TimeToFirstEvent(chosen.uncached)
	if own := chosen.prefillToFirstEvent(); own > 0 {
		reading = belief.FromMilliseconds(own)
	}
	chosen.reserved = t.reservationController(in.service.Name).Decide(now, reservation.Request{
		Key: reservationKey(in.tenantName, req.Key), Tenant: in.tenantName, Priority: req.Priority, Wait: req.PredictedWait, Objective: req.Objective, TimeLeft: in.timeLeft,
		Reading: reading, Tokens: chosen.uncached, Random: req.Random,
		RejectedBefore: rejectedBefore,
	})
	if !chosen.reserved.Rejected {
		if rejectedBefore {
			rejections.ForgetRejection(req.Key)
		}
		return 0, false
	}
	return roundUpToMS(chosen.reserved.RetryAfter), true
}

// reservationKey returns the key of a request's place: tenants may send the same prompt, and keep places of their own.
func reservationKey(tenant, key string) string {
	if key == "" {
		return ""
	}
	return tenant + "\x00" + key
}

// roundUpToMS rounds up to milliseconds, the resolution of messages, so that callers don't return before their place.
func roundUpToMS(d time.Duration) time.Duration {
	return (d + time.Millisecond - 1).Truncate(time.Millisecond)
}

// observeRead records for the reservations of a service how long a request waited before its prefill started, compared
// with the predicted milliseconds, and that its prompt was read. own is the predicted time from the start of its prefill
// to its first event, or 0 if an engine's queue did not forecast it. A request without a first event waited at least as
// long as it stayed. It is to be called once for each placement.
func (t *table) observeRead(now time.Duration, service string, priority int, predicted, own float64, uncached int, first, stayed time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	controller := t.reservations[service]
	if controller == nil {
		return
	}
	predictedWait := belief.FromMilliseconds(predicted)
	if first <= 0 {
		controller.ObserveStay(now, priority, predictedWait, stayed)
		return
	}
	reading := t.prefillEstimate(service).TimeToFirstEvent(uncached)
	if own > 0 {
		reading = belief.FromMilliseconds(own)
	}
	controller.ObserveWait(now, priority, predictedWait, max(0, first-reading))
	controller.ObserveRead(now, uncached)
}

// setReserved adds a decision to a reply.
func (r *wirePlacementReply) setReserved(d reservation.Decision) {
	r.Rejection, r.Return, r.HasPlace = string(d.Reason), string(d.Return), d.HasPlace
}

// reserved returns the decision in a reply, without values that this build doesn't know.
func (r *wirePlacementReply) reserved() reservation.Decision {
	d := reservation.Decision{HasPlace: r.HasPlace, Reason: reservation.Reason(r.Rejection), Return: reservation.Return(r.Return)}
	if !d.Reason.Known() {
		d.Reason = ""
	}
	if !d.Return.Known() {
		d.Return = reservation.ReturnNone
	}
	return d
}

// reservationFields returns the log fields of the decision on a request to a latency-critical service.
func (x *exchange) reservationFields() (fields []zap.Field) {
	if x.placement == nil {
		return nil
	}
	d := x.placement.reserved
	if d.Reason != "" {
		fields = append(fields, zap.String(events.FieldRejectionCause, string(d.Reason)))
	}
	if d.HasPlace {
		fields = append(fields, zap.Bool(events.FieldHasPlace, true))
	}
	if d.Return != reservation.ReturnNone {
		fields = append(fields, zap.String(events.FieldReturn, string(d.Return)))
	}
	return fields
}

// reservationMetrics collects the decisions and places of each latency-critical service.
type reservationMetrics struct {
	gateway                                         *Gateway
	decisions, returns, places, outstanding, faults *prometheus.Desc
}

func newReservationMetrics(g *Gateway) reservationMetrics {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("kitetiller_gateway_reservation_"+name, help, append([]string{"service"}, labels...), nil)
	}
	return reservationMetrics{
		g,
		describe("decisions_total", "Decisions on requests to a latency-critical service: admitted, or the cause of the rejection.", "decision"),
		describe("returns_total", "Requests that returned after a rejection, by what they had.", "kind"),
		describe("places_total", "Places given, taken and lapsed.", "state"),
		describe("places", "Places that are kept now."),
		describe("faults_total", "Values that were clamped or dropped, and rejections beyond the bound of records.", "fault"),
	}
}

// Describe implements prometheus.Collector.
func (m reservationMetrics) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{m.decisions, m.returns, m.places, m.outstanding, m.faults} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (m reservationMetrics) Collect(out chan<- prometheus.Metric) {
	for service, counts := range m.gateway.table.reservationCounts() {
		count := func(d *prometheus.Desc, value uint64, label string) {
			out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), service, label)
		}
		count(m.decisions, counts.Admitted, "admitted")
		for reason, n := range counts.ByReason {
			count(m.decisions, n, string(reason))
		}
		for kind, n := range counts.ByReturn {
			count(m.returns, n, string(kind))
		}
		count(m.places, counts.Placed, "given")
		count(m.places, counts.Taken, "taken")
		count(m.places, counts.Lapsed, "lapsed")
		count(m.faults, counts.Invalid, "invalid")
		count(m.faults, counts.RecordsFull, "records-full")
		out <- prometheus.MustNewConstMetric(m.outstanding, prometheus.GaugeValue, float64(counts.Outstanding), service)
	}
}

// reservationCounts returns the totals by service.
func (t *table) reservationCounts() map[string]reservation.Counts {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts := map[string]reservation.Counts{}
	for service, controller := range t.reservations {
		counts[service] = controller.Counts()
	}
	return counts
}
