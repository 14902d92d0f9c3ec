package dispatcher

import (
	"bytes"
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/internal/applier"
	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/meter"
	"sardinelock.dev/sardinelock/internal/placer"
	"sardinelock.dev/sardinelock/internal/storer"
)

const (
	configTickInterval = 100 * time.Millisecond
	// configCallTimeout bounds a read of the configuration, so that a slow platform
	// does not delay the next read for long.
	configCallTimeout = 2 * time.Second
	// An entry without a configuration dials the entries of its settings at an interval
	// of seedDialInterval plus an offset below seedDialJitter. The offset is derived from
	// the entry's name, so that two entries do not dial each other at the same time
	// again and again.
	seedDialInterval = 500 * time.Millisecond
	seedDialJitter   = time.Second
)

var errNoDocument = errors.New("the table has no such version")

// configState is the control thread's state of the configuration versions.
type configState struct {
	applier *applier.Applier
	// prepared lists the versions that were read and are not older than the one in force.
	prepared []*preparedVersion
	inForce  *preparedVersion
}

// preparedVersion is a version that was decoded and composed off the control thread.
type preparedVersion struct {
	text     []byte
	number   uint64
	composed *configurer.Composed // composed is nil if err is set.
	err      error
}

// prepare decodes and composes a version. It must not be called on the control thread.
func prepare(text []byte) *preparedVersion {
	p := &preparedVersion{text: text}
	v, err := configurer.DecodeVersion(text)
	if err != nil {
		p.err = err
		return p
	}
	p.number = v.Number
	p.composed, p.err = v.ComposeAll()
	return p
}

// checkVersion returns the number of a prepared version, or an error if the version
// cannot be used or is not prepared.
func (s *configState) checkVersion(text []byte) (uint64, error) {
	for _, p := range s.prepared {
		if bytes.Equal(p.text, text) {
			return p.number, p.err
		}
	}
	return 0, errNoDocument
}

// addPrepared adds a prepared version; nil is ignored. It must be called before the
// applier is given the document, which it has checked by checkVersion.
func (s *configState) addPrepared(p *preparedVersion) {
	if p == nil {
		return
	}
	known := slices.ContainsFunc(s.prepared, func(o *preparedVersion) bool { return bytes.Equal(o.text, p.text) })
	if !known {
		s.prepared = append(s.prepared, p)
	}
}

// activate puts the prepared version of the given number in force and forgets the
// older ones.
func (s *configState) activate(number uint64) {
	var later []*preparedVersion
	for _, p := range s.prepared {
		if p.number == number && p.err == nil {
			s.inForce = p
		}
		if p.number > number {
			later = append(later, p)
		}
	}
	s.prepared = later
}

func (e *Entry) newConfigState(now time.Time) {
	e.versions.applier = applier.New(now, e.hello(), applier.DefaultLimits(), e.versions.checkVersion)
}

// subscribeConfig starts the periodic checks for new versions of the configuration.
func (e *Entry) subscribeConfig() {
	e.timers.Subscribe(configTickInterval, func(time.Time) {
		e.loop.Post(func(now time.Time) { e.versions.applier.Tick(now) })
	})
	if len(e.settings.Entries) > 0 {
		spread := time.Duration(xxhash.Sum64String(string(e.settings.Peer)) % uint64(seedDialJitter))
		seeds := make(map[netip.AddrPort]messenger.Peer)
		e.timers.Subscribe(seedDialInterval+spread, func(time.Time) { e.dialSeeds(seeds) })
	}
}

// flushConfig carries out the applier's decisions. It must be called on the control
// thread.
func (e *Entry) flushConfig(now time.Time) {
	out := e.versions.applier.Take(now)
	if out.InForce != nil {
		e.activateConfig(out.InForce.Number)
	}
	for _, s := range out.Sends {
		e.sendConfig(s)
	}
	if out.ReadHead {
		go e.readHead()
	}
	if out.ReadDocument > 0 {
		go e.readDocument(out.ReadDocument)
	}
}

// activateConfig puts a version in force. It must be called on the control thread.
func (e *Entry) activateConfig(number uint64) {
	e.versions.activate(number)
	config := e.versions.inForce.composed.Site(e.settings.DataCentre)
	for _, s := range config.Services {
		e.coordinator.SetPath(s.Name, s.Path)
	}
	e.coordinator.SetTeams(teamQuotas(config))
	e.coordinator.SetPlacementLimits(placementLimits(config))
	e.config.Publish(config)
	e.configVersion.Store(number)
	e.settings.Logger.Info().Str("event", "config-in-force").Uint64("version", number).
		Str("change-id", e.versions.inForce.composed.Version.ChangeID).Msg("configuration version is in force")
}

// placementLimits returns the limits of the placer. The configuration has a value for
// each of them.
func placementLimits(c *configurer.Config) placer.Limits {
	return placer.Limits{
		MaxQueued:       c.Queue.MaxTasks,
		Ageing:          c.Queue.Ageing,
		Quantum:         c.Queue.Quantum,
		DeadlineRatio:   c.Queue.DeadlineRatio,
		MinSamples:      c.Queue.MinSamples,
		FailureStreak:   c.Ejection.FailureStreak,
		FailureRatio:    c.Ejection.FailureRatio,
		SlowFactor:      c.Ejection.SlowFactor,
		ProbeAfter:      c.Ejection.ProbeAfter,
		MaxProbeAfter:   c.Ejection.MaxProbeAfter,
		MaxEjectedRatio: c.Ejection.MaxEjectedRatio,
		SlowStart:       c.Ejection.SlowStart,
	}
}

// teamQuotas returns the quota of each team, which applies to all entries together.
func teamQuotas(c *configurer.Config) []placer.Quota {
	var out []placer.Quota
	for i := range c.Teams {
		t := &c.Teams[i]
		out = append(out, placer.Quota{Team: t.Name, Slots: t.Slots, StartsPerSecond: t.StartsPerSecond})
	}
	return out
}

// sendConfig sends a configuration message. An agent that lacks the settings of its
// site gets them with the message.
func (e *Entry) sendConfig(s applier.Send) {
	conn := e.peers[s.To]
	if conn == nil {
		return
	}
	if s.AddSettings {
		settings, err := e.versions.inForce.composed.Site(conn.Hello().DataCentre).EncodeAgentSettings()
		if err != nil {
			e.settings.Logger.Error().Err(err).Msg("cannot encode the settings of an agent")
			return
		}
		s.Config.Document = settings
	}
	conn.Send(&messenger.Frame{Config: s.Config})
}

// receiveConfig prepares the version in a peer's configuration message, if any, and
// passes the message to the applier. It is called on the goroutine that reads the
// connection.
func (e *Entry) receiveConfig(from messenger.Hello, m *messenger.Config) {
	var p *preparedVersion
	if len(m.Document) > 0 && from.Role == messenger.RoleEntry {
		p = prepare(m.Document)
	}
	e.loop.Post(func(now time.Time) {
		e.versions.addPrepared(p)
		e.versions.applier.Receive(now, from.Peer, m)
	})
}

func (e *Entry) readHead() {
	var number uint64
	row, err := e.readConfigRow(configurer.CurrentKey)
	if err == nil && row != nil {
		var head configurer.Head
		head, err = configurer.DecodeHead(row.Value)
		number = head.Number
	}
	e.loop.Post(func(now time.Time) { e.versions.applier.HeadRead(now, number, err) })
}

func (e *Entry) readDocument(number uint64) {
	row, err := e.readConfigRow(configurer.DocumentKey(number))
	if err == nil && row == nil {
		err = errNoDocument
	}
	var p *preparedVersion
	if err == nil {
		p = prepare(row.Value)
	}
	e.loop.Post(func(now time.Time) {
		if err != nil {
			e.versions.applier.DocumentRead(now, nil, err)
			return
		}
		e.versions.addPrepared(p)
		e.versions.applier.DocumentRead(now, p.text, nil)
	})
}

// readConfigRow returns the row of a key, or nil if the table has none.
func (e *Entry) readConfigRow(key string) (*storer.Row, error) {
	ctx, cancel := context.WithTimeout(e.background, configCallTimeout)
	defer cancel()
	rows, err := e.platform.Read(ctx, key)
	if err != nil {
		return nil, err
	}
	for i := range rows.Rows {
		if rows.Rows[i].Key == key {
			return &rows.Rows[i], nil
		}
	}
	return nil, nil
}

// dialSeeds connects an entry that has no configuration to the entries of its
// settings, from which it can get one while the platform is down. The map records
// which peer answered at each address.
func (e *Entry) dialSeeds(seeds map[netip.AddrPort]messenger.Peer) {
	if e.config.Read() != nil {
		return
	}
	connected := e.connectedPeers(slices.Collect(maps.Values(seeds)))
	for _, addr := range e.settings.Entries {
		if addr == e.PeerAddr() || connected[seeds[addr]] {
			continue
		}
		if conn := e.dial(addr); conn != nil {
			seeds[addr] = conn.Hello().Peer
		}
	}
}

// meterConfig adds the configuration states of this entry and its agents to the
// metrics.
func (e *Entry) meterConfig(s *meter.EntryState) {
	statuses := e.ConfigStatuses()
	if len(statuses) == 0 {
		return
	}
	if own := statuses[0]; !own.Confirmed.IsZero() {
		s.ConfigAge = time.Since(own.Confirmed)
	}
	for _, state := range applier.States() {
		count := meter.StateCount{State: string(state)}
		for _, known := range statuses {
			if known.State == state {
				count.Count++
			}
		}
		s.ConfigStates = append(s.ConfigStates, count)
	}
}

// ConfigStatus returns the configuration status of this entry. It must not be called
// on the control thread.
func (e *Entry) ConfigStatus() applier.Status {
	var s applier.Status
	e.loop.Call(func(now time.Time) { s = e.versions.applier.Status(now) })
	return s
}

// ConfigStatuses returns the configuration status of this entry, followed by those of
// the connected agents. It must not be called on the control thread.
func (e *Entry) ConfigStatuses() []applier.Status {
	var out []applier.Status
	e.loop.Call(func(now time.Time) {
		out = append([]applier.Status{e.versions.applier.Status(now)}, e.versions.applier.Agents()...)
	})
	return out
}
