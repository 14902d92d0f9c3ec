package applier

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// Output lists the actions that the caller of [Applier.Take] carries out.
type Output struct {
	// ReadHead requests a read of the current version number, whose result is passed to
	// [Applier.HeadRead].
	ReadHead bool
	// ReadDocument is the version whose document is to be read, or 0. The result is passed
	// to [Applier.DocumentRead].
	ReadDocument uint64
	Sends        []Send
	// InForce is the document that has come into force since the last call, or nil.
	InForce *Document
}

// Applier is the configuration state of an entry.
type Applier struct {
	self   messenger.Hello
	limits Limits
	// check returns the version number of a document. The error says why this process
	// cannot use it.
	check func(text []byte) (uint64, error)
	versionTracker

	headReadStarted      time.Time // headReadStarted is when the read in flight began; zero if there is none.
	nextPoll             time.Time
	documentReadInFlight bool      // documentReadInFlight is set while a document is read from the table.
	missingSince         time.Time // missingSince is when a document was first found missing; zero if none is.
	nextPeerRequest      time.Time // nextPeerRequest is the earliest time of the next request for the document to a peer.
	peerRequests         int       // peerRequests counts the requests to peers, which are asked in rotation.
	tableReachable       bool      // tableReachable is set if the latest call of the table succeeded.
	confirmedAt          time.Time // confirmedAt is when the latest successful read of the number began.
	tableConfirmed       bool      // tableConfirmed is confirmedRecently as of the latest Tick.
	nextPeerScan         time.Time // nextPeerScan is when peers are checked for unsent updates again.
	dirty                bool      // dirty is set if peers may need an update.
	// rejectedVersion is the highest version that this process cannot use, or 0;
	// rejectedDetail is the error of its check.
	rejectedVersion uint64
	rejectedDetail  string

	peers []*peer // peers are the connected processes, in order of connection.
	out   Output
}

// peer is an entry's view of a connected process.
type peer struct {
	hello           messenger.Hello
	version         uint64
	inForceSince    time.Time
	sourceReachable bool
	// sentVersion and sentReachable are the contents of the latest message to the peer,
	// and sentAt is its time; zero if none was sent.
	sentVersion   uint64
	sentReachable bool
	sentAt        time.Time
	// wantsDocument is set if the peer has requested the document.
	wantsDocument bool
}

// New returns the state of an entry that has no version in force.
func New(now time.Time, self messenger.Hello, l Limits, check func(text []byte) (uint64, error)) *Applier {
	return &Applier{self: self, limits: l, check: check, versionTracker: versionTracker{startedAt: now}}
}

// Version returns the version in force, or 0.
func (a *Applier) Version() uint64 { return a.inForce.Number }

// HeadRead applies the result of a read of the current version number, which is 0 if
// there is no version.
func (a *Applier) HeadRead(now time.Time, number uint64, err error) {
	readStarted := a.headReadStarted
	a.headReadStarted = time.Time{}
	a.nextPoll = readStarted.Add(a.limits.PollInterval)
	a.tableReachable = err == nil
	if err != nil {
		return
	}
	a.confirmedAt = readStarted
	a.discoveryDone = true
	a.observeNumber(number)
	a.dirty = true
	a.activatePending(now)
}

// DocumentRead applies the result of a read of a document.
func (a *Applier) DocumentRead(now time.Time, text []byte, err error) {
	a.documentReadInFlight = false
	a.tableReachable = err == nil
	a.dirty = true
	if err == nil {
		a.receiveDocument(now, text)
	}
}

// PeerUp adds a connection.
func (a *Applier) PeerUp(now time.Time, h messenger.Hello) {
	a.PeerDown(now, h.Peer)
	a.peers = append(a.peers, &peer{hello: h, version: h.ConfigVersion, inForceSince: now})
	a.observeNumber(h.ConfigVersion)
	a.dirty = true
}

// PeerDown removes a connection.
func (a *Applier) PeerDown(_ time.Time, name messenger.Peer) {
	a.peers = slices.DeleteFunc(a.peers, func(p *peer) bool { return p.hello.Peer == name })
}

// Receive applies a message of a peer.
func (a *Applier) Receive(now time.Time, from messenger.Peer, m *messenger.Config) {
	i := slices.IndexFunc(a.peers, func(p *peer) bool { return p.hello.Peer == from })
	if i < 0 {
		return
	}
	p := a.peers[i]
	if m.Version >= p.version {
		p.version = m.Version
		p.inForceSince = now.Add(-m.Age)
	}
	p.sourceReachable = m.SourceReachable
	if m.Version > a.highest {
		a.observeNumber(m.Version)
		a.dirty = true
	}
	if p.hello.Role != messenger.RoleEntry {
		return
	}
	if m.WantVersion > 0 {
		p.wantsDocument = true
		a.dirty = true
	}
	if len(m.Document) > 0 {
		a.dirty = true
		a.receiveDocument(now, m.Document)
	}
}

// Tick applies timeouts up to now.
func (a *Applier) Tick(now time.Time) {
	if now.Sub(a.startedAt) >= a.limits.DiscoveryPeriod {
		a.discoveryDone = true
	}
	if a.activatePending(now) {
		a.dirty = true
	}
	if a.headReadStarted.IsZero() && !now.Before(a.nextPoll) {
		a.headReadStarted = now
		a.out.ReadHead = true
	}
	if confirmed := a.confirmedRecently(now); confirmed != a.tableConfirmed {
		a.tableConfirmed = confirmed
		a.dirty = true
	}
	if !now.Before(a.nextPeerScan) || a.documentMissing() {
		a.dirty = true
	}
}

// Take returns the pending actions and clears them.
func (a *Applier) Take(now time.Time) Output {
	if a.dirty {
		a.dirty = false
		a.nextPeerScan = now.Add(a.limits.RetryInterval / 2)
		a.fetchMissing(now)
		for _, p := range a.peers {
			a.updatePeer(now, p)
		}
	}
	a.out.InForce = a.takeActivated()
	out := a.out
	a.out = Output{}
	return out
}

// receiveDocument checks a document and adds it, or records why it cannot be used.
func (a *Applier) receiveDocument(now time.Time, text []byte) {
	number, err := a.check(text)
	if err != nil {
		if number >= a.rejectedVersion {
			a.rejectedVersion = number
			a.rejectedDetail = err.Error()
		}
		return
	}
	a.addDocument(now, Document{Number: number, Text: text})
}

// fetchMissing requests a known document that this entry does not have. It reads the
// document from the table if that is reachable. If the table has not answered within
// half the retry interval, it also requests the document from a peer.
func (a *Applier) fetchMissing(now time.Time) {
	if !a.documentMissing() || a.rejectedVersion >= a.highest {
		a.missingSince = time.Time{}
		return
	}
	if a.missingSince.IsZero() {
		a.missingSince = now
	}
	if a.tableReachable && !a.documentReadInFlight {
		a.documentReadInFlight = true
		a.out.ReadDocument = a.highest
	}
	fallbackDelay := a.limits.RetryInterval / 2
	waiting := a.documentReadInFlight && now.Sub(a.missingSince) < fallbackDelay
	if waiting || now.Before(a.nextPeerRequest) {
		return
	}
	a.nextPeerRequest = now.Add(fallbackDelay)
	a.requestFromPeer(now)
}

// requestFromPeer requests the document from the next entry, in rotation, that has it.
func (a *Applier) requestFromPeer(now time.Time) {
	candidates := slices.DeleteFunc(slices.Clone(a.peers), func(p *peer) bool {
		return p.hello.Role != messenger.RoleEntry || p.version < a.highest
	})
	if len(candidates) == 0 {
		return
	}
	p := candidates[a.peerRequests%len(candidates)]
	a.peerRequests++
	a.out.Sends = append(a.out.Sends, Send{To: p.hello.Peer, Config: &messenger.Config{
		Version:         a.inForce.Number,
		SourceReachable: a.tableConfirmed,
		Age:             a.age(now),
		WantVersion:     a.highest,
	}})
}

// updatePeer sends a peer the version in force if the peer lags, and repeats it if the
// message seems lost. It also answers a request and reports a change of reachability.
func (a *Applier) updatePeer(now time.Time, p *peer) {
	sendDocument := p.wantsDocument && a.inForce.Number > p.version
	p.wantsDocument = false
	lagging := a.inForce.Number > p.version && a.shouldUpdate(now, p)
	outdated := p.sentReachable != a.tableConfirmed || p.sentAt.IsZero() && a.inForce.Number > 0
	if !sendDocument && !lagging && !outdated {
		return
	}
	p.sentVersion, p.sentReachable, p.sentAt = a.inForce.Number, a.tableConfirmed, now
	m := &messenger.Config{Version: a.inForce.Number, SourceReachable: a.tableConfirmed, Age: a.age(now)}
	if sendDocument {
		m.Document = a.inForce.Text
	}
	a.out.Sends = append(a.out.Sends, Send{
		To:          p.hello.Peer,
		Config:      m,
		AddSettings: lagging && p.hello.Role == messenger.RoleAgent,
	})
}

// shouldUpdate reports whether this entry sends the version in force to a peer that
// lags. One entry, the primary, updates an agent at once; the others do so only if the
// agent has not reported the version within the retry interval.
func (a *Applier) shouldUpdate(now time.Time, p *peer) bool {
	if p.sentVersion == a.inForce.Number {
		return now.Sub(p.sentAt) >= a.limits.RetryInterval
	}
	if p.hello.Role == messenger.RoleEntry || now.Sub(a.inForceSince) >= a.limits.RetryInterval {
		return true
	}
	return a.isPrimaryFor(p.hello.Peer)
}

// isPrimaryFor reports whether this entry has the highest rendezvous hash for an agent
// among itself and the connected entries. Entries with the same connections agree on
// the primary.
func (a *Applier) isPrimaryFor(agent messenger.Peer) bool {
	own := weight(a.self.Peer, agent)
	return !slices.ContainsFunc(a.peers, func(p *peer) bool {
		return p.hello.Role == messenger.RoleEntry && weight(p.hello.Peer, agent) > own
	})
}

// weight is the rendezvous hash of an entry for an agent.
func weight(entry, agent messenger.Peer) uint64 {
	return xxhash.Sum64String(string(entry) + "\x00" + string(agent))
}

// confirmedRecently reports whether a read of the current version number succeeded
// within the last ConfirmationTTL.
func (a *Applier) confirmedRecently(now time.Time) bool {
	return !a.confirmedAt.IsZero() && now.Sub(a.confirmedAt) <= a.limits.ConfirmationTTL
}

// canLearnLatest reports whether this entry would learn of a later version, from the
// table or from a connected entry that reads the table.
func (a *Applier) canLearnLatest(now time.Time) bool {
	return a.confirmedRecently(now) || slices.ContainsFunc(a.peers, func(p *peer) bool {
		return p.hello.Role == messenger.RoleEntry && p.sourceReachable
	})
}

// Status returns the status of this entry relative to the current version.
func (a *Applier) Status(now time.Time) Status {
	s := Status{
		Process:    a.self.Peer,
		Role:       messenger.RoleEntry,
		DataCentre: a.self.DataCentre,
		State:      a.state(a.canLearnLatest(now)),
		Version:    a.inForce.Number,
		Highest:    a.highest,
		Since:      a.inForceSince,
		Confirmed:  a.confirmedAt,
	}
	if a.rejectedVersion > a.inForce.Number {
		s.Detail = "version " + strconv.FormatUint(a.rejectedVersion, 10) + " cannot be used: " + a.rejectedDetail
	}
	return s
}

// Agents returns the statuses of the connected agents, sorted by name.
func (a *Applier) Agents() []Status {
	var out []Status
	for _, p := range a.peers {
		if p.hello.Role == messenger.RoleAgent {
			out = append(out, a.agentStatus(p))
		}
	}
	slices.SortFunc(out, func(a, b Status) int { return compareReports(&a, &b) })
	return out
}

func (a *Applier) agentStatus(p *peer) Status {
	known := versionTracker{inForce: Document{Number: p.version}, highest: a.highest}
	s := Status{
		Process:    p.hello.Peer,
		Role:       messenger.RoleAgent,
		DataCentre: p.hello.DataCentre,
		State:      known.state(p.sourceReachable),
		Version:    p.version,
		Highest:    a.highest,
	}
	if p.version > 0 {
		s.Since = p.inForceSince
	}
	return s
}
