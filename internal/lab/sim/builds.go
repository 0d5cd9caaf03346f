package sim

import (
	"errors"
	"math/rand/v2"
	"time"

	"kitetiller/internal/consensus"
	"kitetiller/internal/level"
)

const (
	// newBuild is the feature level of the next build.
	newBuild = level.Current + 1
	// newBuildRatio is the share of starts with the newer build, in runs with mixed builds.
	newBuildRatio = 0.7
	// replaceInterval is the interval at which a control process is restarted with a random build, independently of the
	// faults, so that restarts happen before and after a level comes into force.
	replaceInterval = 4 * time.Second
	replaceDelay    = 50 * time.Millisecond // time to restart; it counts as a disturbance of control
	buildStream     = 18
	// levelRaiseGrace is how long an older build may have run when a level comes into force that it doesn't support: the
	// leader relies on a member's announced level for a second, and committing the entry takes time.
	levelRaiseGrace = 3 * time.Second
)

// raisedLevel is the feature level in force, as seen by the first process that applied it.
type raisedLevel struct {
	level   level.Level
	at      time.Duration
	members consensus.Membership
}

// planBuilds lets control processes run two builds in a quarter of all runs. It has its own random source, and other runs
// announce no level, so that they don't change.
func (w *world) planBuilds() {
	if w.seed/32%4 != 3 {
		return
	}
	w.buildRandom = rand.New(rand.NewPCG(w.seed, buildStream))
	for at := firstFault; at < lastFault; at += replaceInterval {
		w.after(at, w.replaceControl)
	}
}

// replaceControl restarts a random control process with a random build.
func (w *world) replaceControl() {
	n := w.controls[w.buildRandom.IntN(len(w.controls))]
	if !n.up || n.frozen {
		return
	}
	n.crash(false)
	w.restartControl(n, replaceDelay)
}

// drawBuild returns the random build with which a control process starts.
func (w *world) drawBuild() level.Level {
	switch {
	case w.buildRandom == nil && w.departures.random != nil:
		return level.Current
	case w.buildRandom == nil:
		return level.Unannounced
	case w.buildRandom.Float64() < newBuildRatio:
		return newBuild
	}
	return level.Current
}

// restartWithNewBuild restarts a control process that is too old for its data or for the group with the newer build.
func (n *controlNode) restartWithNewBuild(err error) {
	if !errors.Is(err, level.ErrTooOld) || n.build == newBuild {
		n.w.oracle.fail(BuildsCompatible, "%s of level %d: %v", n.name, n.build, err)
		return
	}
	n.w.logf("%s ends, too old: %v", n.name, err)
	n.build = newBuild
	n.crash(false)
	n.keepBuild = true
	n.w.restartControl(n, replaceDelay)
}

// checkBuild checks that a control process has no state above its build's level, and that no level came into force while
// a member ran that had announced a lower one.
func (n *controlNode) checkBuild() {
	if !n.up {
		return
	}
	current := n.replica.Machine().Level()
	if current > n.w.raised.level {
		n.w.raised = raisedLevel{current, n.w.now(), n.replica.Node().Membership()}
	}
	err := n.replica.Err()
	_, member := n.w.raised.members.Find(n.identity.ID)
	switch {
	case err != nil && member && n.startedAt+levelRaiseGrace < n.w.raised.at:
		n.w.oracle.fail(BuildsCompatible, "%s of level %d had run for %v when level %d came into force", n.name, n.build, n.w.raised.at-n.startedAt, n.w.raised.level)
	case err != nil:
		n.restartWithNewBuild(err)
	case current > n.build:
		n.w.oracle.fail(BuildsCompatible, "%s of level %d runs on a state of level %d", n.name, n.build, current)
	}
}
