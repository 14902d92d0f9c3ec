package messenger

import "time"

// Evacuations tells a peer in which data centres no new task may be started. It is the whole set, so
// that it replaces any with a lower version. It is sent first on each connection, and again when the
// sender learns of a version that is higher than the peer's.
type Evacuations struct {
	// Version is the store's revision of the latest change, or of a read that showed the change. Two
	// processes with the same version have the same set.
	Version     uint64   `cbor:"1,keyasint"`
	DataCentres []string `cbor:"2,keyasint,omitempty"` // DataCentres is sorted.
	// Age is the time since the sender last knew that this was the latest version, when the message is
	// built.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}
