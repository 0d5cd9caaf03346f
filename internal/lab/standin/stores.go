package standin

import (
	"container/list"
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/api"
	"kitetiller/internal/core"
	"kitetiller/internal/lab/engine"
	"kitetiller/internal/prefix"
)

// VaultConfig configures a KV store process.
type VaultConfig struct {
	Listen    string
	MaxBlocks int // beyond this, the least recently used are evicted
}

// Vault is an LRU store of KV cache blocks. It keeps only their hashes.
type Vault struct {
	config   VaultConfig
	log      *zap.Logger
	mutex    sync.Mutex
	elements map[prefix.Hash]*list.Element
	order    *list.List // least recently used first; values are prefix.Hash
}

// NewVault returns an empty vault.
func NewVault(config VaultConfig, log *zap.Logger) *Vault {
	return &Vault{config: config, log: log, elements: map[prefix.Hash]*list.Element{}, order: list.New()}
}

// Run serves requests until ctx is done.
func (v *Vault) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PathKVMatch, func(w http.ResponseWriter, r *http.Request) {
		var request api.KVRequest
		if readJSON(w, r, &request) {
			writeJSON(w, http.StatusOK, api.KVReply{CachedBlocks: v.Match(request.Blocks)})
		}
	})
	mux.HandleFunc("POST "+api.PathKVKeep, func(w http.ResponseWriter, r *http.Request) {
		var request api.KVRequest
		if readJSON(w, r, &request) {
			v.Store(request.Blocks)
			writeJSON(w, http.StatusOK, api.KVReply{CachedBlocks: v.Match(request.Blocks)})
		}
	})
	return serve(ctx, v.config.Listen, mux, v.log)
}

// Match returns how many leading blocks of a chain are stored and marks them as used.
func (v *Vault) Match(chain []prefix.Hash) int {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	matched := 0
	for matched < len(chain) && v.elements[chain[matched]] != nil {
		matched++
	}
	for i := matched - 1; i >= 0; i-- {
		v.order.MoveToBack(v.elements[chain[i]])
	}
	return matched
}

// Store adds the blocks of a chain and evicts the least recently used blocks beyond the capacity.
func (v *Vault) Store(chain []prefix.Hash) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for _, hash := range chain {
		if v.elements[hash] == nil {
			v.elements[hash] = v.order.PushBack(hash)
		}
	}
	for v.order.Len() > v.config.MaxBlocks {
		oldest := v.order.Front()
		delete(v.elements, oldest.Value.(prefix.Hash))
		v.order.Remove(oldest)
	}
}

// WeightStoreConfig configures a weight store process.
type WeightStoreConfig struct {
	Listen         string
	LoadTime       time.Duration // of a single engine
	FullSpeedLimit int           // engines that can load at once at full speed
}

// WeightStore simulates a weight store of limited bandwidth.
type WeightStore struct {
	config      WeightStoreConfig
	log         *zap.Logger
	mutex       sync.Mutex
	activeLoads int
}

// NewWeightStore returns a store without active loads.
func NewWeightStore(config WeightStoreConfig, log *zap.Logger) *WeightStore {
	return &WeightStore{config: config, log: log}
}

// Run serves requests until ctx is done.
func (s *WeightStore) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PathFetch, s.serveFetch)
	return serve(ctx, s.config.Listen, mux, s.log)
}

func (s *WeightStore) serveFetch(w http.ResponseWriter, r *http.Request) {
	var request api.FetchRequest
	if !readJSON(w, r, &request) {
		return
	}
	s.mutex.Lock()
	s.activeLoads++
	duration := engine.ContendedLoadTime(s.config.LoadTime, s.activeLoads, s.config.FullSpeedLimit)
	s.mutex.Unlock()
	time.Sleep(duration)
	s.mutex.Lock()
	s.activeLoads--
	s.mutex.Unlock()
	w.WriteHeader(http.StatusOK)
}

// PlatformConfig configures a machine list process.
type PlatformConfig struct {
	Listen   string
	Lag      time.Duration // delay until an edit becomes visible
	Machines []core.Machine
}

// Platform serves the list of machines, with a delay as a real platform has.
type Platform struct {
	config    PlatformConfig
	log       *zap.Logger
	mutex     sync.Mutex
	snapshots []snapshot
}

// snapshot is the machine list since a time.
type snapshot struct {
	at       time.Time
	machines []core.Machine
}

// NewPlatform returns a list whose initial machines are visible at once.
func NewPlatform(config PlatformConfig, log *zap.Logger) *Platform {
	return &Platform{config: config, log: log, snapshots: []snapshot{{machines: config.Machines}}}
}

// Run serves requests until ctx is done.
func (p *Platform) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.PathMachines, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, api.MachinesReply{Machines: p.laggedMachines(time.Now())})
	})
	mux.HandleFunc("POST "+api.PathMachines, p.serveMachineEdit)
	return serve(ctx, p.config.Listen, mux, p.log)
}

// laggedMachines returns the newest list that is at least Lag old, and drops older ones.
func (p *Platform) laggedMachines(now time.Time) []core.Machine {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for len(p.snapshots) > 1 && now.Sub(p.snapshots[1].at) >= p.config.Lag {
		p.snapshots = p.snapshots[1:]
	}
	return p.snapshots[0].machines
}

func (p *Platform) serveMachineEdit(w http.ResponseWriter, r *http.Request) {
	var edit api.MachineEdit
	if !readJSON(w, r, &edit) {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var machines []core.Machine
	for _, machine := range p.snapshots[len(p.snapshots)-1].machines {
		if machine.Name == edit.Name {
			if edit.Removed {
				continue
			}
			machine.Leaving = edit.Leaving
		}
		machines = append(machines, machine)
	}
	p.snapshots = append(p.snapshots, snapshot{at: time.Now(), machines: machines})
	w.WriteHeader(http.StatusOK)
}
