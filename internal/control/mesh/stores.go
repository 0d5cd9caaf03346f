package mesh

// Store is a store of saved prompt parts that publishes cache events.
type Store struct{ Address, Zone string }

// StoresReadBy returns the addresses of the stores whose cache events a gateway reads on behalf of all. Each store has
// one reader, chosen like that of an engine.
func (l *Layout) StoresReadBy(gateway string, stores []Store) []string {
	var read []string
	for _, s := range stores {
		candidates := l.Zones[s.Zone].Schedulers
		if len(candidates) == 0 {
			candidates = nil
			for _, zone := range l.sortedZones() {
				candidates = append(candidates, l.Zones[zone].Schedulers...)
			}
		}
		if rendezvousHash(s.Address, candidates) == gateway {
			read = append(read, s.Address)
		}
	}
	return read
}
