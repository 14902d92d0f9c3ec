package keeper

import "sardinelock.dev/sardinelock/internal/messenger"

const (
	// maxRelays is the largest number of messages between entries that are passed on of one frame, and
	// maxRelayBytes their largest size. Larger ones are dropped.
	maxRelays     = 16
	maxRelayBytes = 64 << 10
)

// arrivedRelay is a message between entries with the entry that has sent it.
type arrivedRelay struct {
	from  messenger.Peer
	relay messenger.Relay
}

// receiveRelays keeps the messages of an entry until the next flush.
func (k *Keeper) receiveRelays(from messenger.Peer, relays []messenger.Relay) {
	for _, r := range relays[:min(len(relays), maxRelays)] {
		if len(r.Message) <= maxRelayBytes {
			k.relays = append(k.relays, arrivedRelay{from: from, relay: r})
		}
	}
}

// passOnRelays passes each message on to the entry that it is for. A message is dropped if that entry
// has no connection, or if the sender's was closed, which may mean that the message is old.
func (k *Keeper) passOnRelays() {
	for _, a := range k.relays {
		if k.conns[a.from] == nil {
			continue
		}
		for _, c := range k.conns {
			if c.Hello().PeerAddr == a.relay.To {
				c.Send(&messenger.Frame{Relays: []messenger.Relay{a.relay}})
			}
		}
	}
	k.relays = nil
}
