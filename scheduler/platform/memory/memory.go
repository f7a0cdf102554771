// Package memory implements the platform's services in memory, with faults
// that can be injected while they are in use. It serves tests and the stand-in
// program.
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
	// DirectoryLag is the age of the directory's answers.
	DirectoryLag time.Duration
	// UsageLag is the time from the use to the visible usage report.
	UsageLag time.Duration
	// UsageInterval is the interval between usage reports of a running task.
	UsageInterval time.Duration
	// TaskLease is the time after which a worker stops a task whose lease no
	// claim has renewed.
	TaskLease time.Duration
	// Retention is the time for which a worker remembers settled attempts of
	// quick requests. It has to exceed the longest deadline of a request.
	Retention time.Duration
}

// WorkerConfig describes one worker.
type WorkerConfig struct {
	Info platform.WorkerInfo
	// Speed divides the run times of payloads; 0 means 1.
	Speed float64
	// FailureRate is the share of started work that fails, from 0 to 1.
	FailureRate float64
}

// Platform is one client's view of an in-memory platform. Views share the
// state of the services, but each has faults of its own.
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
	book := newBook(c)
	first := &Platform{
		Table:     NewTable(c.Seed),
		Objects:   NewObjects(c.Seed),
		Directory: &Directory{book: book},
		Fleet:     newFleet(c, book),
		seed:      c.Seed,
	}
	return first.View()
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// View returns another view of the same services without faults. Faults on
// several views simulate a partition.
func (p *Platform) View() *Platform {
	return &Platform{
		Table:     &Table{Injector: NewInjector("table", p.seed), store: p.Table.store},
		Objects:   &Objects{Injector: NewInjector("objects", p.seed), store: p.Objects.store},
		Directory: &Directory{Injector: NewInjector("directory", p.seed), book: p.Directory.book},
		Fleet:     p.Fleet.view(p.seed),
		seed:      p.seed,
	}
}

// Services returns the view as the interfaces of package platform.
func (p *Platform) Services() platform.Platform {
	return platform.Platform{
		Table:     p.Table,
		Objects:   p.Objects,
		Directory: p.Directory,
		Fleet:     p.Fleet,
	}
}

// Layout describes uniform data centres.
type Layout struct {
	Region       string
	DataCentres  []string
	Workers      int // in each data centre
	Accelerators int
	Slots        int
	Connections  int
	// Spread is the ratio of the fastest worker's speed to the slowest's; the
	// speeds are spaced evenly within each rack. The slowest has speed 1.
	Spread      float64
	FailureRate float64
}

// WorkersPerRack is the number of workers in a rack.
const WorkersPerRack = 8

const (
	workerCores  = 64
	workerMemory = 130 << 30
)

// Build returns the workers of the layout.
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
		Speed:       1 + max(l.Spread-1, 0)*step,
		FailureRate: l.FailureRate,
	}
}
