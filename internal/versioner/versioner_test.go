package versioner

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/internal/emulator"
	"sardinelock.dev/sardinelock/internal/seeder"
	"sardinelock.dev/sardinelock/internal/storer"
)

// TestMain fixes the seed of the random tests.
func TestMain(m *testing.M) { seeder.Main(m) }

var errLost = &storer.Error{Op: "test", Kind: storer.KindUnavailable, Err: errors.New("lost")}

// faults says how often calls of the platform go wrong.
type faults struct {
	refuseRatio float64 // The call does not reach the platform.
	loseRatio   float64 // The call takes effect and its answer is lost.
	lateRatio   float64 // A write that seemed lost takes effect later.
	forget      bool    // The platform does not recognise a repeated request.
}

// line is one operator's connection to the platform.
type line struct {
	platform *emulator.Platform
	random   *rand.Rand
	faults   faults
	late     *sync.WaitGroup
}

func (l *line) versioner() *Versioner {
	return &Versioner{
		Read:  l.read,
		Write: l.write,
		PutObject: func(context.Context, string, []byte) error {
			l.wait()
			return nil
		},
		Object: func(context.Context, string) ([]byte, error) { return nil, errLost },
		Now:    time.Now,
		Pause:  func(_ context.Context, d time.Duration) { time.Sleep(d) },
	}
}

func (l *line) wait() { time.Sleep(time.Duration(1 + l.random.Int64N(int64(300*time.Millisecond)))) }

func (l *line) read(_ context.Context, prefix string) (storer.Range, error) {
	l.wait()
	if l.random.Float64() < l.faults.refuseRatio {
		return storer.Range{}, errLost
	}
	out := l.platform.Read(prefix)
	l.wait()
	return out, nil
}

func (l *line) write(_ context.Context, t storer.Transaction) (storer.Outcome, error) {
	l.wait()
	if l.faults.forget {
		t.RequestID += fmt.Sprint(l.random.Uint64())
	}
	if l.random.Float64() < l.faults.refuseRatio {
		return storer.Outcome{}, errLost
	}
	if l.random.Float64() < l.faults.lateRatio {
		delay := time.Duration(l.random.Int64N(int64(20 * time.Second)))
		l.late.Go(func() {
			time.Sleep(delay)
			l.platform.Write(t)
		})
		return storer.Outcome{}, errLost
	}
	out := l.platform.Write(t)
	l.wait()
	if l.random.Float64() < l.faults.loseRatio {
		return storer.Outcome{}, errLost
	}
	return out, nil
}

// asked is a change and what its operator was told.
type asked struct {
	change Change
	result Result
}

func content(text string) configurer.Version {
	return configurer.Version{Base: "services: [] # " + text}
}

// race lets operators change the configuration at the same time and returns what
// each was told. It runs within a bubble of virtual time.
func race(platform *emulator.Platform, seed uint64, operators, changes int, f faults) []asked {
	var (
		late, wg sync.WaitGroup
		out      = make([][]asked, operators)
	)
	for i := range operators {
		l := &line{platform: platform, random: rand.New(rand.NewPCG(seed, uint64(i))), faults: f, late: &late}
		wg.Go(func() { out[i] = operate(l, i, changes) })
	}
	wg.Wait()
	late.Wait()
	var all []asked
	for _, list := range out {
		all = append(all, list...)
	}
	return all
}

func operate(l *line, operator, changes int) []asked {
	var out []asked
	r := l.versioner()
	for n := range changes {
		head, err := r.Current(context.Background())
		if KindOf(err) == KindUnavailable {
			continue
		}
		c := Change{ID: fmt.Sprintf("change-%d-%d", operator, n), ExpectVersion: head.Number, Content: content(fmt.Sprint(operator, n))}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		result, err := r.Apply(ctx, c)
		cancel()
		if err != nil {
			panic(err)
		}
		out = append(out, asked{c, result})
		l.wait()
	}
	return out
}

// verify holds what operators were told against the versions that there are.
func verify(platform *emulator.Platform, all []asked) error {
	accepted := make(map[string]uint64)
	for i, row := range platform.Read(configurer.HistoryPrefix).Rows {
		head, err := configurer.DecodeHead(row.Value)
		if err != nil {
			return err
		}
		if head.Number != uint64(i+1) {
			return errors.Errorf("version %d is in place %d", head.Number, i+1)
		}
		if other, twice := accepted[head.ChangeID]; twice {
			return errors.Errorf("change %s is version %d and %d", head.ChangeID, other, head.Number)
		}
		accepted[head.ChangeID] = head.Number
	}
	for _, a := range all {
		number := accepted[a.change.ID]
		switch a.result.Verdict {
		case VerdictAccepted:
			if number != a.result.Version {
				return errors.Errorf("%s was told to be version %d and is %d", a.change.ID, a.result.Version, number)
			}
		case VerdictRefused:
			if number != 0 {
				return errors.Errorf("%s was told to be refused and is version %d", a.change.ID, number)
			}
		}
	}
	return nil
}

// TestRacingOperators checks that what an operator is told is true, whatever is
// lost, late or raced.
func TestRacingOperators(t *testing.T) {
	verdicts := make(map[Verdict]int)
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		f := faults{
			refuseRatio: rapid.Float64Range(0, 0.5).Draw(rt, "refuse"),
			loseRatio:   rapid.Float64Range(0, 0.5).Draw(rt, "lose"),
			lateRatio:   rapid.Float64Range(0, 0.5).Draw(rt, "late"),
			forget:      rapid.Bool().Draw(rt, "forget"),
		}
		operators := rapid.IntRange(1, 4).Draw(rt, "operators")
		platform := emulator.NewPlatform(seed, emulator.Faults{})
		var all []asked
		synctest.Test(t, func(*testing.T) { all = race(platform, seed, operators, 5, f) })
		for _, a := range all {
			verdicts[a.result.Verdict]++
		}
		if err := verify(platform, all); err != nil {
			rt.Fatal(err)
		}
	})
	for _, v := range []Verdict{VerdictAccepted, VerdictRefused, VerdictUnknown} {
		if verdicts[v] == 0 {
			t.Errorf("no change was %s, so that the test shows nothing about it", v)
		}
	}
	t.Logf("verdicts: %v", verdicts)
}

// TestLostAnswers asks again under the same change id until the outcome is known.
func TestLostAnswers(t *testing.T) {
	for seed := range uint64(50) {
		platform := emulator.NewPlatform(seed, emulator.Faults{})
		var all []asked
		synctest.Test(t, func(*testing.T) {
			all = race(platform, seed, 3, 4, faults{loseRatio: 0.6, lateRatio: 0.3})
			for i, a := range all {
				if a.result.Verdict != VerdictUnknown {
					continue
				}
				l := &line{platform: platform, random: rand.New(rand.NewPCG(seed, 99)), late: new(sync.WaitGroup)}
				a.change.Repeated = true
				result, err := l.versioner().Apply(context.Background(), a.change)
				if err != nil {
					t.Error(err)
				}
				if result.Verdict == VerdictUnknown {
					t.Errorf("seed %d: %s is unknown although every answer arrives", seed, a.change.ID)
				}
				all[i] = asked{a.change, result}
			}
		})
		if err := verify(platform, all); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// TestChangeIDOfAnother checks that an id is not taken for another content.
func TestChangeIDOfAnother(t *testing.T) {
	platform := emulator.NewPlatform(1, emulator.Faults{})
	r := quietVersioner(platform)
	if _, err := r.Apply(t.Context(), Change{ID: "a", Content: content("one")}); err != nil {
		t.Fatal(err)
	}
	_, err := r.Apply(t.Context(), Change{ID: "a", Content: content("two"), Repeated: true})
	if KindOf(err) != KindInvalid {
		t.Errorf("got %v, want an error of kind %s", err, KindInvalid)
	}
}

// TestHistoryIsBounded checks that the table keeps the latest versions, that the
// older ones are objects, and that none is lost while objects cannot be stored.
func TestHistoryIsBounded(t *testing.T) {
	const outage = 10
	platform := emulator.NewPlatform(1, emulator.Faults{})
	r := quietVersioner(platform)
	put := r.PutObject
	grow(t, r, 0, KeptVersions)
	r.PutObject = func(context.Context, string, []byte) error { return errLost }
	grow(t, r, KeptVersions, KeptVersions+outage)
	countRows(t, platform, KeptVersions+outage)
	r.PutObject = put
	const changes = KeptVersions + outage + 1
	grow(t, r, KeptVersions+outage, changes)
	countRows(t, platform, KeptVersions)

	heads, err := r.History(t.Context(), changes+1)
	if err != nil {
		t.Fatal(err)
	}
	var want, got []uint64
	for n := range uint64(changes) {
		want = append(want, changes-n)
	}
	for _, h := range heads {
		got = append(got, h.Number)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("history (-want +got):\n%s", diff)
	}
	v, err := r.Version(t.Context(), 1)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(content("0").Base, v.Base); diff != "" {
		t.Errorf("version 1 (-want +got):\n%s", diff)
	}
}

// grow makes the changes after version from up to version to.
func grow(t *testing.T, r *Versioner, from, to uint64) {
	t.Helper()
	for n := from; n < to; n++ {
		result, err := r.Apply(t.Context(), Change{ID: fmt.Sprint("c", n), ExpectVersion: n, Content: content(fmt.Sprint(n))})
		if err != nil || result.Verdict != VerdictAccepted {
			t.Fatalf("change %d: %v %v", n, result, err)
		}
	}
}

func countRows(t *testing.T, platform *emulator.Platform, want int) {
	t.Helper()
	for _, prefix := range []string{configurer.HistoryPrefix, configurer.DocumentPrefix} {
		if got := len(platform.Read(prefix).Rows); got != want {
			t.Errorf("the table has %d rows below %s, want %d", got, prefix, want)
		}
	}
}

// quietVersioner calls a platform that does nothing wrong.
func quietVersioner(platform *emulator.Platform) *Versioner {
	objects := make(map[string][]byte)
	return &Versioner{
		Read:  func(_ context.Context, prefix string) (storer.Range, error) { return platform.Read(prefix), nil },
		Write: func(_ context.Context, t storer.Transaction) (storer.Outcome, error) { return platform.Write(t), nil },
		PutObject: func(_ context.Context, key string, body []byte) error {
			objects[key] = json.RawMessage(body)
			return nil
		},
		Object: func(_ context.Context, key string) ([]byte, error) {
			body, ok := objects[key]
			if !ok {
				return nil, &storer.Error{Op: "object", Kind: storer.KindAbsent, Err: errors.New(key)}
			}
			return body, nil
		},
		Now:   time.Now,
		Pause: func(context.Context, time.Duration) {},
	}
}
