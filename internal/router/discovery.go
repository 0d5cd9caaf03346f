package router

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/api"
	"kitetiller/internal/core"
	"kitetiller/internal/membership"
)

const (
	discoveryInterval = 500 * time.Millisecond
	discoveryTimeout  = time.Second
	stateTimeout      = 800 * time.Millisecond
	snapshotTimeout   = 5 * time.Second
)

// watchPlatform periodically reads the machine list of the platform and runs one poller for each back end in it.
func (s *Server) watchPlatform(ctx context.Context) {
	ticker := time.NewTicker(discoveryInterval)
	defer ticker.Stop()
	for {
		s.refreshMachines(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) refreshMachines(ctx context.Context) {
	requestCtx, cancel := context.WithTimeout(ctx, discoveryTimeout)
	defer cancel()
	requestedAt := s.now()
	var reply api.MachinesReply
	if err := s.client.Get(requestCtx, s.file.Router.Platform, api.PathMachines, &reply); err != nil {
		s.log.Warn("failed to read the machine list; keeping the previous one", zap.Error(err))
		return
	}
	s.post(core.EventMachineList{RequestedAt: requestedAt, Machines: reply.Machines})
	listed, addresses := map[string]bool{}, map[string]struct{}{}
	for _, machine := range reply.Machines {
		key := machine.Name + "@" + machine.Address
		listed[key] = true
		addresses[machine.Address] = struct{}{}
		if s.pollers[key] == nil {
			pollCtx, stop := context.WithCancel(ctx)
			s.pollers[key] = stop
			go s.pollBackend(pollCtx, machine)
		}
	}
	s.listedAddresses.Store(&addresses)
	s.paths.setBackEnds(slices.Collect(maps.Keys(addresses)))
	s.paths.dialer.Sweep(s.isListed)
	for key, stop := range s.pollers {
		if !listed[key] {
			stop()
			delete(s.pollers, key)
		}
	}
}

// pollBackend periodically reads the load, incarnation and cache events of a back end.
func (s *Server) pollBackend(ctx context.Context, machine core.Machine) {
	var cursor membership.Cursor
	ticker := time.NewTicker(s.file.Router.PollInterval)
	defer ticker.Stop()
	for {
		event := core.EventBackendPoll{Name: machine.Name, RequestedAt: s.now()}
		var report *core.BackendReport
		ok := false
		s.paths.poll(ctx, machine.Address, func(ctx context.Context) bool {
			report, ok = s.readState(ctx, machine, cursor.Next())
			return ok
		})
		if ctx.Err() != nil {
			s.paths.forget(machine.Address)
			return
		}
		if ok {
			cursor.Advance(report)
			event.Report = report
		}
		s.offer(event)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) readState(ctx context.Context, machine core.Machine, after uint64) (*core.BackendReport, bool) {
	requestCtx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var reply api.StateReply
	path := fmt.Sprintf("%s?after=%d", api.PathState, after)
	if err := s.pollClient.Get(requestCtx, machine.Address, path, &reply); err != nil {
		return nil, false
	}
	return &reply.Report, true
}

// fetchSnapshot reads an engine's full list of cached blocks.
func (s *Server) fetchSnapshot(ctx context.Context, action core.ActionRequestSnapshot) {
	requestCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	var reply api.CacheReply
	if err := s.pollClient.Get(requestCtx, action.Address, api.PathCache, &reply); err != nil {
		s.log.Debug("failed to read the cache snapshot", zap.String("backend", action.Backend), zap.Error(err))
		return // the core requests it again
	}
	s.post(core.EventCacheSnapshot{Name: action.Backend, Incarnation: reply.Incarnation, Sequence: reply.Sequence, Blocks: reply.Blocks})
}
