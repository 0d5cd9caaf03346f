package control

import (
	"time"

	"kitetiller/internal/consensus"
	"kitetiller/internal/level"
)

const (
	// levelStablePeriod is how long all members must have told a level before it comes into force: a member that is replaced by an older build again, as
	// its start may show, does so sooner.
	levelStablePeriod = 5 * time.Second
	// levelReportTTL is how long a member's word counts: it may have ended, and start as another build.
	levelReportTTL = time.Second
)

// reportedLevel is what a member last told of its build.
type reportedLevel struct {
	level level.Level
	at    time.Duration
}

// levelTracker is what a leader knows of the members' builds.
type levelTracker struct {
	reported    map[consensus.ID]reportedLevel
	common      level.Level   // that all members tell, since a time
	commonSince time.Duration // of common
	proposed    level.Level   // the highest that this leader has put into the log
}

// Err returns why this replica takes, writes and sends nothing more, or nil while it goes on.
func (r *Replica) Err() error { return r.stopErr }

// checkLevel notes what a message tells of its sender's build. It is false, and the replica ends, if this build is too old for the group: before
// anything of the message is taken, so that the replica's files stay as they are.
func (r *Replica) checkLevel(now time.Duration, message consensus.Message) bool {
	r.stopErr = r.config.Level.Knows(message.InForce)
	if r.stopErr != nil {
		return false
	}
	if r.leader != nil {
		r.leader.levels.reported[message.From] = reportedLevel{message.Level, now}
	}
	return true
}

// raiseLevel raises the level in force once all members have told a higher one for a while.
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

// commonLevel returns the level that every member knows, as far as they told it lately.
func (r *Replica) commonLevel(now time.Duration) level.Level {
	common := r.config.Level
	for _, member := range r.node.Membership().Members {
		if member.ID == r.config.ID {
			continue
		}
		last := r.leader.levels.reported[member.ID]
		if now-last.at > levelReportTTL {
			return level.Untold
		}
		common = min(common, last.level)
	}
	return common
}

// memberLevel returns the level that a member told last, for operators.
func (r *Replica) memberLevel(id consensus.ID) level.Level {
	switch {
	case id == r.config.ID:
		return r.config.Level
	case r.leader == nil:
		return level.Untold
	}
	return r.leader.levels.reported[id].level
}

// stampLevel tells the group of this build, with each message.
func (r *Replica) stampLevel(messages []consensus.Message) []consensus.Message {
	for i := range messages {
		messages[i].Level, messages[i].InForce = r.config.Level, r.machine.level
	}
	return messages
}

// highestLevel returns the highest level that the state or an entry after it holds. An entry that hasn't committed counts: only a build that knows it
// can tell what becomes of it.
func (m *Machine) highestLevel(entries []consensus.Entry) level.Level {
	highest := m.level
	for _, entry := range entries {
		if entry.Kind == consensus.EntryCommand {
			highest = max(highest, decodeCommand(entry.Data).Level)
		}
	}
	return highest
}
