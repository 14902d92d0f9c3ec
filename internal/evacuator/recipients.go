package evacuator

// Recipients decides which connections must be sent the version in force. The message of a version is sent
// at most once on a connection, since it is lost only with the connection.
type Recipients[C comparable] struct {
	versions map[C]uint64 // versions has the version that the other side of each connection is known to have.
	sent     uint64       // sent is the version that all connections have, unless one was added since.
	added    bool
}

// Add adds a connection, whose other side is not known to have any version.
func (r *Recipients[C]) Add(c C) {
	if r.versions == nil {
		r.versions = make(map[C]uint64)
	}
	r.versions[c] = 0
	r.added = true
}

// Remove removes a connection.
func (r *Recipients[C]) Remove(c C) { delete(r.versions, c) }

// Heard applies that the other side of a connection has a version.
func (r *Recipients[C]) Heard(c C, version uint64) {
	if known, ok := r.versions[c]; ok {
		r.versions[c] = max(known, version)
	}
}

// Due returns the connections on which a version must be sent now, in no order.
func (r *Recipients[C]) Due(version uint64) (due []C) {
	if version == r.sent && !r.added {
		return nil
	}
	r.sent, r.added = version, false
	for c, known := range r.versions {
		if known < version {
			r.versions[c] = version
			due = append(due, c)
		}
	}
	return due
}
