package main

import (
	"fmt"
	"math/rand/v2"
	"os"

	"kitetiller/internal/storage/slow"
	"kitetiller/internal/storage/unsynced"
	"kitetiller/platform"
)

// defineUnsynced defines a control replica that loses what it has not synced when it is killed.
func defineUnsynced() command {
	path, delay, seed := "", "", rand.Uint64()
	sub := newSubcommand("unsynced-control", "run a control replica on the users' platform that loses unsynced writes and, each by itself, unsynced names of files when it is killed")
	sub.AddPositionalValue(&path, "FILE", 1, true, "settings file of this process")
	sub.String(&delay, "d", "sync-delay", "file with the milliseconds by which each sync takes longer; it may change")
	sub.UInt64(&seed, "s", "seed", "chooses the unsynced names that are lost; random if it isn't given")
	return command{sub, func() error {
		fmt.Fprintf(os.Stderr, "{\"msg\":\"unsynced names are lost\",\"seed\":%d}\n", seed)
		random := rand.New(rand.NewPCG(seed, 0))
		files := unsynced.NewLosingNames(func() bool { return random.IntN(2) == 0 })
		err := platform.RunOn(slow.New(files, slow.DelayFile(delay)), platform.RoleControl, path, "")
		if settleErr := files.Settle(); err == nil {
			err = settleErr // a process that ends by itself keeps its files
		}
		return err
	}}
}
