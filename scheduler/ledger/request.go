package ledger

import (
	"bytes"
	"context"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

// claimResult is the result of claiming a quick request.
type claimResult struct {
	request  *schema.Request
	existing bool
}

// ClaimRequest claims a quick request that must run at most once. The request
// is identified by team and key; template and sum must match those of an
// earlier claim. Only the caller that gets existing false may run it. If the
// request has ended, its record with the answer is returned; if another call
// holds the claim, *ClaimedError.
func (l *Ledger) ClaimRequest(ctx context.Context, request *schema.Request) (record *schema.Request, existing bool, err error) {
	switch {
	case request.Team == "":
		return nil, false, &FieldError{Field: "team", Cause: "is empty"}
	case request.Key == "":
		return nil, false, &FieldError{Field: "key", Cause: "is empty"}
	}
	request = proto.CloneOf(request)
	request.Id = RequestID(request.Team, request.Key)
	request.State = schema.State_STATE_CLAIMED
	request.Holder = l.options.Instance
	request.Claimed = timestamppb.Now()
	c := l.requestChange(request.Id, proto.Size(request), func(row platform.Row, operation string) (applyResult, error) {
		return applyClaimRequest(row, request, operation)
	})
	c.skipRead = true
	value, err := l.committer.do(ctx, c)
	if err != nil {
		return nil, false, err
	}
	v := value.(claimResult)
	return v.request, v.existing, nil
}

func applyClaimRequest(row platform.Row, request *schema.Request, operation string) (applyResult, error) {
	if row.Version == 0 {
		return writeClaim(row, request, operation)
	}
	record, err := decodeRequest(row)
	if err != nil {
		return applyResult{}, err
	}
	switch {
	case record.Claim == operation:
		return applyResult{value: claimResult{request: record}}, nil
	case record.Template != request.Template || !bytes.Equal(record.Sum, request.Sum):
		return applyResult{}, &IdempotencyConflictError{ID: record.Id, Team: record.Team, Key: record.Key, Fields: []string{"template or payload"}}
	case record.State == schema.State_STATE_QUEUED:
		return writeClaim(row, request, operation)
	case record.State == schema.State_STATE_CLAIMED:
		return applyResult{}, &ClaimedError{ID: record.Id, Holder: record.Holder}
	default:
		return applyResult{value: claimResult{request: record, existing: true}}, nil
	}
}

// writeClaim writes the claim to a row that is absent or released.
func writeClaim(row platform.Row, request *schema.Request, operation string) (applyResult, error) {
	record := proto.CloneOf(request)
	record.Claim = operation
	result, err := writeRequest(row, record, operation)
	result.value = claimResult{request: record}
	return result, err
}

// FinishRequest stores the answer of the request claimed under the ID claim.
// The first answer wins; a later call gets the existing record.
func (l *Ledger) FinishRequest(ctx context.Context, id, claim string, failed bool, answer []byte) (*schema.Request, error) {
	inline, objects, err := l.storeContents(ctx, "answer/"+id, [][]byte{answer})
	if err != nil {
		return nil, &NotWrittenError{ID: id, Cause: err}
	}
	now := timestamppb.Now()
	return l.updateRequest(ctx, id, len(inline[0]), func(row platform.Row, r *schema.Request, operation string) (applyResult, error) {
		if r.State != schema.State_STATE_CLAIMED {
			return applyResult{value: r}, nil
		}
		if r.Claim != claim {
			return applyResult{}, &ClaimedError{ID: id, Holder: r.Holder}
		}
		r.State = schema.State_STATE_DONE
		r.Failed = failed
		r.Answer = inline[0]
		if objects != nil {
			r.Object = objects[0]
		}
		r.Ended = now
		return writeRequest(row, r, operation)
	})
}

// ReleaseRequest releases the claim of a request that did not start and never
// will, so that the key can be claimed again. The row stays, because its
// version prevents a delayed write of this claim from changing a later one.
func (l *Ledger) ReleaseRequest(ctx context.Context, id, claim string) error {
	_, err := l.updateRequest(ctx, id, 0, func(row platform.Row, r *schema.Request, operation string) (applyResult, error) {
		if r.Claim != claim || r.State == schema.State_STATE_QUEUED {
			return applyResult{value: r}, nil
		}
		if r.State != schema.State_STATE_CLAIMED {
			return applyResult{}, &ClaimedError{ID: id, Holder: r.Holder}
		}
		r.State = schema.State_STATE_QUEUED
		return writeRequest(row, r, operation)
	})
	return err
}

// Answer returns the answer of an ended request.
func (l *Ledger) Answer(ctx context.Context, request *schema.Request) ([]byte, error) {
	if request.Object == "" {
		return request.Answer, nil
	}
	return l.loadObject(ctx, request.Object)
}

func (l *Ledger) updateRequest(ctx context.Context, id string, size int, f func(row platform.Row, r *schema.Request, operation string) (applyResult, error)) (*schema.Request, error) {
	c := l.requestChange(id, size, func(row platform.Row, operation string) (applyResult, error) {
		if row.Version == 0 {
			return applyResult{}, &platform.NotFoundError{Kind: "request", Name: id}
		}
		r, err := decodeRequest(row)
		if err != nil {
			return applyResult{}, err
		}
		if r.Operation == operation {
			return applyResult{value: r}, nil
		}
		return f(row, r, operation)
	})
	value, err := l.committer.do(ctx, c)
	if err != nil {
		return nil, err
	}
	return value.(*schema.Request), nil
}

func (l *Ledger) requestChange(id string, size int, apply func(row platform.Row, operation string) (applyResult, error)) *change {
	return &change{id: id, key: requestKey(id), maxRows: 1, maxBytes: size + operationOverheadBytes, apply: apply}
}

func writeRequest(row platform.Row, r *schema.Request, operation string) (applyResult, error) {
	r.Operation = operation
	value, err := proto.Marshal(r)
	return applyResult{value: r, writes: []platform.Write{{Key: row.Key, Version: row.Version, Value: value}}}, err
}

func decodeRequest(row platform.Row) (*schema.Request, error) {
	r := new(schema.Request)
	if err := proto.Unmarshal(row.Value, r); err != nil {
		return nil, &RecordError{Key: row.Key, Cause: err}
	}
	return r, nil
}
