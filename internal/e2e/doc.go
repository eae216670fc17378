// Package e2e tests whole daemon processes for behaviour that depends on real sockets,
// TLS, signals or the death of a process.
package e2e
