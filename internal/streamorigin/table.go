package streamorigin

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRecords bounds the records of one process, and maxIDBytes the length of a request ID that is recorded.
	maxRecords = 1 << 16
	maxIDBytes = 256
	// MaxTTL bounds how long a record lasts.
	MaxTTL = 10 * time.Minute
)

// Key identifies a stream by the request that began it. It is a hash, so that a record is small whatever the ID.
type Key uint64

// NewKey returns the key of the stream that a tenant's request to a service began; ok is false if the ID is empty or too
// long to be recorded. Tenants can't refer to streams of each other.
func NewKey(service, tenant, id string) (key Key, ok bool) {
	if id == "" || len(id) > maxIDBytes {
		return 0, false
	}
	digest := xxhash.New()
	for _, part := range []string{service, tenant, id} {
		_, _ = digest.WriteString(part) // never fails
		_, _ = digest.Write([]byte{0})
	}
	return Key(digest.Sum64()), true
}

// Record states at which software version a stream began.
type Record struct {
	Key      Key
	Service  string
	Software SoftwareVersion
	TTL      time.Duration // how long its caller may still come back
}

// entry is a record in a Table.
type entry struct {
	software  SoftwareVersion
	service   string // of an own record; "" for those of other processes
	expiresAt time.Duration
}

// Table holds the records of one process: of the streams that it began or went on with, and of others that it keeps for
// their processes. It is not safe for concurrent use.
type Table struct {
	entries map[Key]entry
	names   map[string]string // software versions, so that equal ones share memory
	dropped uint64            // records for which there was no room
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[Key]entry{}, names: map[string]string{}} }

// Len returns the number of records.
func (t *Table) Len() int { return len(t.entries) }

// Dropped returns how many records found no room.
func (t *Table) Dropped() uint64 { return t.dropped }

// AddOwn adds a record of a stream that this process relays.
func (t *Table) AddOwn(now time.Duration, r Record) { t.add(now, r, r.Service) }

// Add adds a record of another process.
func (t *Table) Add(now time.Duration, r Record) { t.add(now, r, "") }

// add adds a record, or extends the life of the one that exists. Two records of one stream that differ disprove each
// other: a caller used the ID twice.
func (t *Table) add(now time.Duration, r Record, ownService string) {
	existing, exists := t.entries[r.Key]
	switch {
	case !r.Software.IsKnown(), r.TTL <= 0:
		return
	case exists && existing.expiresAt > now:
		existing.software.Observe(r.Software.Name())
	case len(t.entries) >= maxRecords:
		t.Sweep(now)
		if len(t.entries) >= maxRecords {
			t.dropped++
			return
		}
		fallthrough
	default:
		existing = entry{software: Known(t.intern(r.Software.Name()))}
	}
	if ownService != "" {
		existing.service = ownService
	}
	existing.expiresAt = max(existing.expiresAt, now+min(r.TTL, MaxTTL))
	t.entries[r.Key] = existing
}

// maxNames bounds the shared software versions; further ones are stored with their records.
const maxNames = 1024

func (t *Table) intern(name string) string {
	if shared, found := t.names[name]; found {
		return shared
	}
	if len(t.names) < maxNames {
		t.names[name] = name
	}
	return name
}

// Find returns the software version at which a stream began; it is unknown without a record, and if records differ.
func (t *Table) Find(now time.Duration, key Key) SoftwareVersion {
	if found, exists := t.entries[key]; exists && found.expiresAt > now {
		return found.software
	}
	return SoftwareVersion{}
}

// Own returns the records of this process's streams to a service.
func (t *Table) Own(now time.Duration, service string) []Record {
	var own []Record
	for key, e := range t.entries {
		if e.service == service && e.software.IsKnown() && e.expiresAt > now {
			own = append(own, Record{Key: key, Service: service, Software: e.software, TTL: e.expiresAt - now})
		}
	}
	return own
}

// Sweep removes expired records.
func (t *Table) Sweep(now time.Duration) {
	for key, e := range t.entries {
		if e.expiresAt <= now {
			delete(t.entries, key)
		}
	}
	if len(t.entries) == 0 {
		clear(t.names)
	}
}
