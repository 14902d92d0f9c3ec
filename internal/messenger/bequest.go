package messenger

// Bequest is a piece of the records of an agent that leaves in good order. It goes to
// an entry, which passes it on to the agent's heir.
type RecordTransfer struct {
	Agent Peer `cbor:"1,keyasint"` // Agent is the one that leaves.
	Piece int  `cbor:"2,keyasint"` // Piece counts from 0.
	Last  bool `cbor:"3,keyasint,omitempty"`
	// Attempt is another number each time that the agent begins anew.
	Attempt int `cbor:"5,keyasint"`
	// Records are none of them running; the agent starts nothing any more.
	Records []Record `cbor:"4,keyasint,omitempty"`
}

// Bequeathed answers a Bequest: from the heir to the entry, and from there to the
// agent that leaves.
type RecordTransferStatus struct {
	Agent  Peer `cbor:"1,keyasint"`
	Pieces int  `cbor:"2,keyasint"` // Pieces is the number of pieces that the heir has.
	// Done means that the roster names the heir, so that the agent may end.
	Done bool `cbor:"3,keyasint,omitempty"`
	// Refused means that there is no heir; the records go with the agent.
	Refused bool `cbor:"4,keyasint,omitempty"`
	// Attempt is that of the pieces.
	Attempt int `cbor:"5,keyasint"`
}
