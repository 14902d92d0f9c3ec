package messenger

// RecordTransfer carries one piece of the records of an agent that shuts down
// gracefully. The agent sends it to an entry, which forwards it to the agent's
// successor.
type RecordTransfer struct {
	Agent Peer `cbor:"1,keyasint"` // Agent is the agent that shuts down.
	Piece int  `cbor:"2,keyasint"` // Piece is the index of the piece, from 0.
	Last  bool `cbor:"3,keyasint,omitempty"`
	// Attempt changes each time that the agent restarts the transfer.
	Attempt int `cbor:"5,keyasint"`
	// Records have no running tasks: the agent has stopped accepting starts.
	Records []Record `cbor:"4,keyasint,omitempty"`
}

// RecordTransferStatus acknowledges a [RecordTransfer]. The successor sends it to the
// entry, which forwards it to the agent that shuts down.
type RecordTransferStatus struct {
	Agent  Peer `cbor:"1,keyasint"`
	Pieces int  `cbor:"2,keyasint"` // Pieces is the number of pieces that the successor has received.
	// Done is set once the roster names the successor; the agent may then exit.
	Done bool `cbor:"3,keyasint,omitempty"`
	// Refused is set if there is no successor; the records are lost when the agent exits.
	Refused bool `cbor:"4,keyasint,omitempty"`
	// Attempt is the attempt that the acknowledged pieces belong to.
	Attempt int `cbor:"5,keyasint"`
}
