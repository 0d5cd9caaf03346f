package control

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/events"
)

const (
	enginePollInterval  = 250 * time.Millisecond
	machineListInterval = time.Second
	engineCallTimeout   = time.Second
	maxEnginePolls      = 16
)

// machine is an entry of the platform's machine list.
type machine struct {
	Name    string
	Zone    string
	Service string
	Address string
	Leaving bool
}

// watchEngines polls the machine list and the weights and fences of the engines while this replica leads.
func (s *Server) watchEngines(ctx context.Context) {
	if s.file.Control.Platform == "" {
		return
	}
	var machines []machine
	var listedAt time.Time
	ticker := time.NewTicker(enginePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !s.leading() {
			continue
		}
		if time.Since(listedAt) >= machineListInterval {
			if updated, ok := s.fetchMachines(ctx); ok {
				machines, listedAt = updated, time.Now()
			}
		}
		s.pollEngines(ctx, machines)
	}
}

// Leads reports whether this replica is the leader as far as it knows, and ctx is not done.
func (s *Server) Leads(ctx context.Context) bool { return ctx.Err() == nil && s.leading() }

// leading reports whether this replica is the leader.
func (s *Server) leading() bool {
	return s.queryReplica(func(replica *Replica) bool { return replica.leader != nil })
}

// queryReplica runs check in the goroutine that owns the replica. It returns false if there is no answer in time.
func (s *Server) queryReplica(check func(*Replica) bool) bool {
	result := make(chan bool, 1)
	if !s.submit(input{inspect: func(replica *Replica) { result <- check(replica) }}) {
		return false
	}
	select {
	case checked := <-result:
		return checked
	case <-time.After(engineCallTimeout):
		return false
	}
}

// fetchMachines reads the platform's machine list.
func (s *Server) fetchMachines(ctx context.Context) ([]machine, bool) {
	attempt, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	var reply struct{ Machines []machine }
	if err := s.client.Get(attempt, s.file.Control.Platform, "/v1/machines", &reply); err != nil {
		s.log.Warn("failed to read the machine list", zap.Error(err))
		return nil, false
	}
	return reply.Machines, true
}

// pollEngines polls the state of all listed back ends, with at most maxEnginePolls concurrent calls.
func (s *Server) pollEngines(ctx context.Context, machines []machine) {
	var polls sync.WaitGroup
	slots := make(chan struct{}, maxEnginePolls)
	for _, entry := range machines {
		slots <- struct{}{}
		polls.Go(func() {
			defer func() { <-slots }()
			s.pollEngine(ctx, entry)
		})
	}
	polls.Wait()
}

// pollEngine reads the state of a back end and passes it to the replica if it is an engine's.
func (s *Server) pollEngine(ctx context.Context, entry machine) {
	attempt, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	var reply struct {
		Engine EngineReport `json:"engine"`
	}
	if err := s.client.Get(attempt, entry.Address, "/v1/state?events=none", &reply); err != nil || reply.Engine.Weights == "" {
		return
	}
	report := reply.Engine
	report.Name, report.Zone, report.Service, report.Address = entry.Name, entry.Zone, entry.Service, entry.Address
	s.submit(input{report: &report})
}

// sendEngineCalls sends orders and fences to engines, each in its own goroutine.
func (s *Server) sendEngineCalls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-s.engineCalls:
			go s.sendEngineCall(ctx, call)
		}
	}
}

func (s *Server) sendEngineCall(ctx context.Context, call EngineCall) {
	attempt, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	err := s.client.Post(attempt, call.Address, "/v1/orders", call, nil)
	if call.Order != nil {
		s.log.Info("order sent", zap.String("engine", call.Engine), zap.String("weights", call.Order.Weights),
			zap.Uint64("term", call.Fence.Term), zap.Uint64("sequence", call.Fence.Sequence), zap.Error(err))
	}
}

// logWeights logs the result of a weights call.
func (s *Server) logWeights(result WeightsResult) {
	call := result.Call
	s.log.Info(events.WeightsCallFinished, zap.Uint8("kind", uint8(call.Kind)), zap.String(events.FieldInstance, call.Instance), zap.String("model", call.Model),
		zap.Uint64("version", call.Version), zap.Uint64("fence", call.Fence), zap.Uint8("result", uint8(result.Kind)),
		zap.Bool("busy", result.Busy), zap.Any("versions", result.Versions))
}
