package control

import (
	"time"

	"kitetiller/internal/consensus"
	"kitetiller/internal/level"
)

const (
	// levelStablePeriod is how long all members must announce a level before it comes into force. It leaves time to roll
	// back a member whose new build fails at start.
	levelStablePeriod = 5 * time.Second
	// levelReportTTL is how long an announced level counts, since the member may have stopped and may restart as another
	// build.
	levelReportTTL = time.Second
)

// reportedLevel is the level last announced by a member.
type reportedLevel struct {
	level level.Level
	at    time.Duration
}

// levelTracker holds a leader's view of the levels that the members support.
type levelTracker struct {
	reported    map[consensus.ID]reportedLevel
	common      level.Level   // highest level that all members support
	commonSince time.Duration // when common last changed
	proposed    level.Level   // highest level proposed by this leader
}

// Err returns why the replica has stopped, or nil while it runs. A stopped replica handles, writes and sends nothing.
func (r *Replica) Err() error { return r.stopErr }

// checkLevel records the level that a message announces. If the level in force is higher than this build supports, it
// stops the replica and returns false, before the message changes any state.
func (r *Replica) checkLevel(now time.Duration, message consensus.Message) bool {
	r.stopErr = r.config.Level.CheckSupports(message.InForce)
	if r.stopErr != nil {
		return false
	}
	if r.leader != nil {
		r.leader.levels.reported[message.From] = reportedLevel{message.Level, now}
	}
	return true
}

// raiseLevel proposes a higher level once all members have supported it for levelStablePeriod.
func (r *Replica) raiseLevel(now time.Duration) {
	l := &r.leader.levels
	if common := r.commonLevel(now); common != l.common {
		l.common, l.commonSince = common, now
	}
	if l.common > max(r.machine.level, l.proposed) && now-l.commonSince >= levelStablePeriod {
		l.proposed = l.common
		r.propose(now, 0, Command{Level: l.common})
	}
}

// commonLevel returns the highest level that all members support, or level 0 if one of them has not announced its level
// within levelReportTTL.
func (r *Replica) commonLevel(now time.Duration) level.Level {
	common := r.config.Level
	for _, member := range r.node.Membership().Members {
		if member.ID == r.config.ID {
			continue
		}
		last := r.leader.levels.reported[member.ID]
		if now-last.at > levelReportTTL {
			return level.Unannounced
		}
		common = min(common, last.level)
	}
	return common
}

// memberLevel returns the level last announced by a member.
func (r *Replica) memberLevel(id consensus.ID) level.Level {
	switch {
	case id == r.config.ID:
		return r.config.Level
	case r.leader == nil:
		return level.Unannounced
	}
	return r.leader.levels.reported[id].level
}

// stampLevel sets the announced level and the level in force on outgoing messages.
func (r *Replica) stampLevel(messages []consensus.Message) []consensus.Message {
	for i := range messages {
		messages[i].Level, messages[i].InForce = r.config.Level, r.machine.level
	}
	return messages
}

// highestLevel returns the highest level found in the state and in the given entries. Uncommitted entries count too,
// since they may still commit.
func (m *Machine) highestLevel(entries []consensus.Entry) level.Level {
	highest := m.level
	for _, entry := range entries {
		highest = max(highest, levelOf(entry))
	}
	return highest
}
