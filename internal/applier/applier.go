package applier

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// Output is what an entry has to do.
type Output struct {
	// ReadHead asks for a read of the current number; the answer is due to [Applier.HeadRead].
	ReadHead bool
	// ReadDocument asks for the document of a version; the answer is due to
	// [Applier.DocumentRead]. It is 0 if none is asked for.
	ReadDocument uint64
	Sends        []Send
	// InForce is the document that has come into force, or nil.
	InForce *Document
}

// Applier is the state of an entry.
type Applier struct {
	self   messenger.Hello
	limits Limits
	// check returns the number of a document, or why this process cannot use it.
	check func(text []byte) (uint64, error)
	register

	headAsked    time.Time // headAsked is when the read under way began; zero if there is none.
	nextPoll     time.Time
	documentWait bool      // documentWait is set while a read of a document is under way.
	lackedSince  time.Time // lackedSince is since when a known document is lacking; zero if none is.
	nextAsk      time.Time // nextAsk is when a peer may be asked for the document again.
	asked        int       // asked counts the questions to peers, so that they take turns.
	tableAnswers bool      // tableAnswers is set if the latest call of the table was answered.
	confirmed    time.Time // confirmed is when the latest answered read of the number began.
	wasFresh     bool
	nextScan     time.Time
	dirty        bool // dirty is set if something has happened that peers may have to know.
	// rejected is the highest version that this process cannot use, and why.
	rejected       uint64
	rejectedDetail string

	peers []*peer // peers are connected, in order of arrival.
	out   Output
}

// peer is what an entry knows of a connected process.
type peer struct {
	hello   messenger.Hello
	version uint64
	since   time.Time
	fresh   bool
	// told and toldFresh are what this entry has told the peer, and toldAt when.
	told      uint64
	toldFresh bool
	toldAt    time.Time
	// wants is set if the peer has asked for the document.
	wants bool
}

// New returns the state of an entry that has nothing in force.
func New(now time.Time, self messenger.Hello, l Limits, check func(text []byte) (uint64, error)) *Applier {
	return &Applier{self: self, limits: l, check: check, register: register{started: now}}
}

// Version returns the version in force, or 0.
func (a *Applier) Version() uint64 { return a.inForce.Number }

// HeadRead applies the answer to a read of the current number, 0 if there is none.
func (a *Applier) HeadRead(now time.Time, number uint64, err error) {
	asked := a.headAsked
	a.headAsked = time.Time{}
	a.nextPoll = asked.Add(a.limits.PollInterval)
	a.tableAnswers = err == nil
	if err != nil {
		return
	}
	a.confirmed = asked
	a.settled = true
	a.show(number)
	a.dirty = true
	a.settle(now)
}

// DocumentRead applies the answer to a read of a document.
func (a *Applier) DocumentRead(now time.Time, text []byte, err error) {
	a.documentWait = false
	a.tableAnswers = err == nil
	a.dirty = true
	if err == nil {
		a.offerText(now, text)
	}
}

// PeerUp adds a connection.
func (a *Applier) PeerUp(now time.Time, h messenger.Hello) {
	a.PeerDown(now, h.Peer)
	a.peers = append(a.peers, &peer{hello: h, version: h.ConfigVersion, since: now})
	a.show(h.ConfigVersion)
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
		p.since = now.Add(-m.Age)
	}
	p.fresh = m.SourceReachable
	if m.Version > a.highest {
		a.show(m.Version)
		a.dirty = true
	}
	if p.hello.Role != messenger.RoleEntry {
		return
	}
	if m.WantVersion > 0 {
		p.wants = true
		a.dirty = true
	}
	if len(m.Document) > 0 {
		a.dirty = true
		a.offerText(now, m.Document)
	}
}

// Tick applies the passing of time.
func (a *Applier) Tick(now time.Time) {
	if now.Sub(a.started) >= a.limits.DiscoveryPeriod {
		a.settled = true
	}
	if a.settle(now) {
		a.dirty = true
	}
	if a.headAsked.IsZero() && !now.Before(a.nextPoll) {
		a.headAsked = now
		a.out.ReadHead = true
	}
	if fresh := a.readsTable(now); fresh != a.wasFresh {
		a.wasFresh = fresh
		a.dirty = true
	}
	if !now.Before(a.nextScan) || a.lacks() {
		a.dirty = true
	}
}

// Take returns what is to be done and clears it.
func (a *Applier) Take(now time.Time) Output {
	if a.dirty {
		a.dirty = false
		a.nextScan = now.Add(a.limits.RetryInterval / 2)
		a.fetch(now)
		for _, p := range a.peers {
			a.tell(now, p)
		}
	}
	a.out.InForce = a.take()
	out := a.out
	a.out = Output{}
	return out
}

// offerText checks a document and takes it if it is of use.
func (a *Applier) offerText(now time.Time, text []byte) {
	number, err := a.check(text)
	if err != nil {
		if number >= a.rejected {
			a.rejected = number
			a.rejectedDetail = err.Error()
		}
		return
	}
	a.offer(now, Document{Number: number, Text: text})
}

// fetch asks for a document that this entry lacks: the table while it answers,
// and the peers that have it, in turn, if the table does not bring it at once.
func (a *Applier) fetch(now time.Time) {
	if !a.lacks() || a.rejected >= a.highest {
		a.lackedSince = time.Time{}
		return
	}
	if a.lackedSince.IsZero() {
		a.lackedSince = now
	}
	if a.tableAnswers && !a.documentWait {
		a.documentWait = true
		a.out.ReadDocument = a.highest
	}
	patience := a.limits.RetryInterval / 2
	waiting := a.documentWait && now.Sub(a.lackedSince) < patience
	if waiting || now.Before(a.nextAsk) {
		return
	}
	a.nextAsk = now.Add(patience)
	a.ask(now)
}

// ask asks the next peer that has the document.
func (a *Applier) ask(now time.Time) {
	have := slices.DeleteFunc(slices.Clone(a.peers), func(p *peer) bool {
		return p.hello.Role != messenger.RoleEntry || p.version < a.highest
	})
	if len(have) == 0 {
		return
	}
	p := have[a.asked%len(have)]
	a.asked++
	a.out.Sends = append(a.out.Sends, Send{To: p.hello.Peer, Config: &messenger.Config{
		Version:         a.inForce.Number,
		SourceReachable: a.wasFresh,
		Age:             a.age(now),
		WantVersion:     a.highest,
	}})
}

// tell tells a peer what it does not know yet, and again if it seems lost.
func (a *Applier) tell(now time.Time, p *peer) {
	answer := p.wants && a.inForce.Number > p.version
	p.wants = false
	lagging := a.inForce.Number > p.version && a.turn(now, p)
	unaware := p.toldFresh != a.wasFresh || p.toldAt.IsZero() && a.inForce.Number > 0
	if !answer && !lagging && !unaware {
		return
	}
	p.told, p.toldFresh, p.toldAt = a.inForce.Number, a.wasFresh, now
	m := &messenger.Config{Version: a.inForce.Number, SourceReachable: a.wasFresh, Age: a.age(now)}
	if answer {
		m.Document = a.inForce.Text
	}
	a.out.Sends = append(a.out.Sends, Send{
		To:          p.hello.Peer,
		Config:      m,
		AddSettings: lagging && p.hello.Role == messenger.RoleAgent,
	})
}

// turn reports whether it is this entry's turn to tell a peer that lags. An agent
// hears of a version from one entry; the others tell it only if it has not
// reported the version after a while.
func (a *Applier) turn(now time.Time, p *peer) bool {
	if p.told == a.inForce.Number {
		return now.Sub(p.toldAt) >= a.limits.RetryInterval
	}
	if p.hello.Role == messenger.RoleEntry || now.Sub(a.since) >= a.limits.RetryInterval {
		return true
	}
	return a.first(p.hello.Peer)
}

// first reports whether this entry comes first for an agent among the entries
// that are connected. Entries agree on it if they have the same connections.
func (a *Applier) first(agent messenger.Peer) bool {
	own := weight(a.self.Peer, agent)
	return !slices.ContainsFunc(a.peers, func(p *peer) bool {
		return p.hello.Role == messenger.RoleEntry && weight(p.hello.Peer, agent) > own
	})
}

func weight(entry, agent messenger.Peer) uint64 {
	return xxhash.Sum64String(string(entry) + "\x00" + string(agent))
}

// readsTable reports whether the table said lately which version is current.
func (a *Applier) readsTable(now time.Time) bool {
	return !a.confirmed.IsZero() && now.Sub(a.confirmed) <= a.limits.ConfirmationTTL
}

// fresh reports whether this entry would learn of a later version, from the table
// or from an entry that reads it.
func (a *Applier) fresh(now time.Time) bool {
	return a.readsTable(now) || slices.ContainsFunc(a.peers, func(p *peer) bool {
		return p.hello.Role == messenger.RoleEntry && p.fresh
	})
}

// Status returns how this entry stands to the current version.
func (a *Applier) Status(now time.Time) Status {
	s := Status{
		Process:    a.self.Peer,
		Role:       messenger.RoleEntry,
		DataCentre: a.self.DataCentre,
		State:      a.state(a.fresh(now)),
		Version:    a.inForce.Number,
		Highest:    a.highest,
		Since:      a.since,
		Confirmed:  a.confirmed,
	}
	if a.rejected > a.inForce.Number {
		s.Detail = "version " + strconv.FormatUint(a.rejected, 10) + " cannot be used: " + a.rejectedDetail
	}
	return s
}

// Agents returns how the connected agents stand, in the order of their names.
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
	known := register{inForce: Document{Number: p.version}, highest: a.highest}
	s := Status{
		Process:    p.hello.Peer,
		Role:       messenger.RoleAgent,
		DataCentre: p.hello.DataCentre,
		State:      known.state(p.fresh),
		Version:    p.version,
		Highest:    a.highest,
	}
	if p.version > 0 {
		s.Since = p.since
	}
	return s
}
