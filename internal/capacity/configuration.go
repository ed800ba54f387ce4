package capacity

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/resource"
)

// Configuration is the cost of a configuration with the given number of
// endpoints.
type Configuration struct {
	Endpoints int
	// JSONBytes and GzipBytes are the sizes of the encoded value before and after
	// compression.
	JSONBytes, GzipBytes float64
	// CPUSeconds is the processor time to decode and index the value once.
	CPUSeconds float64
	// MemoryBytes is the heap size of the indexed snapshot.
	MemoryBytes float64
}

const (
	versions = 10
	teams    = 40
	// decodeRounds is the number of decodings over which the processor time is
	// averaged.
	decodeRounds = 20
)

// Resources returns a configuration with n endpoints.
func Resources(n int) []resource.Resource {
	var out []resource.Resource
	add := func(kind resource.Kind, name string, spec any) {
		out = append(out, resource.Resource{Kind: kind, Name: name, Spec: spec})
	}
	var models, names []string
	for i := range versions {
		model := fmt.Sprintf("model-%d", i/2)
		if i%2 == 0 {
			add(resource.KindModel, model, &resource.Model{Description: "a model"})
			models = append(models, model)
		}
		name := fmt.Sprintf("%s-v%d", model, i%2)
		add(resource.KindVersion, name, &resource.Version{Model: model, State: resource.VersionServing, InputCost: 1, OutputCost: 2, PassRate: 0.9})
		names = append(names, name)
	}
	for i := range teams {
		add(resource.KindTeam, fmt.Sprintf("team-%d", i), &resource.Team{
			KeyHashes: []string{fmt.Sprintf("%064x", i+1)}, Models: models, Weight: 1,
		})
	}
	for i := range n {
		add(resource.KindEndpoint, fmt.Sprintf("engine-%05d", i), &resource.Endpoint{
			Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255), Concurrency: 16,
			FailureDomain: fmt.Sprintf("domain-%02d", i%Domains), Region: fmt.Sprintf("region-%d", i%6),
			Versions: []string{names[i%versions], names[(i+1)%versions]}, State: resource.EndpointActive, ChecksFencing: i%2 == 0,
		})
	}
	return out
}

// MeasureConfiguration measures a configuration with n endpoints.
func MeasureConfiguration(n int) (Configuration, error) {
	data, err := json.Marshal(Resources(n))
	if err != nil {
		return Configuration{}, errors.Wrap(err, "capacity: encode configuration")
	}
	var compressed bytes.Buffer
	zw := gzip.NewWriter(&compressed)
	if _, err := zw.Write(data); err != nil {
		return Configuration{}, errors.Wrap(err, "capacity: compress configuration")
	}
	if err := zw.Close(); err != nil {
		return Configuration{}, errors.Wrap(err, "capacity: compress configuration")
	}
	cpu := cpuSeconds()
	var snap *resource.Snapshot
	for range decodeRounds {
		if snap, err = decode(compressed.Bytes()); err != nil {
			return Configuration{}, err
		}
	}
	cpu = (cpuSeconds() - cpu) / decodeRounds
	heapWithSnapshot := heap()
	snap = releaseSnapshot(snap)
	_ = snap
	return Configuration{
		Endpoints: n, JSONBytes: float64(len(data)), GzipBytes: float64(compressed.Len()),
		CPUSeconds: cpu, MemoryBytes: heapWithSnapshot - heap(),
	}, nil
}

// releaseSnapshot returns nil. It reads the snapshot, so that the snapshot is
// reachable when the heap is first measured and garbage at the second measurement.
func releaseSnapshot(snap *resource.Snapshot) *resource.Snapshot {
	if snap.Revision < 0 {
		return snap
	}
	return nil
}

// decode decompresses, decodes and indexes a configuration value.
func decode(data []byte) (*resource.Snapshot, error) {
	zr, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "capacity: decompress configuration")
	}
	var list []resource.Resource
	if err := json.NewDecoder(zr).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "capacity: decode configuration")
	}
	return resource.NewSnapshot(1, list)
}
