// Package admission decides which requests run on the slots of a target, which wait for
// a slot and which are refused.
//
// A Queue admits requests to the slots of one target. It orders waiting requests by
// deadline and predicts from the observed service times which of them would miss it. Of
// these it refuses at once the ones with the least weight for their cost, with a time
// after which to retry. If several tenants compete, those above their fair share of the
// slot time are served after the others and refused first. A RetryBudget bounds the retries of one database.
//
// The package reads no clock and never blocks: callers pass the current time. Its types
// are not safe for concurrent use.
package admission
