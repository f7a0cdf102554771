package ledger

import (
	"context"
	"strings"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

// listPageRows is the number of rows that a listing reads in one call.
const listPageRows = 500

// Get returns the record of a job, or *platform.NotFoundError.
func (l *Ledger) Get(ctx context.Context, id string) (*schema.Job, error) {
	rows, err := l.table.Read(ctx, jobKey(id))
	if err != nil {
		return nil, err
	}
	if len(rows) == 0 {
		return nil, &platform.NotFoundError{Kind: "job", Name: id}
	}
	return decodeJob(rows[0])
}

// ListUnfinished returns up to limit unfinished jobs of a data centre in order
// of ID, and the ID to pass as after for the next page, which is empty after
// the last page. A page may be shorter than limit because jobs ended while it
// was read.
func (l *Ledger) ListUnfinished(ctx context.Context, centre, after string, limit int) (jobs []*schema.Job, next string, err error) {
	prefix := openKey(centre, "")
	rows, err := l.table.Scan(ctx, prefix, prefix+after, limit)
	if err != nil || len(rows) == 0 {
		return nil, "", err
	}
	keys := make([]string, len(rows))
	for i, row := range rows {
		keys[i] = jobKey(strings.TrimPrefix(row.Key, prefix))
	}
	if len(rows) == limit {
		next = strings.TrimPrefix(rows[limit-1].Key, prefix)
	}
	rows, err = l.table.Read(ctx, keys...)
	if err != nil {
		return nil, "", err
	}
	for _, row := range rows {
		job, err := decodeJob(row)
		if err != nil {
			return nil, "", err
		}
		if !terminal(job.State) && job.Centre == centre {
			jobs = append(jobs, job)
		}
	}
	return jobs, next, nil
}

// Filter selects jobs. A zero field matches every job.
type Filter struct {
	Team  string
	State schema.State
}

func (f Filter) match(job *schema.Job) bool {
	if f.Team != "" && f.Team != job.Team {
		return false
	}
	return f.State == schema.State_STATE_UNSPECIFIED || f.State == job.State
}

// List returns up to limit matching jobs in order of ID, and the ID to pass as
// after for the next page. It scans the rows of the team, or all rows if the
// filter has no team.
func (l *Ledger) List(ctx context.Context, filter Filter, after string, limit int) (jobs []*schema.Job, next string, err error) {
	prefix := jobPrefix
	if filter.Team != "" {
		prefix += teamIDPrefix(filter.Team)
	}
	cursor := max(jobKey(after), prefix)
	for {
		rows, err := l.table.Scan(ctx, prefix, cursor, listPageRows)
		if err != nil {
			return nil, "", err
		}
		for _, row := range rows {
			job, err := decodeJob(row)
			if err != nil {
				return nil, "", err
			}
			cursor = row.Key
			if !filter.match(job) {
				continue
			}
			jobs = append(jobs, job)
			if len(jobs) == limit {
				return jobs, job.Id, nil
			}
		}
		if len(rows) < listPageRows {
			return jobs, "", nil
		}
	}
}
