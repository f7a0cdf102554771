package entry

import (
	"cmp"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

// kindStorePath is the kind of a RefusedError of an instance that the store did
// not serve.
const kindStorePath = "store"

// encodeResponse encodes a response of the store. It returns other errors, which
// fail the call; a call without effect is refused, so that the caller knows it.
func encodeResponse(page platform.Page, err error) (proto.Message, error) {
	var preconditionFailed *platform.PreconditionFailedError
	var compacted *platform.CompactedError
	var rejected *platform.RejectedBatchError
	var unavailable *platform.UnavailableError
	a := &schema.StoreAnswer{Version: page.Version, More: page.More, Now: page.Now.Milliseconds()}
	switch {
	case errors.As(err, &preconditionFailed):
		a.Changed = true
		page.Rows = preconditionFailed.Rows
	case errors.As(err, &compacted):
		a.Compacted = true
	case errors.As(err, &rejected):
		// An empty text would mean that the batch was applied.
		a.Rejected = cmp.Or(rejected.Reason, "no reason given")
	case errors.As(err, &unavailable):
		return nil, &member.RefusedError{Kind: kindStorePath, Message: err.Error()}
	case err != nil:
		return nil, err
	}
	for _, r := range page.Rows {
		a.Rows = append(a.Rows, encodeRow(r))
	}
	return a, nil
}

// decodeResponse decodes the response of the store to m.
func decodeResponse(m *schema.StoreCall, a *schema.StoreAnswer) (platform.Page, error) {
	switch {
	case a.GetChanged():
		return platform.Page{}, &platform.PreconditionFailedError{Rows: decodeRows(a.GetRows())}
	case a.GetCompacted():
		return platform.Page{}, &platform.CompactedError{Table: m.GetTable(), After: m.GetAfter()}
	}
	if a.GetRejected() != "" {
		return platform.Page{}, &platform.RejectedBatchError{Reason: a.GetRejected()}
	}
	now := time.Duration(a.GetNow()) * time.Millisecond
	return platform.Page{Rows: decodeRows(a.GetRows()), More: a.GetMore(), Version: a.GetVersion(), Now: now}, nil
}

// encodeBatch encodes a call of Apply.
func encodeBatch(b platform.Batch) *schema.StoreCall {
	m := &schema.StoreCall{}
	for _, g := range b.Guards {
		m.Guards = append(m.Guards, encodeRow(platform.StoredRow{RowKey: g.RowKey, Version: g.Version}))
	}
	for _, r := range b.Writes {
		m.Writes = append(m.Writes, encodeRow(r))
	}
	for _, k := range b.Removes {
		m.Removes = append(m.Removes, encodeRow(platform.StoredRow{RowKey: k}))
	}
	return m
}

func encodeRow(r platform.StoredRow) *schema.StoredRow {
	return &schema.StoredRow{
		Table: r.Table, Part: r.Part, Key: r.Key, Version: r.Version, Value: r.Value, Deleted: r.Deleted,
	}
}

func decodeKey(m *schema.StoredRow) platform.RowKey {
	return platform.RowKey{Table: m.GetTable(), Part: m.GetPart(), Key: m.GetKey()}
}

func decodeRows(ms []*schema.StoredRow) []platform.StoredRow {
	all := make([]platform.StoredRow, 0, len(ms))
	for _, m := range ms {
		all = append(all, platform.StoredRow{
			RowKey: decodeKey(m), Version: m.GetVersion(), Value: m.GetValue(), Deleted: m.GetDeleted(),
		})
	}
	return all
}

func decodeKeys(ms []*schema.StoredRow) []platform.RowKey {
	all := make([]platform.RowKey, 0, len(ms))
	for _, m := range ms {
		all = append(all, decodeKey(m))
	}
	return all
}

func decodeGuards(ms []*schema.StoredRow) []platform.Guard {
	all := make([]platform.Guard, 0, len(ms))
	for _, m := range ms {
		all = append(all, platform.Guard{RowKey: decodeKey(m), Version: m.GetVersion()})
	}
	return all
}
