package platform

import "time"

// State is the state of an instance or worker in the directory.
type State string

// States of an instance or worker.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is an instance of daisylugd that accepts client requests.
type Instance struct {
	Name       string `json:"name"`
	Region     string `json:"region"`
	DataCentre string `json:"centre"`
	// API is the host:port of the HTTP API.
	API string `json:"api"`
	// Peer is the host:port on which other instances connect.
	Peer string `json:"peer"`
	// Weight is the capacity relative to other instances; at least 1.
	Weight int   `json:"weight"`
	State  State `json:"state"`
}

// WorkerInfo describes a worker as the directory lists it.
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
	// Slots is the number of quick requests that the worker runs concurrently.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections that the worker accepts.
	Connections int   `json:"connections"`
	State       State `json:"state"`
}

// Listing is the content of the directory at one point in time.
type Listing struct {
	// AsOf is the time at which the listing was accurate.
	AsOf      time.Time    `json:"asof"`
	Instances []Instance   `json:"instances"`
	Workers   []WorkerInfo `json:"workers"`
}
