package streamorigin

// SoftwareVersion is what is known of the software version of one incarnation of a back end. An incarnation has one
// version, so a second one that is reported disproves both. The zero value is unknown.
type SoftwareVersion struct {
	name     string // "" unless known
	known    bool   // false if disputed
	disputed bool
}

// Known returns a version that is known for certain. Its name may be empty, for back ends that all name none.
func Known(name string) SoftwareVersion { return SoftwareVersion{name: name, known: true} }

// Observe records a reported version, "" if the report names none, and returns whether that changed anything.
func (v *SoftwareVersion) Observe(reported string) (changed bool) {
	switch {
	case reported == "", v.disputed, v.known && reported == v.name:
		return false
	case v.known:
		v.Dispute()
	default:
		*v = Known(reported)
	}
	return true
}

// Dispute records that several versions were reported.
func (v *SoftwareVersion) Dispute() { *v = SoftwareVersion{disputed: true} }

// Name returns the version, or "" if it is not known.
func (v SoftwareVersion) Name() string { return v.name }

// IsKnown reports whether the version is known and not disputed.
func (v SoftwareVersion) IsKnown() bool { return v.known }

// Disputed reports whether several versions were reported.
func (v SoftwareVersion) Disputed() bool { return v.disputed }

// Requirement restricts the back ends to which a request may be sent. The zero value admits all, and so does nil.
type Requirement struct {
	bound   bool
	version SoftwareVersion
}

// SameAs returns the requirement of a stream that began at a back end of the given version.
func SameAs(v SoftwareVersion) Requirement { return Requirement{bound: true, version: v} }

// Binds reports whether the requirement excludes any back ends.
func (r *Requirement) Binds() bool { return r.bound }

// Satisfiable reports whether any back end may be admitted: none is if the required version is not known.
func (r *Requirement) Satisfiable() bool { return !r.bound || r.version.known }

// Version returns the required version.
func (r *Requirement) Version() SoftwareVersion { return r.version }

// Admits reports whether a back end of a version may get the request.
func (r *Requirement) Admits(v SoftwareVersion) bool {
	return r == nil || !r.bound || r.version.known && v.known && r.version.name == v.name
}
