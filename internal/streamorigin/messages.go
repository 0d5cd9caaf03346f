package streamorigin

import "time"

// Paths of the messages between processes that keep records.
const (
	PathKeep = "/internal/v1/streams/keep"
	PathFind = "/internal/v1/streams/find"
)

// maxVouchAge bounds the age of another process's word on the back ends of a service.
const maxVouchAge = time.Hour

// MaxSoftwareBytes bounds the name of a software version in messages.
const MaxSoftwareBytes = 128

// WireRecord is a record as sent to the processes that keep it; a message holds a list of them.
type WireRecord struct {
	Key      Key    `json:"k,string"`
	Software string `json:"s"`
	TTLMS    int64  `json:"t"`
}

// ToWire returns the record as sent after it has waited for others.
func (r Record) ToWire(waited time.Duration) WireRecord {
	return WireRecord{Key: r.Key, Software: r.Software.Name(), TTLMS: (r.TTL - waited).Milliseconds()}
}

// Record returns the received record; ok is false if its values are absurd.
func (w WireRecord) Record() (r Record, ok bool) {
	if len(w.Software) > MaxSoftwareBytes || w.TTLMS <= 0 || w.TTLMS > MaxTTL.Milliseconds() {
		return Record{}, false
	}
	return Record{Key: w.Key, Software: Known(w.Software), TTL: time.Duration(w.TTLMS) * time.Millisecond}, true
}

// FindRequest asks at which software version a stream of a service began.
type FindRequest struct {
	Key     Key    `json:"k,string"`
	Service string `json:"s"`
}

// FindReply answers a FindRequest. Software is set if Known, and SoleSoftware if Sole: the replying process has known the
// service's back ends for long enough, and all had this version. Disputed means that records of the stream differ.
type FindReply struct {
	Known        bool   `json:"known,omitempty"`
	Software     string `json:"software,omitempty"`
	Disputed     bool   `json:"disputed,omitempty"`
	Sole         bool   `json:"sole,omitempty"`
	SoleSoftware string `json:"sole_software,omitempty"`
	// SoleAgeMS is how long ago the back ends that Sole rests on were confirmed to be all. Without it Sole proves nothing: the
	// replying process may be cut off, or be of a build that doesn't say.
	SoleAgeMS *int64 `json:"sole_age_ms,omitempty"`
}

// Vouch is another process's word that all back ends of a service had one software version for as long as any stream may
// be old, up to Age before the question was asked or later.
type Vouch struct {
	Software SoftwareVersion
	Age      time.Duration
}

// SetVouch sets the reply's word on the service.
func (r *FindReply) SetVouch(v Vouch) {
	ms := (v.Age + time.Millisecond - 1).Milliseconds()
	r.Sole, r.SoleSoftware, r.SoleAgeMS = true, v.Software.Name(), &ms
}

// Vouch returns the received word on the service; ok is false if there is none, or none that proves anything.
func (r *FindReply) Vouch() (v Vouch, ok bool) {
	if !r.Sole || r.SoleAgeMS == nil || *r.SoleAgeMS < 0 || *r.SoleAgeMS > maxVouchAge.Milliseconds() || len(r.SoleSoftware) > MaxSoftwareBytes {
		return Vouch{}, false
	}
	return Vouch{Software: Known(r.SoleSoftware), Age: time.Duration(*r.SoleAgeMS) * time.Millisecond}, true
}
