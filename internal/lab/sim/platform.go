package sim

import (
	"time"

	"kitetiller/internal/core"
)

const (
	platformInterval = 250 * time.Millisecond
	platformLag      = 800 * time.Millisecond // age of the machine list when it is read
	maxReadings      = 8
)

// platform serves the machine list, which lags behind and is sometimes wrong.
type platform struct {
	*process
	readings [][]core.Machine // newest last
	omitted  map[string]bool  // running machines that the list omits
}

func (p *platform) boot() {
	p.start()
	p.omitted = map[string]bool{}
	p.sample()
	p.ticker(platformInterval, p.sample)
}

// sample records the current machines, without the omitted ones.
func (p *platform) sample() {
	var machines []core.Machine
	add := func(held *process, service string, draining bool) {
		if !p.omitted[held.name] {
			machines = append(machines, core.Machine{Name: held.name, Zone: held.zone, Service: service, Address: held.name, Leaving: draining})
		}
	}
	for _, e := range p.w.engines {
		add(e.process, modelService, e.drainingSince > 0)
	}
	for _, s := range p.w.services {
		add(s.process, smallService, s.drainingSince > 0)
	}
	p.readings = append(p.readings, machines)
	if len(p.readings) > maxReadings {
		p.readings = p.readings[1:]
	}
}

// currentMachines returns the machine list as of platformLag ago.
func (p *platform) currentMachines() []core.Machine {
	at := max(0, len(p.readings)-1-int(platformLag/platformInterval))
	return p.readings[at]
}

// drainingSince returns when the machine list first marked a back end as leaving, or 0.
func (w *world) drainingSince(name string) time.Duration {
	if e := w.engine(name); e != nil {
		return e.drainingSince
	}
	return w.service(name).drainingSince
}
