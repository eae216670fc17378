package node

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// hedgeInterval is the time without an answer after which another attempt of a hedged
// call starts. It is above the time that a slow store takes for an answer.
const hedgeInterval = 400 * time.Millisecond

// withAnswerProgress returns a context for calls over HTTP and a function that reports
// whether one of them has begun to receive an answer.
func withAnswerProgress(ctx context.Context) (context.Context, func() bool) {
	var answering atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { answering.Store(true) }})
	return ctx, answering.Load
}

// hedge makes a call, and another attempt each time that interval passes without an
// answer, because a connection on which the answer was lost stays silent after the store
// has come back. No attempt starts while answering reports that an answer is being
// received: a second large answer would only delay the first. It returns the first success
// and cancels the other attempts. If an attempt fails, no further ones start, and hedge
// returns the last error once all have failed or ctx ends.
func hedge[T any](ctx context.Context, interval time.Duration, answering func() bool, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		value T
		err   error
	}
	results := make(chan result)
	attempt := func() {
		value, err := call(ctx)
		select {
		case results <- result{value, err}:
		case <-ctx.Done():
		}
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	next := ticker.C
	go attempt()
	for pending := 1; ; {
		select {
		case r := <-results:
			pending--
			if r.err == nil || pending == 0 {
				return r.value, r.err
			}
			next = nil
		case <-next:
			if answering() {
				continue
			}
			pending++
			go attempt()
		case <-ctx.Done():
			var none T
			return none, ctx.Err()
		}
	}
}
