// Package admission decides which request runs on a target's slots, which waits
// and which is refused.
//
// A Queue stands before the slots of one target. It runs waiting requests by
// earliest deadline, predicts from the observed service time which of them would
// finish too late, and refuses the least weighty request that has to give way,
// at once and with a time to come back. A RetryBudget bounds the retries of one
// database.
//
// The package is pure: the time is an argument, and nothing here blocks. A Queue
// is not safe for concurrent use; its owner guards it.
package admission
