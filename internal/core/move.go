package core

import (
	"slices"

	"kitetiller/internal/prefix"
)

// maxSweepPerTick bounds the beliefs looked at in one tick, so that sweeping never delays a decision much.
const maxSweepPerTick = 16

// runIndexMaintenance asks for cache snapshots after gaps and sweeps old beliefs.
func (c *Core) runIndexMaintenance() {
	c.snapshotsWanted = slices.DeleteFunc(c.snapshotsWanted, func(id prefix.EngineID) bool { return !c.backends[id].needsSnapshot })
	for _, id := range c.snapshotsWanted {
		row := &c.backends[id]
		if c.now >= row.snapshotRequestedAt+snapshotRetryInterval && row.state == BackendReady {
			row.snapshotRequestedAt = c.now
			c.emit(ActionRequestSnapshot{Backend: row.machine.Name, Address: row.machine.Address})
		}
	}
	c.index.Sweep(c.now, maxSweepPerTick)
}
