package control

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/schema"
)

const (
	// defaultMaxRowBytes is the longest value that the store accepts if the deployment
	// states nothing.
	defaultMaxRowBytes = 64 << 10
	// rowMarginDivisor is the part of a row that is left free.
	rowMarginDivisor = 16
	// bytesPerTask bounds what a task adds to the record of the progress, apart from its
	// checkpoint.
	bytesPerTask = 15
)

// maxRowBytes bounds the values of rows.
func (p *Planner) maxRowBytes() int { return usableRowBytes(p.MaxRowBytes) }

// usableRowBytes returns how much of a row of the store is used.
func usableRowBytes(limit int) int {
	if limit <= 0 {
		limit = defaultMaxRowBytes
	}
	return limit - limit/rowMarginDivisor
}

// JobSizeError reports a job whose records do not fit into a row of the store.
type JobSizeError struct {
	// Record is the record that is too long: job or progress. Bytes is its length and
	// Limit the longest that is accepted.
	Record       string
	Bytes, Limit int
}

func (e *JobSizeError) Error() string {
	return fmt.Sprintf("the %s takes %d bytes to store, at most %d are accepted", e.Record, e.Bytes, e.Limit)
}

// CheckSize returns a *JobSizeError if the records of a job would not fit into rows
// whose values have at most maxRowBytes, or 64 KB if it is 0.
func CheckSize(record *schema.Batch, spec *batch.Job, maxRowBytes int) error {
	limit := usableRowBytes(maxRowBytes)
	if n := proto.Size(record); n > limit {
		return &JobSizeError{"job", n, limit}
	}
	tasks := 0
	for i := range spec.Steps {
		tasks += spec.Steps[i].Tasks
	}
	if n := bytesPerTask * tasks * spec.OccurrenceCount(); n > limit {
		return &JobSizeError{"progress", n, limit}
	}
	return nil
}
