package entry

import (
	"encoding/json"
	"testing"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/interference"
)

// TestStatusOfInterference guards against fields that change their name or unit.
func TestStatusOfInterference(t *testing.T) {
	kind := func(image string) interference.Kind {
		return interference.NewKind("q", image, batch.Resources{MilliCPU: 1024, MemoryMB: 2048, Accelerators: 1})
	}
	got, err := json.Marshal(newWireInterference(interference.Pair{
		Kind: kind("a"), Neighbour: kind("b"), Slowdown: 0.405, Variance: 0.0004, Runs: 40,
	}))
	const want = `{"kind":{"queue":"q","image":"a","millicpu":1024,"memorymb":2048,"accelerators":1},` +
		`"neighbour":{"queue":"q","image":"b","millicpu":1024,"memorymb":2048,"accelerators":1},"factor":1.5,"runs":40,"error":0.02}`
	if err != nil || string(got) != want {
		t.Errorf("%s, error %v, want %s", got, err, want)
	}
}
