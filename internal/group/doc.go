// Package group implements the consensus rules of a database group: which instance
// is the valid primary, when a batch is confirmed by a majority, when and how a
// replica is promoted, and how a request whose answer was lost is resolved.
//
// The package does no I/O, starts no goroutines and reads no clock. The runtime
// passes in the time of each event and executes the returned commands. Randomness
// comes from a seed, so runs are reproducible. No type of this package is safe for
// concurrent use: the owner must hold a lock or keep it in one goroutine.
package group
