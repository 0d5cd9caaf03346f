package soak

import (
	"encoding/json"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// Shape is the deployment that a plan is played on. Zero fields select the usual fleet.
type Shape struct {
	Control      int     `json:"control,omitempty"`       // control processes
	Tolerated    int     `json:"tolerated,omitempty"`     // data folders that may be lost at once; the group has 2*Tolerated+1 voters
	Zones        int     `json:"zones,omitempty"`         // over which all processes are spread
	Engines      int     `json:"engines,omitempty"`       // workers of the engines' service
	SmallWorkers int     `json:"small_workers,omitempty"` // workers of the small service
	Connections  int     `json:"connections,omitempty"`   // that a worker accepts; it resets those beyond. 0: any number
	Rate         float64 `json:"rate,omitempty"`          // requests per second of each tenant
	// RecoverMS is how long after the end of the last fault requests must be served again.
	RecoverMS int64 `json:"recover_ms,omitempty"`
	// CatchUpMS is how long after its return a control process that lost its data folder counts as lost.
	CatchUpMS int64 `json:"catch_up_ms,omitempty"`
	// Unlimited means that tenants have no limits.
	Unlimited bool `json:"unlimited,omitempty"`
	// Direct makes processes connect to each other without the proxy. Faults of links have no effect then.
	Direct bool `json:"direct,omitempty"`
	// GatewayShare and ControlShare are the processor time that a gateway and a control process may use in each period, as a
	// share of a core. 0: any.
	GatewayShare float64 `json:"gateway_share,omitempty"`
	ControlShare float64 `json:"control_share,omitempty"`
	// GatewayMemoryMB is the memory limit of a gateway; 0: that of a control process, which isn't checked.
	GatewayMemoryMB int `json:"gateway_memory_mb,omitempty"`
	// Threads is how many threads of a process run at once; 0 means as many as there are cores.
	Threads int `json:"threads,omitempty"`
	// DeadMS is how long workers of Direct shapes count the connections of machines that have lost power.
	DeadMS int64 `json:"dead_ms,omitempty"`
	// Repeats is how often callers repeat a request that was not served, at once and on a new connection.
	Repeats int `json:"repeats,omitempty"`
	// Routes is the number of routes of the configuration that no request uses.
	Routes int `json:"routes,omitempty"`
	// WeightsEveryMS is the time between new weights that the operator names, and LoadMS how long an engine loads them. 0: none
	// are named.
	WeightsEveryMS int64 `json:"weights_every_ms,omitempty"`
	LoadMS         int64 `json:"load_ms,omitempty"`
	// ControlDelayMS is the delay of each message from and to a control process.
	ControlDelayMS int64 `json:"control_delay_ms,omitempty"`
	// GraceS is how long a process may take to stop, in seconds; 0 is the usual time.
	GraceS int `json:"grace_s,omitempty"`
	// RequestCostMS, ConnectionCostMS and CallCostMS are how much of one capacity that all workers share a request, a new
	// connection and any other call take. All 0: workers share none.
	RequestCostMS    float64 `json:"request_cost_ms,omitempty"`
	ConnectionCostMS float64 `json:"connection_cost_ms,omitempty"`
	CallCostMS       float64 `json:"call_cost_ms,omitempty"`
	// LoseUnsynced makes control processes lose what they have not synced when they are killed.
	LoseUnsynced bool `json:"lose_unsynced,omitempty"`
}

// ReadShape reads a shape from a file.
func ReadShape(path string) (Shape, error) {
	var shape Shape
	text, err := os.ReadFile(path)
	if err != nil {
		return Shape{}, eris.Wrap(err, "read shape")
	}
	if err := json.Unmarshal(text, &shape); err != nil {
		return Shape{}, eris.Wrapf(err, "decode shape %s", path)
	}
	return shape, eris.Wrap(shape.validate(), path)
}

// Recover returns how long after the end of the last fault requests must be served again, or 0 for the usual time.
func (s Shape) Recover() time.Duration { return time.Duration(s.RecoverMS) * time.Millisecond }

// ControlDelay returns the delay of each message from and to a control process.
func (s Shape) ControlDelay() time.Duration {
	return time.Duration(s.ControlDelayMS) * time.Millisecond
}

// RequestCost returns how much of the shared capacity a request takes.
func (s Shape) RequestCost() time.Duration { return milliseconds(s.RequestCostMS) }

// ConnectionCost returns how much of the shared capacity a new connection takes.
func (s Shape) ConnectionCost() time.Duration { return milliseconds(s.ConnectionCostMS) }

// CallCost returns how much of the shared capacity any other call takes.
func (s Shape) CallCost() time.Duration { return milliseconds(s.CallCostMS) }

// SharesCapacity reports whether the workers share a capacity.
func (s Shape) SharesCapacity() bool {
	return s.RequestCostMS > 0 || s.ConnectionCostMS > 0 || s.CallCostMS > 0
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// CatchUp returns how long after its return a control process that lost its data folder counts as lost.
func (s Shape) CatchUp() time.Duration { return time.Duration(s.CatchUpMS) * time.Millisecond }

func (s Shape) validate() error {
	for _, count := range []int{s.Control, s.Tolerated, s.Zones, s.Engines, s.SmallWorkers, s.Connections, int(s.RecoverMS), int(s.CatchUpMS), int(s.ControlDelayMS), s.Threads, s.GatewayMemoryMB, int(s.DeadMS), int(s.WeightsEveryMS), int(s.LoadMS), s.Repeats, s.Routes, s.GraceS} {
		if count < 0 {
			return eris.New("the shape has a negative number")
		}
	}
	for _, value := range []float64{s.Rate, s.GatewayShare, s.ControlShare, s.RequestCostMS, s.ConnectionCostMS, s.CallCostMS} {
		if value < 0 {
			return eris.New("rate, shares and costs must not be negative")
		}
	}
	if s.Control > 0 && s.Control < 2*s.Tolerated+1 {
		return eris.Errorf("%d control processes cannot tolerate the loss of %d data folders", s.Control, s.Tolerated)
	}
	return nil
}
