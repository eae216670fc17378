// Package intime compares queue policies by the weight of the requests that they serve
// within their deadlines, relative to an upper bound for any scheduler. It is used by
// the simulations of labbench.
//
// It simulates the slots of one target in virtual time. Arrivals, service times and
// deadlines are generated from a seed, so that every policy gets the same load.
package intime
