package memory

import (
	"bytes"
	"encoding/json"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Payload describes what a task or quick request does.
type Payload struct {
	// Seconds is the run time at speed 1.
	Seconds float64 `json:"seconds"`
	// Fail makes the work fail at its end.
	Fail bool `json:"fail,omitempty"`
	// Bytes is the least size of the result; Echo is padded to it.
	Bytes int `json:"bytes,omitempty"`
	// Echo is the text that the result starts with.
	Echo string `json:"echo,omitempty"`
}

// maxResult bounds the result that a payload may ask for.
const maxResult = 64 << 20

// Encode returns p as JSON.
func (p Payload) Encode() []byte {
	raw, err := json.Marshal(p)
	if err != nil {
		panic(err) // only for a run time that is not a number
	}
	return raw
}

// run is a payload with the worker's decision whether it fails.
type run struct {
	Payload
	reason string // why it fails; empty if it succeeds
}

// faultShare is the share of its run time after which work fails when the
// worker is at fault. Such a worker is free early and attracts further work.
const faultShare = 0.1

// newRun decodes a payload. An empty payload does nothing.
func newRun(raw []byte, faulty bool) run {
	var r run
	if len(raw) > 0 && json.Unmarshal(raw, &r.Payload) != nil {
		return run{reason: "invalid payload"}
	}
	r.Seconds = max(r.Seconds, 0)
	switch {
	case faulty:
		r.Seconds *= faultShare
		r.reason = "worker fault"
	case r.Fail:
		r.reason = "payload failed"
	}
	return r
}

func (r run) duration(speed float64) time.Duration {
	return time.Duration(r.Seconds / speed * float64(time.Second))
}

func (r run) result() []byte {
	content := []byte(r.Echo)
	if pad := min(r.Bytes, maxResult) - len(content); pad > 0 {
		content = append(content, bytes.Repeat([]byte{'.'}, pad)...)
	}
	return content
}

// newRand returns a random source that depends on the seed and a name.
func newRand(name string, seed uint64) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}
