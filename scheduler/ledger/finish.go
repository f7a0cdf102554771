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

// putsMax is the number of objects of one job that are stored at a time.
const putsMax = 8

// Outcome is how an attempt ended.
type Outcome struct {
	Failed bool
	Reason string
}

// Finish records the outcome of attempt with one result for each member.
// Results above Options.Inline go to the object store first. The first outcome
// of the latest attempt wins; any other gets *LateError.
func (l *Ledger) Finish(ctx context.Context, id string, attempt int32, outcome Outcome, results [][]byte) (*schema.Job, error) {
	inline, objects, err := l.store(ctx, "result/"+id+"/"+strconv.Itoa(int(attempt)), results)
	if err != nil {
		return nil, &NotWrittenError{ID: id, Cause: err}
	}
	now := timestamppb.Now()
	size := changeBytes
	for _, r := range inline {
		size += len(r)
	}
	a, err := l.amend(ctx, id, size, func(job *schema.Job, _ string) error {
		if !l.open(job) || attempt != job.Attempt {
			return refuse("finish", job, attempt)
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
	return a.job, err
}

// open reports whether an outcome may be recorded.
func (l *Ledger) open(job *schema.Job) bool {
	if l.overwrite {
		return true
	}
	return active(job) || job.State == schema.State_STATE_UNKNOWN
}

// Results returns the results of an ended job, one for each member.
func (l *Ledger) Results(ctx context.Context, job *schema.Job) ([][]byte, error) {
	results := make([][]byte, len(job.Results))
	copy(results, job.Results)
	for i, name := range job.Objects {
		if name == "" {
			continue
		}
		content, err := l.load(ctx, name)
		if err != nil {
			return nil, err
		}
		results[i] = content
	}
	return results, nil
}

// store puts large contents in the object store and returns the others and the
// names of the objects, both by position.
func (l *Ledger) store(ctx context.Context, prefix string, contents [][]byte) (inline [][]byte, names []string, err error) {
	inline = make([][]byte, len(contents))
	puts, ctx := errgroup.WithContext(ctx)
	puts.SetLimit(putsMax)
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

// put repeats until the content is stored: the name is a function of the
// content, so that repeating is safe.
func (l *Ledger) put(ctx context.Context, name string, content []byte) error {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = pauseFirst
	pauses.MaxInterval = pauseMax
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
		case <-time.After(pauses.NextBackOff()):
		}
	}
}

func (l *Ledger) load(ctx context.Context, name string) ([]byte, error) {
	content, err := l.objects.Get(ctx, name)
	if err != nil {
		return nil, err
	}
	prefix := name[:strings.LastIndex(name, "/")]
	if objectName(prefix, content) != name {
		return nil, &RecordError{Key: name, Cause: &ContentSumError{Length: len(content)}}
	}
	return content, nil
}

// ContentSumError reports an object whose content does not match its name.
type ContentSumError struct {
	Length int
}

func (e *ContentSumError) Error() string {
	return fmt.Sprintf("length %d or checksum does not match the name", e.Length)
}

// objectName ends with the length and the xxhash64 of the content.
func objectName(prefix string, content []byte) string {
	return fmt.Sprintf("%s/%d-%016x", prefix, len(content), xxhash.Sum64(content))
}
