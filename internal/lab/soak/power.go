package soak

import "time"

// powerPollInterval is how often a connection to a machine without power checks whether that has returned.
const powerPollInterval = 10 * time.Millisecond

// CutPower makes machines lose power: from now on their connections carry nothing, and the other ends are not told. New
// connections to them hang. The caller kills the processes afterwards.
func (p *Proxy) CutPower(names ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range names {
		p.dark[name] = true
	}
	for c := range p.conns {
		if p.dark[c.from] || p.dark[c.to] {
			c.orphaned = true
		}
	}
}

// RestorePower gives machines power again. They reset connections from before once something arrives on them.
func (p *Proxy) RestorePower(names ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range names {
		delete(p.dark, name)
	}
}

func (p *Proxy) isDark(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dark[name]
}

func (p *Proxy) isOrphaned(c *proxiedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.orphaned
}

// waitForPower waits while a machine has no power. It returns false if the proxy is closed meanwhile.
func (p *Proxy) waitForPower(name string) bool {
	for p.isDark(name) {
		select {
		case <-p.done:
			return false
		case <-time.After(powerPollInterval):
		}
	}
	return true
}
