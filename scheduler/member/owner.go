package member

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"daisylug.example/scheduler/platform"
)

// Owner returns the member that owns key by weighted rendezvous hashing. Each
// member owns a share of all keys in proportion to its weight, and a change of
// the members moves only keys of members that joined, left or changed weight.
// Leaving members own no keys. Without a live member it returns false.
func Owner(key string, members []platform.Instance) (platform.Instance, bool) {
	var (
		owner     platform.Instance
		bestScore float64
		found     bool
	)
	for _, m := range members {
		if m.State == platform.StateLeaving {
			continue
		}
		s := score(key, m.Name, m.Weight)
		if !found || s > bestScore || s == bestScore && m.Name < owner.Name {
			owner, bestScore, found = m, s, true
		}
	}
	return owner, found
}

// score returns -weight/ln(u) with u in (0,1) derived from the hash of key and
// name. The probability that a member has the highest score is proportional to
// its weight.
func score(key, name string, weight int) float64 {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(key)))

	// The length prefix makes ("ab","c") and ("a","bc") hash differently.
	d := xxhash.New()
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(key)
	_, _ = d.WriteString(name)

	const bits = 53
	u := (float64(d.Sum64()>>(64-bits)) + 0.5) / (1 << bits)
	return -float64(max(weight, 1)) / math.Log(u)
}
