package ledger

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/timestamppb"

	"daisylug.example/scheduler/schema"
)

// maxConcurrentPuts is the number of objects of one job that are stored at a
// time.
const maxConcurrentPuts = 8

// Outcome is how an attempt ended.
type Outcome struct {
	Failed bool
	Reason string
}

// Finish records the outcome of an attempt with one result per member. Results
// larger than Options.MaxInlineBytes are written to the object store first. The
// first outcome of the latest attempt wins; any other gets *StaleAttemptError.
func (l *Ledger) Finish(ctx context.Context, id string, attempt int32, outcome Outcome, results [][]byte) (*schema.Job, error) {
	inline, objects, err := l.storeContents(ctx, "result/"+id+"/"+strconv.Itoa(int(attempt)), results)
	if err != nil {
		return nil, &NotWrittenError{ID: id, Cause: err}
	}
	now := timestamppb.Now()
	size := operationOverheadBytes
	for _, r := range inline {
		size += len(r)
	}
	updated, err := l.updateSized(ctx, id, size, func(job *schema.Job, _ string) error {
		if !l.acceptsOutcome(job) || attempt != job.Attempt {
			return refusalError("finish", job, attempt)
		}
		job.State = schema.State_STATE_DONE
		if outcome.Failed {
			job.State = schema.State_STATE_FAILED
		}
		job.Reason = outcome.Reason
		job.Results = inline
		job.Objects = objects
		job.Ended = now
		return nil
	})
	return updated.job, err
}

// acceptsOutcome reports whether an outcome may be recorded for the job.
func (l *Ledger) acceptsOutcome(job *schema.Job) bool {
	if l.allowOverwrite {
		return true
	}
	return active(job) || job.State == schema.State_STATE_UNKNOWN
}

// Results returns the results of an ended job, one per member.
func (l *Ledger) Results(ctx context.Context, job *schema.Job) ([][]byte, error) {
	results := make([][]byte, len(job.Results))
	copy(results, job.Results)
	for i, name := range job.Objects {
		if name == "" {
			continue
		}
		content, err := l.loadObject(ctx, name)
		if err != nil {
			return nil, err
		}
		results[i] = content
	}
	return results, nil
}

// storeContents writes contents above the inline limit to the object store. It
// returns the remaining contents and the names of the objects, both by
// position.
func (l *Ledger) storeContents(ctx context.Context, prefix string, contents [][]byte) (inline [][]byte, names []string, err error) {
	inline = make([][]byte, len(contents))
	puts, ctx := errgroup.WithContext(ctx)
	puts.SetLimit(maxConcurrentPuts)
	for i, content := range contents {
		if len(content) <= l.options.MaxInlineBytes {
			inline[i] = content
			continue
		}
		if names == nil {
			names = make([]string, len(contents))
		}
		names[i] = objectName(prefix+"/"+strconv.Itoa(i), content)
		puts.Go(func() error { return l.put(ctx, names[i], content) })
	}
	return inline, names, puts.Wait()
}

// put retries until the content is stored. Retrying is safe because the name is
// derived from the content.
func (l *Ledger) put(ctx context.Context, name string, content []byte) error {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = initialBackoff
	retryBackoff.MaxInterval = maxBackoff
	for {
		attempt, cancel := context.WithTimeout(ctx, l.options.Timeout)
		err := l.objects.Put(attempt, name, content)
		cancel()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryBackoff.NextBackOff()):
		}
	}
}

func (l *Ledger) loadObject(ctx context.Context, name string) ([]byte, error) {
	content, err := l.objects.Get(ctx, name)
	if err != nil {
		return nil, err
	}
	prefix := name[:strings.LastIndex(name, "/")]
	if objectName(prefix, content) != name {
		return nil, &RecordError{Key: name, Cause: &ContentChecksumError{Length: len(content)}}
	}
	return content, nil
}

// ContentChecksumError reports an object whose length or checksum does not match its
// name.
type ContentChecksumError struct {
	Length int
}

func (e *ContentChecksumError) Error() string {
	return fmt.Sprintf("length %d or checksum does not match the name", e.Length)
}

// objectName returns prefix followed by the length and the xxhash64 of the
// content.
func objectName(prefix string, content []byte) string {
	return fmt.Sprintf("%s/%d-%016x", prefix, len(content), xxhash.Sum64(content))
}
