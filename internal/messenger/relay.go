package messenger

import "net/netip"

// Relay carries a message between two entries that have no connection to each other, through an agent
// that is connected to both. It may arrive late, more than once or not at all.
type Relay struct {
	From    Peer           `cbor:"1,keyasint"`
	ReplyTo netip.AddrPort `cbor:"2,keyasint"` // ReplyTo is where the sender accepts peers.
	To      netip.AddrPort `cbor:"3,keyasint"` // To is where the entry that it is for accepts peers.
	// Message has frames, encoded as on a connection. Relays in them are ignored.
	Message []byte `cbor:"4,keyasint"`
	// Connected is set if the sender has a connection to the other entry, which may be broken.
	Connected bool `cbor:"5,keyasint,omitempty"`
}
