package quarantine

import (
	"strconv"
	"testing"
	"time"
)

// BenchmarkLookup measures what each request pays: without suspicion, and with as
// many suspects as one instance keeps of its own, and the verdicts they led to.
func BenchmarkLookup(b *testing.B) {
	parts := []string{"2a3252043d", "7d49513174e3", "357545800e92", "9dc8bd02772a"}
	for _, full := range []bool{false, true} {
		b.Run("full="+strconv.FormatBool(full), func(b *testing.B) {
			r := &Register{}
			for n := range uint64(4 * maxSuspects) {
				if full {
					crash(r, n, after(time.Duration(n)*time.Second/4), n%300, 1000+n, 10000+n)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				hashes := Hash("engines", parts)
				if _, held := r.Held(hashes); held {
					b.Fatal("held")
				}
				r.Begun(hashes, epoch)
			}
		})
	}
}

// BenchmarkReport measures one more suspect of an instance that has as many as it
// keeps of its own, with the judgement.
func BenchmarkReport(b *testing.B) {
	r := &Register{}
	n := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		n++
		crash(r, n, after(time.Duration(n)*time.Second/4), n%300, 1000+n, 10000+n)
	}
}

// BenchmarkAnswer measures the first event of an answer on a part that an earlier
// answer has cleared, with as many suspects as an instance keeps.
func BenchmarkAnswer(b *testing.B) {
	r := &Register{}
	update := r.update(epoch)
	for n := range uint64(maxSuspects) {
		at := after(time.Duration(n) * time.Millisecond)
		r.addSuspect(&suspect{Suspect: Suspect{
			Crash: n, Request: n, Since: at.Add(-50 * time.Millisecond), Ended: at, Begun: true, Parts: []uint64{1, 1000 + n, 2000 + n, 3000 + n},
		}})
	}
	update()
	for b.Loop() {
		r.Begun([]uint64{1, 5, 6}, after(time.Minute))
	}
}
