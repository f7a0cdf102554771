package depot

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

const usage = "Serves the platform's table, object store, directory and workers from memory."

// Options are the command-line flags of the program.
type Options struct {
	Listen       string        `default:"127.0.0.1:7400" env:"STANDIN_LISTEN" help:"Loopback address of the services and the control interface."`
	Region       string        `default:"local" env:"STANDIN_REGION" help:"Region of all data centres."`
	DataCentres  []string      `default:"a,b,c" env:"STANDIN_DATA_CENTRES" help:"Names of the data centres."`
	Workers      int           `default:"8" env:"STANDIN_WORKERS" help:"Workers in each data centre, 8 to a rack."`
	Accelerators int           `default:"8" env:"STANDIN_ACCELERATORS" help:"Accelerators of each worker."`
	Slots        int           `default:"8" env:"STANDIN_SLOTS" help:"Quick requests that a worker runs at a time."`
	Connections  int           `default:"60" env:"STANDIN_CONNECTIONS" help:"Connections that a worker accepts."`
	Spread       float64       `default:"1" env:"STANDIN_SPREAD" help:"Ratio of the fastest worker's speed to the slowest's."`
	FailureRate  float64       `default:"0" env:"STANDIN_FAILURE_RATE" help:"Share of started work that fails, from 0 to 1."`
	Seed         uint64        `default:"1" env:"STANDIN_SEED" help:"Seed of failures and injected faults."`
	DirectoryLag time.Duration `default:"1s" env:"STANDIN_DIRECTORY_LAG" help:"Age of the directory's answers."`
	UsageLag     time.Duration `default:"5s" env:"STANDIN_USAGE_LAG" help:"Delay of usage reports."`
	UsageEvery   time.Duration `default:"10s" env:"STANDIN_USAGE_EVERY" help:"Interval of a running task's usage reports."`
	TaskLease    time.Duration `default:"120s" env:"STANDIN_TASK_LEASE" help:"Time after which a task without a renewed lease is stopped."`
	Shared       bool          `env:"STANDIN_SHARED" help:"Serve all workers at the main address under /worker/NAME instead of one port each."`
	Instances    instances     `env:"STANDIN_INSTANCES" help:"Instances in the directory, as a JSON array."`
}

// instances is the value of a flag given as a JSON array.
type instances []platform.Instance

// UnmarshalText implements encoding.TextUnmarshaler.
func (i *instances) UnmarshalText(text []byte) error {
	return json.Unmarshal(text, (*[]platform.Instance)(i))
}

// OptionError reports a flag with an invalid value.
type OptionError struct{ Flag, Reason string }

func (e *OptionError) Error() string { return fmt.Sprintf("--%s %s", e.Flag, e.Reason) }

// Validate checks all flags and returns the errors joined.
func (o *Options) Validate() error {
	address, err := netip.ParseAddrPort(o.Listen)
	loopback := err == nil && address.Addr().IsLoopback()
	var errs []error
	for _, check := range []struct {
		valid        bool
		flag, reason string
	}{
		{loopback, "listen", "must be a loopback address with a port"},
		{len(o.DataCentres) > 0, "data-centres", "must name at least one data centre"},
		{o.Workers > 0, "workers", "must be positive"},
		{o.Accelerators > 0, "accelerators", "must be positive"},
		{o.Slots > 0, "slots", "must be positive"},
		{o.Connections > 0, "connections", "must be positive"},
		{o.Spread >= 1, "spread", "must be at least 1"},
		{o.FailureRate >= 0 && o.FailureRate <= 1, "failure-rate", "must be between 0 and 1"},
		{o.DirectoryLag >= 0, "directory-lag", "must not be negative"},
		{o.UsageLag >= 0, "usage-lag", "must not be negative"},
		{o.UsageEvery > 0, "usage-every", "must be positive"},
		{o.TaskLease > 0, "task-lease", "must be positive"},
	} {
		if !check.valid {
			errs = append(errs, &OptionError{Flag: check.flag, Reason: check.reason})
		}
	}
	return errors.Join(errs...)
}

func (o *Options) config() memory.Config {
	l := memory.Layout{
		Region:       o.Region,
		DataCentres:  o.DataCentres,
		Workers:      o.Workers,
		Accelerators: o.Accelerators,
		Slots:        o.Slots,
		Connections:  o.Connections,
		SpeedRatio:   o.Spread,
		FailureRate:  o.FailureRate,
	}
	return memory.Config{
		Seed:          o.Seed,
		Instances:     o.Instances,
		Workers:       l.Build(),
		DirectoryLag:  o.DirectoryLag,
		UsageLag:      o.UsageLag,
		UsageInterval: o.UsageEvery,
		TaskLease:     o.TaskLease,
	}
}
