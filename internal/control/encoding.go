package control

import (
	"encoding/json"
	"fmt"

	"kitetiller/internal/consensus"
	"kitetiller/internal/level"
	"kitetiller/internal/payload"
	"kitetiller/internal/storage"
)

// The log holds commands and snapshots as JSON. From level Compressed on, long ones are compressed once, when they are
// proposed or taken, and stay so on disk, in memory and in messages.

// maxExpandedBytes bounds a command or snapshot after decompression.
const maxExpandedBytes = 256 << 20

// compressAt compresses encoded data if the level in force allows it and it is long enough.
func compressAt(inForce level.Level, data []byte) []byte {
	if inForce < level.Compressed {
		return data
	}
	compressed, _ := payload.Compress(data)
	return compressed
}

func encodeCommand(inForce level.Level, command Command) []byte {
	data, err := json.Marshal(command)
	if err != nil {
		panic(fmt.Sprintf("control: failed to encode a command: %v", err))
	}
	return compressAt(inForce, data)
}

func decodeCommand(data []byte) Command {
	var command Command
	data, err := payload.Expand(data, maxExpandedBytes)
	if err == nil {
		err = json.Unmarshal(data, &command)
	}
	if err != nil {
		panic(fmt.Sprintf("control: failed to decode a command from the log: %v", err))
	}
	return command
}

// maxLevelCommandBytes is above the size of a command that raises the level, which holds two numbers only.
const maxLevelCommandBytes = 1 << 10

// levelOf returns the level that an entry raises the group to, or 0. It decodes no long commands, so that a start does
// not take as long as applying the log.
func levelOf(entry consensus.Entry) level.Level {
	if entry.Kind != consensus.EntryCommand || len(entry.Data) > maxLevelCommandBytes {
		return level.Unannounced
	}
	return decodeCommand(entry.Data).Level
}

// knowsParts reports whether all replicas know snapshots in parts.
func (r *Replica) knowsParts() bool { return r.machine.level >= level.Compressed }

// knowsLongLeases reports whether all replicas keep their silence after a restart.
func (r *Replica) knowsLongLeases() bool { return r.machine.level >= level.LongLeases }

// logFormat returns the format of the log on disk. Builds that don't know levels refuse a newer one.
func (m *Machine) logFormat() int {
	if m.level >= level.Compressed {
		return storage.LatestFormat
	}
	return storage.FirstFormat
}

// applySize returns the cost of applying an entry, in bytes: the size of its decoded form.
func applySize(entry consensus.Entry) int { return payload.ExpandedSize(entry.Data) }
