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

// faults configures how calls of the platform fail.
type faults struct {
	refuseRatio    float64 // The call does not reach the platform.
	loseRatio      float64 // The call takes effect and its answer is lost.
	lateRatio      float64 // The answer of a write is lost, and the write takes effect later.
	forgetRequests bool    // The platform does not recognise a repeated request.
}

// operatorConn is one operator's connection to the platform, with fault injection.
type operatorConn struct {
	platform *emulator.Platform
	random   *rand.Rand
	faults   faults
	late     *sync.WaitGroup
}

func (l *operatorConn) versioner() *Versioner {
	return &Versioner{
		Read:  l.read,
		Write: l.write,
		PutObject: func(context.Context, string, []byte) error {
			l.wait()
			return nil
		},
		Object: func(context.Context, string) ([]byte, error) { return nil, errLost },
		Now:    time.Now,
		Sleep:  func(_ context.Context, d time.Duration) { time.Sleep(d) },
	}
}

func (l *operatorConn) wait() {
	time.Sleep(time.Duration(1 + l.random.Int64N(int64(300*time.Millisecond))))
}

func (l *operatorConn) read(_ context.Context, prefix string) (storer.Range, error) {
	l.wait()
	if l.random.Float64() < l.faults.refuseRatio {
		return storer.Range{}, errLost
	}
	out := l.platform.Read(prefix)
	l.wait()
	return out, nil
}

func (l *operatorConn) write(_ context.Context, t storer.Transaction) (storer.Outcome, error) {
	l.wait()
	if l.faults.forgetRequests {
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

// submittedChange is a change with the result that its operator received.
type submittedChange struct {
	change Change
	result Result
}

func content(text string) configurer.Version {
	return configurer.Version{Base: "services: [] # " + text}
}

// race runs operators that change the configuration concurrently, and returns their
// changes with the results. It must run in a synctest bubble.
func race(platform *emulator.Platform, seed uint64, operators, changes int, f faults) []submittedChange {
	var (
		late, wg sync.WaitGroup
		out      = make([][]submittedChange, operators)
	)
	for i := range operators {
		l := &operatorConn{platform: platform, random: rand.New(rand.NewPCG(seed, uint64(i))), faults: f, late: &late}
		wg.Go(func() { out[i] = operate(l, i, changes) })
	}
	wg.Wait()
	late.Wait()
	var all []submittedChange
	for _, list := range out {
		all = append(all, list...)
	}
	return all
}

func operate(l *operatorConn, operator, changes int) []submittedChange {
	var out []submittedChange
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
		out = append(out, submittedChange{c, result})
		l.wait()
	}
	return out
}

// verify checks the results that operators received against the stored versions.
func verify(platform *emulator.Platform, all []submittedChange) error {
	accepted := make(map[string]uint64)
	for i, row := range platform.Read(configurer.HistoryPrefix).Rows {
		head, err := configurer.DecodeHead(row.Value)
		if err != nil {
			return err
		}
		if head.Number != uint64(i+1) {
			return errors.Errorf("version %d is in place %d", head.Number, i+1)
		}
		if other, duplicate := accepted[head.ChangeID]; duplicate {
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

// TestRacingOperators checks that the results of changes are true, even if calls are
// lost, writes take effect late, or operators race.
func TestRacingOperators(t *testing.T) {
	verdicts := make(map[Verdict]int)
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		f := faults{
			refuseRatio:    rapid.Float64Range(0, 0.5).Draw(rt, "refuse"),
			loseRatio:      rapid.Float64Range(0, 0.5).Draw(rt, "lose"),
			lateRatio:      rapid.Float64Range(0, 0.5).Draw(rt, "late"),
			forgetRequests: rapid.Bool().Draw(rt, "forget"),
		}
		operators := rapid.IntRange(1, 4).Draw(rt, "operators")
		platform := emulator.NewPlatform(seed, emulator.Faults{})
		var all []submittedChange
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
			t.Errorf("no change was %s; the test does not cover this verdict", v)
		}
	}
	t.Logf("verdicts: %v", verdicts)
}

// TestLostAnswers checks that a change whose outcome is unknown, because answers were
// lost, is resolved by repeating it with the same change id.
func TestLostAnswers(t *testing.T) {
	for seed := range uint64(50) {
		platform := emulator.NewPlatform(seed, emulator.Faults{})
		var all []submittedChange
		synctest.Test(t, func(*testing.T) {
			all = race(platform, seed, 3, 4, faults{loseRatio: 0.6, lateRatio: 0.3})
			for i, a := range all {
				if a.result.Verdict != VerdictUnknown {
					continue
				}
				l := &operatorConn{platform: platform, random: rand.New(rand.NewPCG(seed, 99)), late: new(sync.WaitGroup)}
				a.change.Repeated = true
				result, err := l.versioner().Apply(context.Background(), a.change)
				if err != nil {
					t.Error(err)
				}
				if result.Verdict == VerdictUnknown {
					t.Errorf("seed %d: %s is unknown although every answer arrives", seed, a.change.ID)
				}
				all[i] = submittedChange{a.change, result}
			}
		})
		if err := verify(platform, all); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// TestChangeIDOfAnother checks that a change id cannot be reused with other content.
func TestChangeIDOfAnother(t *testing.T) {
	platform := emulator.NewPlatform(1, emulator.Faults{})
	r := faultlessVersioner(platform)
	if _, err := r.Apply(t.Context(), Change{ID: "a", Content: content("one")}); err != nil {
		t.Fatal(err)
	}
	_, err := r.Apply(t.Context(), Change{ID: "a", Content: content("two"), Repeated: true})
	if KindOf(err) != KindInvalid {
		t.Errorf("got %v, want an error of kind %s", err, KindInvalid)
	}
}

// TestHistoryIsBounded checks that the table keeps the latest versions, that older ones
// are moved to objects, and that none is lost while objects cannot be stored.
func TestHistoryIsBounded(t *testing.T) {
	const outage = 10
	platform := emulator.NewPlatform(1, emulator.Faults{})
	r := faultlessVersioner(platform)
	put := r.PutObject
	applyChanges(t, r, 0, KeptVersions)
	r.PutObject = func(context.Context, string, []byte) error { return errLost }
	applyChanges(t, r, KeptVersions, KeptVersions+outage)
	countRows(t, platform, KeptVersions+outage)
	r.PutObject = put
	const changes = KeptVersions + outage + 1
	applyChanges(t, r, KeptVersions+outage, changes)
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

// applyChanges applies changes on top of version from, up to version to.
func applyChanges(t *testing.T, r *Versioner, from, to uint64) {
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

// faultlessVersioner returns a versioner whose calls of the platform never fail.
func faultlessVersioner(platform *emulator.Platform) *Versioner {
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
		Sleep: func(context.Context, time.Duration) {},
	}
}
