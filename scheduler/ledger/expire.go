package ledger

import (
	"context"
	"strings"
	"time"

	"daisylug.example/scheduler/platform"
)

// Expire deletes the job records among the limit rows after the given id that
// ended before the given time, and returns the id to continue from; it is
// empty after the last row. Their keys can be used again.
func (l *Ledger) Expire(ctx context.Context, before time.Time, after string, limit int) (deleted int, next string, err error) {
	return l.expire(ctx, jobPrefix, after, limit, func(row platform.Row) (bool, error) {
		job, err := decodeJob(row)
		return err == nil && terminal(job.State) && job.Ended.AsTime().Before(before), err
	})
}

// ExpireRequests does the same for quick requests claimed before the given
// time, finished or not.
func (l *Ledger) ExpireRequests(ctx context.Context, before time.Time, after string, limit int) (deleted int, next string, err error) {
	return l.expire(ctx, requestPrefix, after, limit, func(row platform.Row) (bool, error) {
		r, err := decodeRequest(row)
		return err == nil && r.Claimed.AsTime().Before(before), err
	})
}

func (l *Ledger) expire(ctx context.Context, prefix, after string, limit int, old func(platform.Row) (bool, error)) (deleted int, next string, err error) {
	rows, err := l.table.Scan(ctx, prefix, prefix+after, limit)
	if err != nil {
		return 0, "", err
	}
	for _, row := range rows {
		expired, err := old(row)
		if err != nil {
			return deleted, "", err
		}
		if !expired {
			continue
		}
		if _, err := l.group.do(ctx, expiry(row.Key, old)); err != nil {
			return deleted, "", err
		}
		deleted++
	}
	if limit > 0 && len(rows) == limit {
		next = strings.TrimPrefix(rows[limit-1].Key, prefix)
	}
	return deleted, next, nil
}

// expiry deletes the row if it is still old when the transaction goes out.
func expiry(key string, old func(platform.Row) (bool, error)) *change {
	apply := func(row platform.Row, _ string) (step, error) {
		if row.Version == 0 {
			return step{}, nil
		}
		expired, err := old(row)
		if err != nil || !expired {
			return step{}, err
		}
		return step{writes: []platform.Write{{Key: row.Key, Version: row.Version, Delete: true}}}, nil
	}
	return &change{id: key, key: key, rows: 1, size: changeBytes, apply: apply}
}
