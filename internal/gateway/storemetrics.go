package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"kitetiller/internal/gateway/storeindex"
)

// storeMetrics holds the metrics of the store index. Placements are counted by the gateway that makes them.
type storeMetrics struct {
	copies *prometheus.CounterVec // by service and source
	gaps   *prometheus.CounterVec // by service and reason
	saves  *prometheus.CounterVec // by service and outcome
}

func newStoreMetrics(registry *prometheus.Registry, g *Gateway) *storeMetrics {
	counter := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "kitetiller_gateway_" + name, Help: help}, []string{"service", label})
	}
	m := &storeMetrics{
		copies: counter("store_copies_total", "Placements at engines that lack shared parts, by where these are copied from.", "source"),
		gaps:   counter("store_gaps_total", "Placements whose shared parts are not fetched from the store, by reason.", "reason"),
		saves:  counter("store_saves_total", "Placements by whether the shared parts are saved in the store, or why not.", "outcome"),
	}
	registry.MustRegister(m.copies, m.gaps, m.saves, newStoreCollector(g))
	return m
}

// record counts a placement that the store index planned.
func (m *storeMetrics) record(placed *candidate) {
	service := placed.row.entry.Service
	if placed.copySource != copyUnplanned {
		m.copies.WithLabelValues(service, placed.copySource.String()).Inc()
	}
	if placed.storeGap != storeGapNone {
		m.gaps.WithLabelValues(service, placed.storeGap.String()).Inc()
	}
	if placed.storeSave != storeindex.SaveUnplanned {
		m.saves.WithLabelValues(service, placed.storeSave.String()).Inc()
	}
}

// storeCollector collects what is known of the stores, by the name of their service.
type storeCollector struct {
	gateway                *Gateway
	parts, silent, ignored *prometheus.Desc
}

func newStoreCollector(g *Gateway) storeCollector {
	return storeCollector{
		g,
		prometheus.NewDesc("kitetiller_gateway_store_parts", "Parts that a store is known to hold.", []string{"service"}, nil),
		prometheus.NewDesc("kitetiller_gateway_store_silent", "1 if a store whose contents were read has not been heard from for 4 s.", []string{"service"}, nil),
		prometheus.NewDesc("kitetiller_gateway_store_reports_ignored_total", "Reports of stores' contents that changed nothing, by cause.", []string{"cause"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (s storeCollector) Describe(out chan<- *prometheus.Desc) {
	out <- s.parts
	out <- s.silent
	out <- s.ignored
}

// Collect implements prometheus.Collector.
func (s storeCollector) Collect(out chan<- prometheus.Metric) {
	t := s.gateway.table
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if current := s.gateway.view.Load(); current != nil {
		for _, store := range current.stores {
			state := t.stores.State(s.gateway.now(), store.StoreAddress)
			if state == storeindex.Unread {
				continue
			}
			silent := 0.0
			if state == storeindex.Silent {
				silent = 1
			}
			out <- prometheus.MustNewConstMetric(s.parts, prometheus.GaugeValue, float64(t.stores.Parts(store.StoreAddress)), store.Name)
			out <- prometheus.MustNewConstMetric(s.silent, prometheus.GaugeValue, silent, store.Name)
		}
	}
	counts := t.stores.Counts()
	for cause, count := range map[string]uint64{"stale": counts.Stale, "invalid": counts.Invalid} {
		if count > 0 { // deployments without stores have no such metric
			out <- prometheus.MustNewConstMetric(s.ignored, prometheus.CounterValue, float64(count), cause)
		}
	}
}
