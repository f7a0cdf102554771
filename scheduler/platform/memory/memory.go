// Package memory implements the services of package platform in memory. Faults
// can be injected while the services are in use. It is used by tests and by the
// stand-in program.
package memory

import (
	"fmt"
	"time"

	"daisylug.example/scheduler/platform"
)

// Defaults of Config.
const (
	DefaultTaskLease     = 120 * time.Second
	DefaultUsageInterval = 10 * time.Second
	DefaultRetention     = 2 * time.Minute
)

// Config describes a platform. The zero value is a platform without workers.
type Config struct {
	// Seed makes injected faults and worker failures repeatable.
	Seed      uint64
	Instances []platform.Instance
	Workers   []WorkerConfig
	// DirectoryLag is the age of the directory's listings.
	DirectoryLag time.Duration
	// UsageLag is the delay until a usage report becomes visible.
	UsageLag time.Duration
	// UsageInterval is the interval between usage reports of a running task.
	UsageInterval time.Duration
	// TaskLease is the time after which a worker stops a task unless a claim
	// renews its lease.
	TaskLease time.Duration
	// Retention is how long a worker keeps a record of finished and revoked
	// attempts of quick requests. It must exceed the longest time that a request
	// has until its deadline.
	Retention time.Duration
}

// WorkerConfig configures a worker.
type WorkerConfig struct {
	Info platform.WorkerInfo
	// Speed divides the run times of payloads; 0 means 1.
	Speed float64
	// FailureRate is the share of started work that fails, from 0 to 1.
	FailureRate float64
}

// Platform is one client's view of an in-memory platform. All views share the
// state of the services, but each has its own faults.
type Platform struct {
	Table     *Table
	Objects   *Objects
	Directory *Directory
	Fleet     *Fleet
	seed      uint64
}

// New returns the first view of a new platform.
func New(c Config) *Platform {
	setDefault(&c.TaskLease, DefaultTaskLease)
	setDefault(&c.UsageInterval, DefaultUsageInterval)
	setDefault(&c.Retention, DefaultRetention)
	history := newDirectoryHistory(c)
	first := &Platform{
		Table:     NewTable(c.Seed),
		Objects:   NewObjects(c.Seed),
		Directory: &Directory{history: history},
		Fleet:     newFleet(c, history),
		seed:      c.Seed,
	}
	return first.View()
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// View returns another view of the same services, without faults. Different
// faults in different views simulate a network partition.
func (p *Platform) View() *Platform {
	return &Platform{
		Table:     &Table{Injector: NewInjector("table", p.seed), store: p.Table.store},
		Objects:   &Objects{Injector: NewInjector("objects", p.seed), store: p.Objects.store},
		Directory: &Directory{Injector: NewInjector("directory", p.seed), history: p.Directory.history},
		Fleet:     p.Fleet.view(p.seed),
		seed:      p.seed,
	}
}

// Services returns the services of the view as interfaces of package platform.
func (p *Platform) Services() platform.Platform {
	return platform.Platform{
		Table:     p.Table,
		Objects:   p.Objects,
		Directory: p.Directory,
		Fleet:     p.Fleet,
	}
}

// Layout describes a set of identical data centres.
type Layout struct {
	Region       string
	DataCentres  []string
	Workers      int // in each data centre
	Accelerators int
	Slots        int
	Connections  int
	// SpeedRatio is the ratio of the fastest worker's speed to the slowest one's.
	// Speeds are evenly spaced within each rack, starting at 1.
	SpeedRatio  float64
	FailureRate float64
}

// WorkersPerRack is the number of workers in a rack.
const WorkersPerRack = 8

const (
	workerCores  = 64
	workerMemory = 130 << 30
)

// Build returns the configurations of the layout's workers.
func (l Layout) Build() []WorkerConfig {
	var all []WorkerConfig
	for _, centre := range l.DataCentres {
		for i := range l.Workers {
			all = append(all, l.worker(centre, i))
		}
	}
	return all
}

func (l Layout) worker(centre string, i int) WorkerConfig {
	step := float64(i%WorkersPerRack) / (WorkersPerRack - 1)
	return WorkerConfig{
		Info: platform.WorkerInfo{
			Name:         fmt.Sprintf("%s-w%03d", centre, i),
			Region:       l.Region,
			DataCentre:   centre,
			Rack:         fmt.Sprintf("%s-r%02d", centre, i/WorkersPerRack),
			Cores:        workerCores,
			MemoryBytes:  workerMemory,
			Accelerators: l.Accelerators,
			Slots:        l.Slots,
			Connections:  l.Connections,
			State:        platform.StateLive,
		},
		Speed:       1 + max(l.SpeedRatio-1, 0)*step,
		FailureRate: l.FailureRate,
	}
}
