package routing

import "time"

// freshnessBound is the least freshness that a read requires of an instance's data.
type freshnessBound struct {
	// maxAge is the upper bound of the age of the data; zero means no bound.
	maxAge time.Duration
	// fromSession is set if maxAge is the age of the session, which grows while the read
	// waits.
	fromSession bool
	// needsPosition is set if the instance must have applied Read.Seen.
	needsPosition bool
}

// freshnessBoundOf returns the freshness that a read requires.
//
// A session never reads data older than what it has seen, whatever age it accepts. A
// session that has seen nothing accepts data that is as old as itself, and so reads
// everything that was confirmed before it began. An age that the session states, or else
// the default age of the policy, replaces the latter bound. The maximum age of the policy
// always applies.
func freshnessBoundOf(r *Read) freshnessBound {
	b := freshnessBound{needsPosition: !r.Seen.IsZero()}
	stated := r.MaxAge
	if stated == 0 {
		stated = r.Policy.DefaultAge
	}
	switch {
	case stated > 0:
		b.maxAge = stated
	case !b.needsPosition:
		b.maxAge = max(r.SessionAge, 1)
		b.fromSession = true
	}
	if bound := r.Policy.MaxAge; bound > 0 && (b.maxAge == 0 || bound < b.maxAge) {
		b.maxAge = bound
		b.fromSession = false
	}
	return b
}
