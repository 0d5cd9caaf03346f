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

// machine is the part of a platform line that control needs.
type machine struct {
	Name    string
	Zone    string
	Service string
	Address string
	Leaving bool
}

// watchEngines is the thread that reads the machine list and the engines' weights and fences.
func (s *Server) watchEngines(ctx context.Context) {
	if s.file.Control.Platform == "" {
		return
	}
	var machines []machine
	var listed time.Time
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
		if time.Since(listed) >= machineListInterval {
			if fresh, ok := s.fetchMachines(ctx); ok {
				machines, listed = fresh, time.Now()
			}
		}
		s.pollEngines(ctx, machines)
	}
}

// Leads reports whether this replica leads, as far as it knows.
func (s *Server) Leads(ctx context.Context) bool { return ctx.Err() == nil && s.leading() }

// leading reports whether this replica leads.
func (s *Server) leading() bool {
	return s.queryReplica(func(replica *Replica) bool { return replica.leader != nil })
}

// queryReplica asks the decide thread whether something queryReplica; without an answer in time it does not.
func (s *Server) queryReplica(check func(*Replica) bool) bool {
	answer := make(chan bool, 1)
	if !s.submit(input{inspect: func(replica *Replica) { answer <- check(replica) }}) {
		return false
	}
	select {
	case holds := <-answer:
		return holds
	case <-time.After(engineCallTimeout):
		return false
	}
}

func (s *Server) fetchMachines(ctx context.Context) ([]machine, bool) {
	attempt, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	var reply struct{ Machines []machine }
	if err := s.client.Get(attempt, s.file.Control.Platform, "/v1/machines", &reply); err != nil {
		s.log.Warn("machine list not read", zap.Error(err))
		return nil, false
	}
	return reply.Machines, true
}

// pollEngines asks every listed back end for its state, a few at a time.
func (s *Server) pollEngines(ctx context.Context, machines []machine) {
	var polls sync.WaitGroup
	slots := make(chan struct{}, maxEnginePolls)
	for _, listed := range machines {
		slots <- struct{}{}
		polls.Go(func() {
			defer func() { <-slots }()
			s.pollEngine(ctx, listed)
		})
	}
	polls.Wait()
}

func (s *Server) pollEngine(ctx context.Context, listed machine) {
	attempt, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	var reply struct {
		Engine EngineReport `json:"engine"`
	}
	if err := s.client.Get(attempt, listed.Address, "/v1/state?events=none", &reply); err != nil || reply.Engine.Weights == "" {
		return
	}
	report := reply.Engine
	report.Name, report.Zone, report.Service, report.Address = listed.Name, listed.Zone, listed.Service, listed.Address
	s.submit(input{report: &report})
}

// sendEngineCalls is the thread that passes orders and fences to engines.
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

// logWeights writes one line for each call about weights.
func (s *Server) logWeights(result WeightsResult) {
	call := result.Call
	s.log.Info(events.WeightsCommandSent, zap.Uint8("kind", uint8(call.Kind)), zap.String(events.FieldInstance, call.Instance), zap.String("model", call.Model),
		zap.Uint64("version", call.Version), zap.Uint64("fence", call.Fence), zap.Uint8("result", uint8(result.Kind)),
		zap.Bool("busy", result.Busy), zap.Any("versions", result.Versions))
}
