// Package configuration defines the objects that operators declare (services with
// their databases and targets, callers, read policies, operators, regions and drains),
// validates them, and keeps the current version of all of them in a daemon.
//
// A Snapshot is immutable. Request handling loads the current one through an atomic
// pointer; an update builds a new one and swaps it in. The revision of a daemon's
// snapshot never decreases. Daemons exchange snapshots and changes with their peers.
package configuration
