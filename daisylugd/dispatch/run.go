package dispatch

import (
	"flag"
	"runtime/debug"
	"strconv"

	"k8s.io/klog/v2"

	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/remote"
)

// controlConnections is the number of connections to each worker for commands.
// The remaining connections of the 60 per worker carry quick requests.
const controlConnections = 2

// goMemoryLimitShare is the share of the memory that is set as the soft memory
// limit of the Go runtime, above which the garbage collector works harder.
const goMemoryLimitShare = 0.6

// run creates the daemon from its settings and serves until it stops.
func run(s Settings) error {
	if err := setVerbosity(s.Verbosity); err != nil {
		return err
	}
	defer klog.Flush()
	debug.SetMemoryLimit(int64(goMemoryLimitShare * float64(s.MemoryBytes)))
	peers, err := member.Listen(s.Peer)
	if err != nil {
		return err
	}
	return New(s, newPlatform(s), peers, httpDialer{}, klog.Background()).Run()
}

func setVerbosity(v int) error {
	var flags flag.FlagSet
	klog.InitFlags(&flags)
	return flags.Set("v", strconv.Itoa(v))
}

// newPlatform returns clients for the platform services at the configured URLs.
func newPlatform(s Settings) platform.Platform {
	o := remote.Options{WorkerConnections: controlConnections}
	fleet := remote.NewFleet(remote.NewDirectory(s.Directory, o), o)
	return platform.Platform{
		Table:     remote.NewTable(s.Table, o),
		Objects:   remote.NewObjects(s.Objects, o),
		Directory: fleet.Directory(),
		Fleet:     fleet,
	}
}
