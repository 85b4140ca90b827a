package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// key returns the identity of a request in these tests, apart from their parts.
func key(n uint64) uint64 { return 1<<32 + n }

// crashOf reports a request that was at an endpoint when that crashed.
func crashOf(r *Register, n uint64, at time.Time, request uint64, parts ...uint64) {
	r.Report(Suspect{Crash: n, Request: key(request), Since: at.Add(-50 * time.Millisecond), Ended: at, Begun: true, Parts: parts}, at)
}

func isRequestHeld(r *Register, n uint64) bool { return isHeld(r, key(n)) }

// Guards against a request that crashes one endpoint after the other: the second
// independent crash condemns it, and not the parts of its prompt.
func TestSecondCrashCondemnsTheRequest(t *testing.T) {
	for _, parts := range [][]uint64{nil, {1, 2, 3}} {
		var changes []Change
		r := &Register{Changed: func(c Change) { changes = append(changes, c) }}
		crashOf(r, 1, after(0), 7, parts...)
		require.False(t, isRequestHeld(r, 7))
		crashOf(r, 2, after(time.Second), 7, parts...)
		require.True(t, isRequestHeld(r, 7))
		require.Len(t, changes, 1)
		require.Equal(t, Condemned, changes[0].Reason)
		require.True(t, changes[0].Request)
		until, _ := r.Held([]uint64{key(7)})
		require.Equal(t, after(time.Second+DoubtHold), until)
		r.Expire(after(time.Second + confirmTime))
		require.Equal(t, Confirmed, changes[1].Reason)
		for n := range uint64(6) {
			crashOf(r, 10+n, after(time.Duration(10+n)*time.Second), 7, parts...)
		}
		require.False(t, isHeld(r, 1, 2, 99), "the parts that it shares are sound")
		until, _ = r.Held([]uint64{key(7)})
		require.Equal(t, after(time.Second+FirstRequestHold), until)
	}
}

// Guards against a verdict on a request that was at endpoints which all ended in one
// moment, and on one that was answered between two crashes.
func TestRequestNeedsIndependentCrashesWithoutAnswer(t *testing.T) {
	r := &Register{}
	for n := range uint64(9) {
		at := after(time.Duration(n) * 20 * time.Millisecond)
		r.Report(Suspect{Crash: n, Request: key(7), Since: epoch.Add(-time.Second), Ended: at, Begun: true}, at)
	}
	require.False(t, isRequestHeld(r, 7))
	for n := range uint64(9) {
		at := after(time.Duration(10+n) * time.Second)
		r.Begun([]uint64{key(7)}, at.Add(-time.Second/2))
		crashOf(r, 100+n, at, 7)
		require.False(t, isRequestHeld(r, 7))
	}
}

// Guards against a request that is repeated at once and crashes one endpoint after the
// other within a moment.
func TestRepeatedRequestIsCondemnedAtOnce(t *testing.T) {
	r := &Register{}
	crashOf(r, 1, after(0), 7)
	crashOf(r, 2, after(60*time.Millisecond), 7)
	require.True(t, isRequestHeld(r, 7))
}

// Guards against a sound part that is condemned because several requests that crash
// endpoints as a whole share it, and the other way round.
func TestCondemnedRequestsExplainTheirCrashes(t *testing.T) {
	r := &Register{}
	crashes := uint64(0)
	for n := range uint64(20) {
		if request := n / 4; !isRequestHeld(r, request) {
			crashes++
			crashOf(r, n, after(time.Duration(n)*time.Second), request, 1, 100+request)
		}
	}
	require.Equal(t, uint64(5*RequestCrashes), crashes)
	require.False(t, isHeld(r, 1, 99))

	r = &Register{}
	for n := range uint64(3) {
		crashOf(r, n, after(time.Duration(n)*time.Second), 10+n, 1, 100+n)
	}
	require.True(t, isHeld(r, 1, 99), "three requests that differ speak against the part that they share")
	require.False(t, isRequestHeld(r, 10))
}

// Guards against a sound request that stays condemned because it was at two crashes that
// another one caused: a trial frees it at all instances.
func TestBystanderIsFreed(t *testing.T) {
	a, b := &Register{}, &Register{}
	for n := range uint64(2) {
		at := after(time.Duration(n) * time.Second)
		crashOf(a, n, at, 7)
		crashOf(b, n, at, 8)
		exchange(t, at, false, a, b)
		exchange(t, at, false, b, a)
	}
	require.True(t, isRequestHeld(a, 7) && isRequestHeld(a, 8) && isRequestHeld(b, 7) && isRequestHeld(b, 8))
	now := after(time.Second + TieHold)
	require.False(t, b.Try([]uint64{key(8)}, first, now.Add(-time.Millisecond)))
	require.True(t, b.Try([]uint64{key(8)}, first, now))
	b.Begun([]uint64{key(8)}, now.Add(time.Second))
	exchange(t, now.Add(time.Second), false, b, a)
	require.False(t, isRequestHeld(a, 8) || isRequestHeld(b, 8))
	require.True(t, isRequestHeld(a, 7) && isRequestHeld(b, 7))
}

// tie lets two requests be at the same crashes, so that each of them is condemned and in
// doubt, and returns the time of their first trials.
func tie(t *testing.T, x, y uint64, all ...*Register) time.Time {
	t.Helper()
	for n := range uint64(2) {
		at := after(time.Duration(n) * time.Second)
		crashOf(all[0], n, at, x)
		crashOf(all[0], n, at, y)
		exchange(t, at, false, all[0], all[1:]...)
	}
	for _, r := range all {
		require.True(t, isRequestHeld(r, x) && isRequestHeld(r, y))
	}
	return after(time.Second + TieHold)
}

// Guards against a sound request whose trials are used up although none has reached an
// endpoint, as all of them are restarting.
func TestTrialInATieIsGivenBack(t *testing.T) {
	a, b := &Register{}, &Register{}
	now := tie(t, 7, 8, a, b)
	for n := range 3 * MaxRequestTrials {
		r, other := a, b
		if n%2 == 1 {
			r, other = b, a
		}
		require.True(t, r.Try([]uint64{key(8)}, first, now), "trial %d", n)
		r.Return([]uint64{key(8)}, now)
		exchange(t, now, false, r, other)
		now = now.Add(300 * time.Millisecond)
	}
}

// Guards against a second trial of a request beside the first one.
func TestTrialInATieIsTheOnlyOne(t *testing.T) {
	a, b := &Register{}, &Register{}
	now := tie(t, 7, 8, a, b)
	require.True(t, a.Try([]uint64{key(8)}, first, now))
	exchange(t, now, false, a, b)
	for _, r := range []*Register{a, b} {
		require.False(t, r.Try([]uint64{key(8)}, first, now.Add(500*time.Millisecond)))
	}
	// The trial ends in a crash at which the other request was again.
	now = now.Add(600 * time.Millisecond)
	crashOf(a, 10, now, 7)
	crashOf(a, 10, now, 8)
	exchange(t, now, false, a, b)
	require.False(t, b.Try([]uint64{key(8)}, first, now.Add(TieHold-time.Millisecond)))
	require.True(t, b.Try([]uint64{key(8)}, first, now.Add(TieHold)))
}

// Guards against a sound request whose trials are used up because a deadly one is tried
// at the same endpoints at the same times, by other instances.
func TestRequestsInATieAreTriedOneAfterAnother(t *testing.T) {
	a, b := &Register{}, &Register{}
	now := tie(t, 7, 8, a, b)
	require.True(t, a.Try([]uint64{key(7)}, first, now))
	exchange(t, now, false, a, b)
	for _, r := range []*Register{a, b} {
		require.False(t, r.Try([]uint64{key(8)}, first, now.Add(80*time.Millisecond)))
	}
	// The first one has crashed its endpoint: the other's turn begins.
	now = now.Add(100 * time.Millisecond)
	crashOf(a, 10, now, 7)
	exchange(t, now, false, a, b)
	require.True(t, b.Try([]uint64{key(8)}, first, now.Add(50*time.Millisecond)))
	exchange(t, now.Add(50*time.Millisecond), false, b, a)
	b.Begun([]uint64{key(8)}, now.Add(TieHold))
	exchange(t, now.Add(TieHold), false, b, a)
	require.False(t, isRequestHeld(a, 8) || isRequestHeld(b, 8))
	require.True(t, a.Try([]uint64{key(7)}, first, now.Add(DoubtHold)))
}

// Guards against a request that is not tried because the trial of another one goes on, or
// its end was not seen.
func TestTrialInATieHoldsOthersForAShortTime(t *testing.T) {
	a, b := &Register{}, &Register{}
	now := tie(t, 7, 8, a, b)
	require.True(t, a.Try([]uint64{key(7)}, first, now))
	exchange(t, now, false, a, b)
	require.True(t, b.Try([]uint64{key(8)}, first, now.Add(TieHold)))
}

// Guards against a request that is tried for as long as it comes, by however many
// instances: after the third crash, at most three more.
func TestTrialsOfARequestAreBounded(t *testing.T) {
	a, b := &Register{}, &Register{}
	arrivals := uint64(0)
	for now := epoch; now.Before(after(6 * time.Hour)); now = now.Add(time.Second) {
		for _, r := range []*Register{a, b} {
			if keys := []uint64{key(7)}; isHeld(r, keys...) && !r.Try(keys, first, now) {
				until := r.Refuse(keys, now)
				require.LessOrEqual(t, until.Sub(now), MaxHold)
				continue
			}
			arrivals++
			crashOf(r, arrivals, now, 7)
			exchange(t, now, false, r, a, b)
		}
		exchange(t, now, true, a, b)
		exchange(t, now, true, b, a)
		a.Expire(now)
		b.Expire(now)
	}
	require.LessOrEqual(t, arrivals, uint64(6))
	for now := after(6 * time.Hour); now.Before(after(8 * time.Hour)); now = now.Add(time.Minute) {
		exchange(t, now, true, a, b)
		exchange(t, now, true, b, a)
		a.Expire(now)
		b.Expire(now)
	}
	require.False(t, isRequestHeld(a, 7) || isRequestHeld(b, 7), "forgotten if it does not come any more")
}

// Guards against a flood of requests that evicts the verdicts on those that come again.
func TestFloodKeepsTheVerdictsInUse(t *testing.T) {
	r, peer := &Register{}, &Register{}
	at := epoch
	for n := range uint64(4 * maxVerdicts) {
		at = at.Add(300 * time.Millisecond)
		crashOf(r, 2*n, at, 1000+n)
		at = at.Add(300 * time.Millisecond)
		crashOf(r, 2*n+1, at, 1000+n)
		if n == 0 {
			continue
		}
		require.True(t, isRequestHeld(r, 1000), "after %d others", n)
		r.Refuse([]uint64{key(1000)}, at)
		if n%50 == 0 {
			exchange(t, at, true, r, peer)
			r.Expire(at)
		}
	}
	_, _, verdicts := r.Size()
	require.Equal(t, maxVerdicts, verdicts)
	for range verdicts/verdictsPerRound + 2 { // the first round also sends what is new
		list, err := r.Updates(true, at)
		require.NoError(t, err)
		require.LessOrEqual(t, len(list), (maxOwn+maxVerdicts+maxAnswers)/suspectsPerUpdate+1)
		for _, data := range list {
			require.NoError(t, peer.Merge(data, at))
		}
	}
	for _, n := range []uint64{1000, 1000 + 4*maxVerdicts - 1} {
		require.True(t, isRequestHeld(peer, n), "%d: all are passed on in turn", n)
	}
}
