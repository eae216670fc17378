// Package daemon assembles the components of laburnumrack into one process and runs its
// life cycle: start, serving, and a shutdown that waits for the requests in progress.
package daemon
