package platform

import "time"

// State is the state of an instance or worker in the directory.
type State string

// States of an instance or worker.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is one entry instance of daisylugd.
type Instance struct {
	Name       string `json:"name"`
	Region     string `json:"region"`
	DataCentre string `json:"centre"`
	// API is the host:port of the HTTP interface.
	API string `json:"api"`
	// Peer is the host:port of the interface for other instances.
	Peer string `json:"peer"`
	// Weight is the instance's size relative to others; at least 1.
	Weight int   `json:"weight"`
	State  State `json:"state"`
}

// WorkerInfo describes one worker.
type WorkerInfo struct {
	Name       string `json:"name"`
	Region     string `json:"region"`
	DataCentre string `json:"centre"`
	Rack       string `json:"rack"`
	// Address is the host:port of the worker's control interface, with a path if
	// several workers share it.
	Address      string `json:"address"`
	Cores        int    `json:"cores"`
	MemoryBytes  int64  `json:"memory"`
	Accelerators int    `json:"accelerators"`
	// Slots is the number of quick requests the worker runs at a time.
	Slots int `json:"slots"`
	// Connections is the number of connections the worker accepts.
	Connections int   `json:"connections"`
	State       State `json:"state"`
}

// Listing is the directory's answer.
type Listing struct {
	// AsOf is the time at which the listing was true.
	AsOf      time.Time    `json:"asof"`
	Instances []Instance   `json:"instances"`
	Workers   []WorkerInfo `json:"workers"`
}
