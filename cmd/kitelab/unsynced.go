package main

import (
	"kitetiller/internal/storage/slow"
	"kitetiller/internal/storage/unsynced"
	"kitetiller/platform"
)

// defineUnsynced defines a control replica that loses what it has not synced when it is killed.
func defineUnsynced() command {
	path, delay := "", ""
	sub := newSubcommand("unsynced-control", "run a control replica on the users' platform that loses unsynced writes when it is killed")
	sub.AddPositionalValue(&path, "FILE", 1, true, "settings file of this process")
	sub.String(&delay, "d", "sync-delay", "file with the milliseconds by which each sync takes longer; it may change")
	return command{sub, func() error {
		return platform.RunOn(slow.New(unsynced.New(), slow.DelayFile(delay)), platform.RoleControl, path, "")
	}}
}
