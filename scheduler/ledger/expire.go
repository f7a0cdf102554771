package ledger

import (
	"context"
	"strings"
	"time"

	"daisylug.example/scheduler/platform"
)

// Expire examines up to limit job rows after the given ID and deletes those
// that ended before the given time. It returns the ID to continue from, which
// is empty after the last row. The keys of deleted jobs can be used again.
func (l *Ledger) Expire(ctx context.Context, before time.Time, after string, limit int) (deleted int, next string, err error) {
	return l.expire(ctx, jobPrefix, after, limit, func(row platform.Row) (bool, error) {
		job, err := decodeJob(row)
		return err == nil && terminal(job.State) && job.Ended.AsTime().Before(before), err
	})
}

// ExpireRequests does the same for quick requests claimed before the given
// time, whether finished or not.
func (l *Ledger) ExpireRequests(ctx context.Context, before time.Time, after string, limit int) (deleted int, next string, err error) {
	return l.expire(ctx, requestPrefix, after, limit, func(row platform.Row) (bool, error) {
		r, err := decodeRequest(row)
		return err == nil && r.Claimed.AsTime().Before(before), err
	})
}

func (l *Ledger) expire(ctx context.Context, prefix, after string, limit int, isExpired func(platform.Row) (bool, error)) (deleted int, next string, err error) {
	rows, err := l.table.Scan(ctx, prefix, prefix+after, limit)
	if err != nil {
		return 0, "", err
	}
	for _, row := range rows {
		expired, err := isExpired(row)
		if err != nil {
			return deleted, "", err
		}
		if !expired {
			continue
		}
		if _, err := l.committer.do(ctx, newExpiryChange(row.Key, isExpired)); err != nil {
			return deleted, "", err
		}
		deleted++
	}
	if limit > 0 && len(rows) == limit {
		next = strings.TrimPrefix(rows[limit-1].Key, prefix)
	}
	return deleted, next, nil
}

// newExpiryChange returns a change that deletes the row if it is still expired
// when the change is applied.
func newExpiryChange(key string, isExpired func(platform.Row) (bool, error)) *change {
	apply := func(row platform.Row, _ string) (applyResult, error) {
		if row.Version == 0 {
			return applyResult{}, nil
		}
		expired, err := isExpired(row)
		if err != nil || !expired {
			return applyResult{}, err
		}
		return applyResult{writes: []platform.Write{{Key: row.Key, Version: row.Version, Delete: true}}}, nil
	}
	return &change{id: key, key: key, maxRows: 1, maxBytes: operationOverheadBytes, apply: apply}
}
