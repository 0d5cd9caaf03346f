package node

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Startup records when a process first reached each stage on the way to service. It is a prometheus.Collector and safe for
// concurrent use.
type Startup struct {
	descriptions []*prometheus.Desc
	reached      []atomic.Int64 // nanoseconds since the start of the process; 0 until the stage is reached
}

// NewStartup returns a Startup with a metric PREFIX_NAME_seconds for each stage. Stages are known by their indexes in names.
func NewStartup(prefix string, names ...string) *Startup {
	s := &Startup{reached: make([]atomic.Int64, len(names))}
	for _, name := range names {
		help := "Time from the start of the process until it first reached the stage " + name + "; -1 before."
		s.descriptions = append(s.descriptions, prometheus.NewDesc(prefix+"_"+name+"_seconds", help, nil, nil))
	}
	return s
}

// Record records that a stage is reached, and reports whether it is the first time.
func (s *Startup) Record(stage int, sinceStart time.Duration) (first bool) {
	if s.reached[stage].Load() != 0 {
		return false
	}
	return s.reached[stage].CompareAndSwap(0, max(1, int64(sinceStart)))
}

// At returns when a stage was reached, since the start of the process, or 0 if it isn't.
func (s *Startup) At(stage int) time.Duration { return time.Duration(s.reached[stage].Load()) }

// Describe implements prometheus.Collector.
func (s *Startup) Describe(out chan<- *prometheus.Desc) {
	for _, description := range s.descriptions {
		out <- description
	}
}

// Collect implements prometheus.Collector.
func (s *Startup) Collect(out chan<- prometheus.Metric) {
	for stage, description := range s.descriptions {
		value := -1.0
		if at := s.At(stage); at > 0 {
			value = at.Seconds()
		}
		out <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value)
	}
}
