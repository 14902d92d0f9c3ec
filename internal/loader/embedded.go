package loader

import (
	"context"
	"time"

	"sardinelock.dev/sardinelock/internal/emulator"
	"sardinelock.dev/sardinelock/internal/launcher"
)

// EmbeddedTarget returns the target for a system that runs in this process.
func EmbeddedTarget(s *launcher.System, x *Experiment) Target {
	return Target{
		Entries: s.CallerAddrs(),
		Slots:   x.System.Agents * x.System.Slots,
		PeerTraffic: func() PeerTraffic {
			t := s.Traffic()
			return PeerTraffic{Count: t.MessagesSent, Bytes: t.BytesSent}
		},
		Starts: func(into map[TaskRef]int) error {
			starts := make(map[emulator.TaskRef]int)
			s.AddStarts(starts)
			for ref, n := range starts {
				into[TaskRef(ref)] += n
			}
			return nil
		},
		Step: func(_ context.Context, step Step) error { return applyStep(s, step) },
	}
}

// applyStep applies one step of an experiment to a system.
func applyStep(s *launcher.System, step Step) error {
	switch step.Do {
	case ActionKillEntry:
		return s.KillEntry(step.Target)
	case ActionPauseEntry:
		return s.PauseEntry(step.Target, step.For)
	case ActionDrainEntry:
		return s.DrainEntry(step.Target)
	case ActionAddEntry:
		return s.AddEntry()
	case ActionKillAgent:
		return s.KillAgent(step.Target)
	case ActionPauseAgent:
		return s.PauseAgent(step.Target, step.For)
	case ActionDrainAgent:
		return s.DrainAgent(step.Target)
	case ActionAddAgent:
		return s.AddAgent()
	case ActionFailUpstream:
		return s.FailUpstream(step.Target, step.Ratio)
	}
	return setFaults(s.Platform, step)
}

func setFaults(p *emulator.Platform, step Step) error {
	faults := emulator.Faults{Latency: time.Duration(0).String()}
	switch step.Do {
	case ActionStoreDown:
		faults.Down = true
	case ActionStoreSlow:
		faults.Latency = step.For.String()
	}
	p.SetFaults(faults)
	return nil
}
