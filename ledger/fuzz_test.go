package ledger

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// FuzzUnpack guards against panics on a damaged stored batch, and against records
// that change when they are decoded and encoded again.
func FuzzUnpack(f *testing.F) {
	good, err := encode([]Record{{ID: RecordID("team", "key"), Team: "team", Cost: 1.5, State: StateFinal, FilingMinute: time.Unix(0, 0).UTC()}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good, "ledger/20260101T0000/host/1")
	f.Add(good[:len(good)/2], "ledger/")
	f.Add([]byte{}, "ledger/20260101T000")
	f.Fuzz(func(t *testing.T, data []byte, key string) {
		if minute, ok := minuteOf(key); ok && !bytes.HasPrefix([]byte(key), []byte(minutePrefix(minute)[:len(keyRoot)+len(minuteLayout)])) {
			t.Errorf("minuteOf(%q) = %v, which has another prefix", key, minute)
		}
		var first, second []Record
		if decode(data, &first) != nil {
			return
		}
		reencoded, err := encode(first)
		if err != nil {
			return // a time that JSON can't represent
		}
		if err := decode(reencoded, &second); err != nil || !cmp.Equal(first, second) {
			t.Errorf("records changed when encoded again: diff %s, error %v", cmp.Diff(first, second), err)
		}
		var s summary
		if decode(data, &s) == nil {
			_ = s.has(RecordID("team", "key")) // must not panic if IDs is damaged
		}
	})
}
