// Package routing selects the instance of a database group that serves a read.
//
// Instances that must not serve the read are excluded first, whatever their cost. Each
// factor assigns the remaining ones a cost in time, and the lowest sum wins. The package
// does no I/O and reads no clock. Choose does not allocate and is safe for concurrent use.
package routing
