package member

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"daisylug.example/scheduler/platform"
)

// Owner returns the member that owns key by weighted rendezvous hashing. Each
// member owns a share of all keys in proportion to its weight, and a change of
// members moves only keys of the members that came, left or changed weight.
// Leaving members own nothing. Without a live member it returns false.
func Owner(key string, members []platform.Instance) (platform.Instance, bool) {
	var (
		owner platform.Instance
		best  float64
		found bool
	)
	for _, m := range members {
		if m.State == platform.StateLeaving {
			continue
		}
		s := score(key, m.Name, m.Weight)
		if !found || s > best || s == best && m.Name < owner.Name {
			owner, best, found = m, s, true
		}
	}
	return owner, found
}

// score is -weight/ln(u) with u in (0,1) drawn from the hash of key and name.
// The highest of such scores belongs to a member with a probability in
// proportion to its weight.
func score(key, name string, weight int) float64 {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(key)))

	// The length keeps ("ab","c") and ("a","bc") apart.
	d := xxhash.New()
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(key)
	_, _ = d.WriteString(name)

	const bits = 53
	u := (float64(d.Sum64()>>(64-bits)) + 0.5) / (1 << bits)
	return -float64(max(weight, 1)) / math.Log(u)
}
