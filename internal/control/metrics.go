package control

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics returns a registry with the metrics of this replica.
func (s *Server) Metrics() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "kitetiller_control_" + name, Help: help}, value)
	}
	registry.MustRegister(
		s.startup,
		gauge("leads", "1 while this replica leads.", func() float64 {
			if s.leading() {
				return 1
			}
			return 0
		}),
		gauge("syncs_total", "Writes that were synced.", func() float64 { return float64(s.syncs.Count.Load()) }),
		gauge("sync_seconds_total", "Time spent in them.", func() float64 { return float64(s.syncs.Nanoseconds.Load()) / 1e9 }),
		gauge("slow_syncs_total", "Writes without a checkpoint that took 100 ms or longer.", func() float64 { return float64(s.usage.slowSyncs.Load()) }),
		gauge("undecided_elections_total", "Elections in which this replica stood and nobody won.", func() float64 { return float64(s.usage.undecidedElections.Load()) }),
		gauge("quorum_round_trip_seconds", "Round trip from this leader to the voters that make a quorum with it first; 0 on other replicas.", func() float64 { return time.Duration(s.usage.roundTrip.Load()).Seconds() }),
		gauge("vote_silence_seconds", "For how long this leader asks voters to reject votes after its messages, if round trips need more than usual; 0 otherwise.", func() float64 { return time.Duration(s.usage.silence.Load()).Seconds() }),
		gauge("losses_borne", "How many voters may lose their disks now without the group losing its majority; -1 on a replica that doesn't lead with a valid lease.", func() float64 { return float64(s.usage.lossesBorne.Load()) }),
		gauge("log_disk_bytes", "Size of the newest log segment on disk.", func() float64 { return float64(s.usage.segment.Load()) }),
		gauge("log_memory_bytes", "Size of the log entries held in memory.", func() float64 { return float64(s.usage.entries.Load()) }),
		gauge("snapshot_bytes", "Size of the newest snapshot of the replicated state.", func() float64 { return float64(s.usage.snapshot.Load()) }),
		gauge("checkpoints_total", "Checkpoints that replaced the log on disk.", func() float64 { return float64(s.usage.checkpoints.Load()) }),
		gauge("storage_failures_total", "Failed writes to the data folder, after which it was opened again.", func() float64 { return float64(s.usage.storageFailures.Load()) }),
		gauge("contested_deregistrations_total", "Deregistrations by name, while this replica led, that may have come from an earlier incarnation.", func() float64 { return float64(s.usage.contested.Load()) }),
		gauge("reinstated_instances_total", "Instances that such a deregistration had removed and whose heartbeats proved that they are alive.", func() float64 { return float64(s.usage.reinstated.Load()) }),
		gauge("input_bytes", "Size of the requests that wait for the deciding thread.", func() float64 { return float64(s.queuedBytes.Load()) }),
		gauge("input_ring", "Inputs that wait for the deciding thread.", func() float64 { return float64(len(s.inputs)) }),
	)
	return registry
}
