package main

import (
	"kitetiller/internal/storage/unsynced"
	"kitetiller/platform"
)

// defineUnsynced defines a control replica that loses what it has not synced when it is killed.
func defineUnsynced() command {
	path := ""
	sub := newSubcommand("unsynced-control", "run a control replica on the users' platform that loses unsynced writes when it is killed")
	sub.AddPositionalValue(&path, "FILE", 1, true, "settings file of this process")
	return command{sub, func() error { return platform.RunOn(unsynced.New(), platform.RoleControl, path, "") }}
}
