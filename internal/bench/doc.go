// Package bench is the load generator and measurement library of labbench and of
// the end-to-end tests. It drives a running deployment with the workloads of its
// users and measures latency, failover gaps, and the cost of the proxy and of its
// control plane.
//
// The load is open loop: arrivals are generated from a seed and are not delayed by
// slow answers, and latency is measured from the intended start. After a run the
// written rows are read back and compared with the outcome that each caller received.
package bench
