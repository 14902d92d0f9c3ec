package launcher

import (
	"time"

	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/internal/agent"
	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/dispatcher"
	"sardinelock.dev/sardinelock/internal/emulator"
)

// KillEntry stops an entry immediately, as a crash would.
func (s *System) KillEntry(i int) error {
	e, err := s.entry(i)
	if err == nil {
		e.Kill()
	}
	return err
}

// PauseEntry blocks the control thread of an entry for the given time.
func (s *System) PauseEntry(i int, d time.Duration) error {
	e, err := s.entry(i)
	if err == nil {
		e.Pause(d)
	}
	return err
}

// DrainEntry begins a graceful shutdown of an entry.
func (s *System) DrainEntry(i int) error {
	if _, err := s.entry(i); err != nil {
		return err
	}
	s.drainEntries[i]()
	return nil
}

// KillAgent stops an agent immediately, as a crash would. Its upstream keeps running and
// can no longer be reached.
func (s *System) KillAgent(i int) error {
	a, err := s.agent(i)
	if err == nil {
		a.Kill()
	}
	return err
}

// PauseAgent blocks the control thread of an agent for the given time.
func (s *System) PauseAgent(i int, d time.Duration) error {
	a, err := s.agent(i)
	if err == nil {
		a.Pause(d)
	}
	return err
}

// DrainAgent begins a graceful shutdown of an agent; its upstream announces that it
// leaves.
func (s *System) DrainAgent(i int) error {
	if _, err := s.agent(i); err != nil {
		return err
	}
	s.drainAgents[i]()
	return nil
}

// FailUpstream makes an upstream fail a share of its tasks.
func (s *System) FailUpstream(i int, ratio float64) error {
	if _, err := s.agent(i); err != nil {
		return err
	}
	s.Upstreams[i].SetFailRatio(ratio)
	return nil
}

// Traffic returns the sum of the traffic of all entries and agents. Each message is
// counted as sent once, by its sender.
func (s *System) Traffic() connector.Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum connector.Totals
	add := func(t connector.Totals) {
		sum.MessagesSent += t.MessagesSent
		sum.BytesSent += t.BytesSent
		sum.MessagesRead += t.MessagesRead
		sum.BytesRead += t.BytesRead
	}
	for _, e := range s.Entries {
		add(e.Traffic())
	}
	for _, a := range s.Agents {
		add(a.Traffic())
	}
	return sum
}

// AddStarts adds the number of starts of each task on all upstreams to the given map.
func (s *System) AddStarts(into map[emulator.TaskRef]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.Upstreams {
		u.AddStarts(into)
	}
}

func (s *System) entry(i int) (*dispatcher.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i < 0 || i >= len(s.Entries) {
		return nil, errors.Errorf("there is no entry %d", i)
	}
	return s.Entries[i], nil
}

func (s *System) agent(i int) (*agent.Agent, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i < 0 || i >= len(s.Agents) {
		return nil, errors.Errorf("there is no agent %d", i)
	}
	return s.Agents[i], nil
}
