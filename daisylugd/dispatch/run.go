package dispatch

import (
	"flag"
	"strconv"

	"k8s.io/klog/v2"

	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/remote"
)

// controlConnections is the number of connections to each worker for commands.
// The others of its 60 carry quick requests.
const controlConnections = 2

// run builds the daemon from its settings and serves.
func run(s Settings) error {
	if err := setVerbosity(s.Verbosity); err != nil {
		return err
	}
	defer klog.Flush()
	peers, err := member.Listen(s.Peer)
	if err != nil {
		return err
	}
	return New(s, services(s), peers, httpDialer{}, klog.Background()).Run()
}

func setVerbosity(v int) error {
	var flags flag.FlagSet
	klog.InitFlags(&flags)
	return flags.Set("v", strconv.Itoa(v))
}

// services connects the platform at the URLs of the settings.
func services(s Settings) platform.Platform {
	o := remote.Options{WorkerConnections: controlConnections}
	fleet := remote.NewFleet(remote.NewDirectory(s.Directory, o), o)
	return platform.Platform{
		Table:     remote.NewTable(s.Table, o),
		Objects:   remote.NewObjects(s.Objects, o),
		Directory: fleet.Directory(),
		Fleet:     fleet,
	}
}
