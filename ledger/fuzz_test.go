package ledger

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against panics on a damaged stored batch, and against records that
// change when they are written again.
func FuzzUnpack(f *testing.F) {
	good, err := pack([]Record{{ID: RecordID("team", "key"), Team: "team", Cost: 1.5, State: StateFinal, FilingMinute: time.Unix(0, 0).UTC()}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good, "ledger/20260101T0000/host/1")
	f.Add(good[:len(good)/2], "ledger/")
	f.Add([]byte{}, "ledger/20260101T000")
	f.Fuzz(func(t *testing.T, data []byte, key string) {
		if minute, ok := minuteOf(key); ok && !bytes.HasPrefix([]byte(key), []byte(minutePrefix(minute)[:len(keyRoot)+len(minuteLayout)])) {
			t.Errorf("key %q is taken for minute %v", key, minute)
		}
		var first, second []Record
		if unpack(data, &first) != nil {
			return
		}
		again, err := pack(first)
		if err != nil {
			return // a time outside of what JSON can hold
		}
		if err := unpack(again, &second); err != nil || !cmp.Equal(first, second) {
			t.Errorf("records changed: %s, %v", cmp.Diff(first, second), err)
		}
		var s summary
		if unpack(data, &s) == nil {
			_ = s.has(RecordID("team", "key")) // must not panic on a damaged list of ids
		}
	})
}
