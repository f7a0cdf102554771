package memory

import (
	"bytes"
	"encoding/json"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Payload describes the simulated work of a task or quick request.
type Payload struct {
	// Seconds is the run time at speed 1.
	Seconds float64 `json:"seconds"`
	// Fail makes the work fail when it ends.
	Fail bool `json:"fail,omitempty"`
	// Bytes is the minimum size of the result; Echo is padded to it.
	Bytes int `json:"bytes,omitempty"`
	// Echo is the text that the result starts with.
	Echo string `json:"echo,omitempty"`
}

// maxResultBytes is the maximum size of the result that a payload can request.
const maxResultBytes = 64 << 20

// Encode returns p as JSON.
func (p Payload) Encode() []byte {
	raw, err := json.Marshal(p)
	if err != nil {
		panic(err) // only if Seconds is NaN or infinite
	}
	return raw
}

// execution is a decoded payload and whether the work fails.
type execution struct {
	Payload
	failureReason string // empty if the work succeeds
}

// faultyRunShare is the share of its run time after which work fails because of
// a worker fault. A faulty worker is thus free early and attracts more work.
const faultyRunShare = 0.1

// newExecution decodes a payload. An empty payload succeeds immediately.
func newExecution(payload []byte, fails bool) execution {
	var e execution
	if len(payload) > 0 && json.Unmarshal(payload, &e.Payload) != nil {
		return execution{failureReason: "invalid payload"}
	}
	e.Seconds = max(e.Seconds, 0)
	switch {
	case fails:
		e.Seconds *= faultyRunShare
		e.failureReason = "worker fault"
	case e.Fail:
		e.failureReason = "payload failed"
	}
	return e
}

func (e execution) duration(speed float64) time.Duration {
	return time.Duration(e.Seconds / speed * float64(time.Second))
}

func (e execution) result() []byte {
	content := []byte(e.Echo)
	if pad := min(e.Bytes, maxResultBytes) - len(content); pad > 0 {
		content = append(content, bytes.Repeat([]byte{'.'}, pad)...)
	}
	return content
}

// newRand returns a random generator seeded with a name and a seed.
func newRand(name string, seed uint64) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}
