// Package schema holds the messages that daisylug stores and exchanges between
// its instances, and its settings. The Go code is generated from the .proto
// files of this folder by "make generate".
package schema
