package sim

import (
	"errors"
	"math/rand/v2"
	"time"

	"kitetiller/internal/consensus"
	"kitetiller/internal/level"
)

const (
	// newBuild is what this build's successor will know.
	newBuild = level.Current + 1
	// newBuildRatio is how often a start takes the newer of two builds, where both are played.
	newBuildRatio = 0.7
	// replaceInterval is how often a control process is ended to come back as one of both builds, beside all faults: several times before a level
	// comes into force, and after it.
	replaceInterval = 4 * time.Second
	replaceDelay    = 50 * time.Millisecond // how long that takes; it counts as trouble of control like every other end of one of its processes
	buildStream     = 18
	// levelRaiseGrace is how long a build may have run when a level comes into force that it doesn't know: the leader takes a member's word for a second,
	// and the entry takes a moment.
	levelRaiseGrace = 3 * time.Second
)

// raisedLevel is the level in force, as the first process that holds it sees it.
type raisedLevel struct {
	level   level.Level
	at      time.Duration
	members consensus.Membership
}

// planBuilds lets control processes run two builds in a quarter of all runs. Its chances are its own, and the other runs tell no level, so that they
// are as they were without it.
func (w *world) planBuilds() {
	if w.seed/32%4 != 3 {
		return
	}
	w.buildRandom = rand.New(rand.NewPCG(w.seed, buildStream))
	for at := firstFault; at < lastFault; at += replaceInterval {
		w.after(at, w.replaceControl)
	}
}

// replaceControl ends a control process that comes back as one of both builds.
func (w *world) replaceControl() {
	n := w.controls[w.buildRandom.IntN(len(w.controls))]
	if !n.up || n.frozen {
		return
	}
	n.crash(false)
	w.restartControl(n, replaceDelay)
}

// drawBuild returns the build that a control process starts as.
func (w *world) drawBuild() level.Level {
	switch {
	case w.buildRandom == nil:
		return level.Unannounced
	case w.buildRandom.Float64() < newBuildRatio:
		return newBuild
	}
	return level.Current
}

// restartWithNewBuild lets a control process that is too old for its own files, or for the group, come back as the newer build.
func (n *controlNode) restartWithNewBuild(err error) {
	if !errors.Is(err, level.ErrTooOld) || n.build == newBuild {
		n.w.oracle.fail(BuildsCompatible, "%s of level %d: %v", n.name, n.build, err)
		return
	}
	n.w.logf("%s ends, too old: %v", n.name, err)
	n.build = newBuild
	n.crash(false)
	n.keepsBuild = true
	n.w.restartControl(n, replaceDelay)
}

// checkBuild checks a control process after its work: it holds nothing that its build doesn't know, and no level comes into force under one that has
// told a lower one.
func (n *controlNode) checkBuild() {
	if !n.up {
		return
	}
	held := n.replica.Machine().Level()
	if held > n.w.raised.level {
		n.w.raised = raisedLevel{held, n.w.now(), n.replica.Node().Membership()}
	}
	err := n.replica.Err()
	_, member := n.w.raised.members.Find(n.identity.ID)
	switch {
	case err != nil && member && n.startedAt+levelRaiseGrace < n.w.raised.at:
		n.w.oracle.fail(BuildsCompatible, "%s of level %d had run for %v when level %d came into force", n.name, n.build, n.w.raised.at-n.startedAt, n.w.raised.level)
	case err != nil:
		n.restartWithNewBuild(err)
	case held > n.build:
		n.w.oracle.fail(BuildsCompatible, "%s of level %d runs on a state of level %d", n.name, n.build, held)
	}
}
