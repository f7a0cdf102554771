// Package schema defines the messages that daisylug stores and exchanges between
// its instances, and its settings. The Go code is generated from the .proto files
// in this directory by "make generate".
package schema
