package configstore

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/resource"
)

// maxDecodedBytes bounds the JSON of one configuration. Gzip compresses it about
// 13:1, so the 1 MB limit of a store value is reached first.
const maxDecodedBytes = 32 << 20

// envelope is one revision as it is stored, in gzipped JSON.
type envelope struct {
	Revision  int64               `json:"revision"`
	ChangeID  string              `json:"change_id"`
	Author    string              `json:"author"`
	Time      time.Time           `json:"time"`
	Resources []resource.Resource `json:"resources"`
}

func encode(env envelope) ([]byte, error) {
	var buf bytes.Buffer
	zip := gzip.NewWriter(&buf)
	if err := json.NewEncoder(zip).Encode(env); err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	if err := zip.Close(); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	return buf.Bytes(), nil
}

func decode(value []byte) (envelope, error) {
	zip, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return envelope{}, errors.Mark(errors.Wrap(err, "decompress"), ErrValue)
	}
	text, err := io.ReadAll(io.LimitReader(zip, maxDecodedBytes+1))
	if err != nil || len(text) > maxDecodedBytes {
		return envelope{}, errors.Wrapf(ErrValue, "decompress %d bytes: %v", len(text), err)
	}
	var env envelope
	if err := json.Unmarshal(text, &env); err != nil {
		return envelope{}, errors.Mark(errors.Wrap(err, "decode"), ErrValue)
	}
	if env.Revision <= 0 || env.ChangeID == "" {
		return envelope{}, errors.Wrapf(ErrValue, "revision %d, change %q", env.Revision, env.ChangeID)
	}
	return env, nil
}

// merge returns the resources that result from applying c to base.
func merge(base []resource.Resource, c Change) []resource.Resource {
	replaced := make(map[resource.Key]bool)
	for _, key := range c.Delete {
		replaced[key] = true
	}
	for _, r := range c.Set {
		replaced[r.Key()] = true
	}
	out := slices.DeleteFunc(slices.Clone(base), func(r resource.Resource) bool { return replaced[r.Key()] })
	return append(out, c.Set...)
}

// changedKeys returns the keys of the resources that differ between two
// configurations, sorted.
func changedKeys(a, b []resource.Resource) []resource.Key {
	specsByKey := func(list []resource.Resource) map[resource.Key]string {
		out := make(map[resource.Key]string, len(list))
		for _, r := range list {
			spec, _ := json.Marshal(r.Spec) // specs are plain data and always encode
			out[r.Key()] = string(spec)
		}
		return out
	}
	before, after := specsByKey(a), specsByKey(b)
	var keys []resource.Key
	for key, spec := range before {
		if other, ok := after[key]; !ok || other != spec {
			keys = append(keys, key)
		}
	}
	for key := range after {
		if _, ok := before[key]; !ok {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b resource.Key) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return keys
}
