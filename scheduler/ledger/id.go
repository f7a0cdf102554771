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

	teamBytes = 4
	keyBytes  = 16
)

// ID returns the id of the job with key of team. Its first part depends on
// the team only, so that the jobs of a team are neighbours in the table.
func ID(team, key string) string {
	return teamPart(team) + keyPart("job", team, key)
}

// RequestID returns the id of the quick request with key of team.
func RequestID(team, key string) string {
	return teamPart(team) + keyPart("request", team, key)
}

func teamPart(team string) string {
	sum := sha256.Sum256([]byte(team))
	return hex.EncodeToString(sum[:teamBytes]) + "-"
}

// keyPart hashes the parts with their lengths, so that ("a", "bc") and
// ("ab", "c") differ.
func keyPart(parts ...string) string {
	h := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	return hex.EncodeToString(h.Sum(nil)[:keyBytes])
}

func jobKey(id string) string          { return jobPrefix + id }
func openKey(centre, id string) string { return openPrefix + centre + "/" + id }
func requestKey(id string) string      { return requestPrefix + id }

// differences names the fields in which two submissions of a key differ. The
// data centre is not compared, since the second may come through another one.
func differences(a, b *schema.Job) []string {
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
	add("payload", string(a.Payload) == string(b.Payload))
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
