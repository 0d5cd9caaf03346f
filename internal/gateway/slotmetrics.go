package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"kitetiller/internal/events"
	"kitetiller/internal/gateway/slotqueue"
)

// slotCounts is the state of the queues of a service's back ends.
type slotCounts struct {
	slotqueue.Stats
	waiting int
	longest time.Duration // wait of the requests that wait now or were answered in the last windows
}

// counts returns the state of the queues by service.
func (d *slotDesk) counts(now time.Duration) map[string]slotCounts {
	d.mu.Lock()
	defer d.mu.Unlock()
	byService := map[string]slotCounts{}
	for service, stats := range d.removed {
		byService[service] = slotCounts{Stats: stats}
	}
	for _, s := range d.backEnds {
		s.recordWait(now, 0)
		waiting, longest := s.queue.Waiting(now)
		sum := byService[s.service]
		byService[s.service] = slotCounts{
			Stats: addStats(sum.Stats, s.queue.Stats()), waiting: sum.waiting + waiting, longest: max(sum.longest, longest, s.longestWaits[0], s.longestWaits[1]),
		}
	}
	return byService
}

// slotCollector collects the state of the queues of small services at the gateway that is their scheduler.
type slotCollector struct {
	gateway                               *Gateway
	waiting, longest, granted, rejections *prometheus.Desc
	invalid                               *prometheus.Desc
}

func newSlotCollector(g *Gateway) slotCollector {
	describe := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc("kitetiller_gateway_slot_"+name, help, []string{"service"}, nil)
	}
	return slotCollector{
		gateway: g,
		waiting: describe("requests_waiting", "Requests that wait here for a slot of a small service."),
		longest: describe("wait_longest_seconds", "Longest wait for a slot of the last 10 to 20 s."),
		granted: describe("granted_total", "Slots granted."), rejections: describe("rejected_total", "Requests for a slot rejected with a retry time."),
		invalid: describe("queue_values_invalid_total", "Absurd values in requests for slots and in reports of their ends; they change nothing."),
	}
}

// Describe implements prometheus.Collector.
func (c slotCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.waiting, c.longest, c.granted, c.rejections, c.invalid} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c slotCollector) Collect(out chan<- prometheus.Metric) {
	for service, counts := range c.gateway.slotDesk.counts(c.gateway.now()) {
		gauge := func(d *prometheus.Desc, value float64) {
			out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, service)
		}
		counter := func(d *prometheus.Desc, value int) {
			out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), service)
		}
		gauge(c.waiting, float64(counts.waiting))
		gauge(c.longest, counts.longest.Seconds())
		counter(c.granted, counts.Granted)
		counter(c.rejections, counts.Rejected)
		counter(c.invalid, counts.Invalid)
	}
}

// fields returns the log fields of a request that asked for a slot, or none.
func (t slotTrace) fields() []zap.Field {
	if t.source == "" {
		return nil
	}
	return []zap.Field{zap.String(events.FieldSlotSource, t.source), zap.Duration(events.FieldSlotWait, t.waited)}
}
