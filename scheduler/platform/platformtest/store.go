package platformtest

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"daisylug.example/scheduler/platform"
)

func newTransaction(operation string, writes ...platform.Write) platform.Transaction {
	return platform.Transaction{Operation: operation, Writes: writes}
}

func newWrite(key string, version int64, value string) platform.Write {
	return platform.Write{Key: key, Version: version, Value: []byte(value)}
}

var tableContracts = []contractCase{
	{"A write is read back with version and operation", func(f *fixture) {
		shouldBeError(f.Table.Commit(f.ctx, newTransaction("o1", newWrite("k", 0, "v\x00\xff"))), nil)
		shouldBeError(f.Table.Commit(f.ctx, newTransaction("o2", newWrite("k", 1, ""))), nil)
		rows, err := f.Table.Read(f.ctx, "none", "k")
		shouldBeError(err, nil)
		convey.So(rows, convey.ShouldResemble, []platform.Row{{Key: "k", Version: 2, Operation: "o2"}})
	}},
	// Guards against a partially applied transaction after a conflict.
	{"A conflict reports its keys and nothing is written", func(f *fixture) {
		shouldBeError(f.Table.Commit(f.ctx, newTransaction("o1", newWrite("b", 0, "1"))), nil)
		err := f.Table.Commit(f.ctx, newTransaction("o2", newWrite("a", 0, "2"), newWrite("b", 0, "2"), newWrite("c", 4, "2")))
		convey.So(err, convey.ShouldResemble, &platform.ConflictError{Keys: []string{"b", "c"}})
		rows, err := f.Table.Read(f.ctx, "a", "b", "c")
		shouldBeError(err, nil)
		convey.So(rows, convey.ShouldResemble, []platform.Row{{Key: "b", Version: 1, Operation: "o1", Value: []byte("1")}})
	}},
	{"A deleted row can be created again", func(f *fixture) {
		shouldBeError(f.Table.Commit(f.ctx, newTransaction("o1", newWrite("k", 0, "1"))), nil)
		deletion := platform.Write{Key: "k", Version: 1, Delete: true}
		shouldBeError(f.Table.Commit(f.ctx, newTransaction("o2", deletion)), nil)
		shouldBeError(f.Table.Commit(f.ctx, newTransaction("o3", deletion)), errConflict)
		shouldBeError(f.Table.Commit(f.ctx, newTransaction("o4", newWrite("k", 0, "2"))), nil)
	}},
	{"A scan pages through a prefix in key order", func(f *fixture) {
		for _, key := range []string{"p/b", "q", "p/c", "o", "p/a"} {
			shouldBeError(f.Table.Commit(f.ctx, newTransaction("o", newWrite(key, 0, key))), nil)
		}
		for _, c := range []struct {
			after string
			limit int
			want  string
		}{{"", 2, "[p/a p/b]"}, {"p/b", 2, "[p/c]"}, {"p/c", 2, "[]"}, {"", 0, "[]"}} {
			rows, err := f.Table.Scan(f.ctx, "p/", c.after, c.limit)
			shouldBeError(err, nil)
			keys := []string{}
			for _, row := range rows {
				keys = append(keys, row.Key)
			}
			convey.So(fmt.Sprint(keys), convey.ShouldEqual, c.want)
		}
	}},
	// Guards against lost updates.
	{"One of several concurrent writers of a version succeeds", func(f *fixture) {
		var group sync.WaitGroup
		var succeeded atomic.Int32
		for i := range 8 {
			group.Go(func() {
				if f.Table.Commit(f.ctx, newTransaction(fmt.Sprint(i), newWrite("k", 0, "v"))) == nil {
					succeeded.Add(1)
				}
			})
		}
		group.Wait()
		convey.So(succeeded.Load(), convey.ShouldEqual, 1)
	}},
}

var objectContracts = []contractCase{
	{"Content is returned unaltered and not replaced", func(f *fixture) {
		content := bytes.Repeat([]byte("\x00\xff\n"), 1<<16)
		shouldBeError(f.Objects.Put(f.ctx, "a/b c?d", content), nil)
		shouldBeError(f.Objects.Put(f.ctx, "a/b c?d", content), nil)
		shouldBeError(f.Objects.Put(f.ctx, "a/b c?d", nil), errConflict)
		got, err := f.Objects.Get(f.ctx, "a/b c?d")
		shouldBeError(err, nil)
		convey.So(bytes.Equal(got, content), convey.ShouldBeTrue)
	}},
	{"An object that does not exist is not found", func(f *fixture) {
		_, err := f.Objects.Get(f.ctx, "n")
		convey.So(err, convey.ShouldResemble, &platform.NotFoundError{Kind: "object", Name: "n"})
	}},
}

var directoryContracts = []contractCase{
	{"Instances and workers are listed", func(f *fixture) {
		i := platform.Instance{Name: "i", DataCentre: "x", API: "127.0.0.1:1", Weight: 1, State: platform.StateLive}
		f.direct.Directory.PutInstance(i)
		l, err := f.Directory.List(f.ctx)
		shouldBeError(err, nil)
		convey.So(l.Instances, convey.ShouldResemble, []platform.Instance{i})
		convey.So(l.Workers, convey.ShouldHaveLength, 2)
		convey.So(l.Workers[0].Rack, convey.ShouldEqual, "x-r00")
	}},
	{"A leaving worker is marked after the lag", func(f *fixture) {
		f.direct.Directory.SetLag(time.Hour)
		f.direct.Fleet.SetLeaving(firstWorker, true)
		l, err := f.Directory.List(f.ctx)
		shouldBeError(err, nil)
		convey.So(time.Since(l.AsOf), convey.ShouldBeGreaterThanOrEqualTo, time.Hour)
		convey.So(l.Workers[0].State, convey.ShouldEqual, platform.StateLive)
		f.direct.Directory.SetLag(0)
		l, err = f.Directory.List(f.ctx)
		shouldBeError(err, nil)
		convey.So(l.Workers[0].State, convey.ShouldEqual, platform.StateLeaving)
	}},
	{"An unknown worker is not found", func(f *fixture) {
		_, err := f.Fleet.Worker("none")
		convey.So(err, convey.ShouldResemble, &platform.NotFoundError{Kind: "worker", Name: "none"})
	}},
}
