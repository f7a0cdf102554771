package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"google.golang.org/protobuf/proto"

	"daisylug.example/scheduler/schema"
)

const (
	jobPrefix     = "job/"
	openPrefix    = "open/"
	requestPrefix = "request/"

	teamHashBytes = 4
	keyHashBytes  = 16
)

// ID returns the ID of the job with the given team and key. Its first part
// depends only on the team, so that the jobs of a team are adjacent in the
// table.
func ID(team, key string) string {
	return teamIDPrefix(team) + hashParts("job", team, key)
}

// RequestID returns the ID of the quick request with the given team and key.
func RequestID(team, key string) string {
	return teamIDPrefix(team) + hashParts("request", team, key)
}

func teamIDPrefix(team string) string {
	sum := sha256.Sum256([]byte(team))
	return hex.EncodeToString(sum[:teamHashBytes]) + "-"
}

// hashParts hashes the parts with their lengths, so that ("a", "bc") and
// ("ab", "c") differ.
func hashParts(parts ...string) string {
	h := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	return hex.EncodeToString(h.Sum(nil)[:keyHashBytes])
}

func jobKey(id string) string          { return jobPrefix + id }
func openKey(centre, id string) string { return openPrefix + centre + "/" + id }
func requestKey(id string) string      { return requestPrefix + id }

// differingFields returns the names of the fields in which two submissions with
// the same key differ. The data centre is not compared, since the second
// submission may arrive through another one.
func differingFields(a, b *schema.Job) []string {
	var fields []string
	add := func(name string, equal bool) {
		if !equal {
			fields = append(fields, name)
		}
	}
	add("team", a.Team == b.Team)
	add("key", a.Key == b.Key)
	add("template", a.Template == b.Template)
	add("class", a.Class == b.Class)
	add("shape", proto.Equal(a.Shape, b.Shape))
	add("deadline", proto.Equal(a.Deadline, b.Deadline))
	add("idempotent", a.Idempotent == b.Idempotent)
	add("estimate", a.Estimate == b.Estimate)
	add("payload", samePayload(a, b))
	return fields
}

func terminal(s schema.State) bool {
	switch s {
	case schema.State_STATE_DONE, schema.State_STATE_FAILED,
		schema.State_STATE_CANCELLED, schema.State_STATE_UNKNOWN:
		return true
	default:
		return false
	}
}
