package ledger

import (
	"bytes"
	"context"

	"daisylug.example/scheduler/schema"
)

// storePayload moves the payload of a job to the object store if it is large. The
// record, which planners keep and pass on, names the object then.
func (l *Ledger) storePayload(ctx context.Context, job *schema.Job) error {
	if len(job.Payload) <= l.options.MaxInlinePayloadBytes {
		return nil
	}
	content := job.Payload
	job.Input, job.Payload = payloadName(job), nil
	return l.put(ctx, job.Input, content)
}

// Payload returns the payload of a job.
func (l *Ledger) Payload(ctx context.Context, job *schema.Job) ([]byte, error) {
	if job.Input == "" {
		return job.Payload, nil
	}
	return l.loadObject(ctx, job.Input)
}

// payloadName returns the name of the object that holds the payload of a job, or
// would hold it.
func payloadName(job *schema.Job) string {
	if job.Input != "" {
		return job.Input
	}
	return objectName("payload/"+job.Id, job.Payload)
}

// samePayload reports whether two submissions of a job have the same payload. Records
// of former versions have large payloads in them.
func samePayload(a, b *schema.Job) bool {
	if a.Input == "" && b.Input == "" {
		return bytes.Equal(a.Payload, b.Payload)
	}
	return payloadName(a) == payloadName(b)
}
