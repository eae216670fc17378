package ledger

import (
	"maps"
	"slices"
)

// Report is the sum of the documents of several homes.
type Report struct {
	// Entries holds the attributed times, in the order of compareEntries.
	Entries []Entry
	// Unattributed is the time in nanoseconds, by target, that is missing in incomplete
	// documents: from the last flush of the home to the end of the bucket, for the
	// connections that were open at the flush.
	Unattributed map[string]int64
	// WallNS is the time in nanoseconds, by target, for which connections were open
	// according to the documents.
	WallNS map[string]int64
}

// documentKey identifies the documents of which only the latest counts.
type documentKey struct {
	home   string
	bucket int64
}

// Merge sums documents. For each home and bucket only the document with the highest
// sequence counts, so the order and repetition of documents do not matter. Unattributed
// time is counted up to the Unix time untilNS, in nanoseconds.
func Merge(documents []Document, untilNS int64) Report {
	latest := make(map[documentKey]*Document)
	for i := range documents {
		d := &documents[i]
		key := documentKey{d.Home, d.Bucket}
		if old := latest[key]; old == nil || old.Sequence < d.Sequence {
			latest[key] = d
		}
	}
	report := Report{Unattributed: make(map[string]int64), WallNS: make(map[string]int64)}
	times := make(map[Entry]int64) // by entry with NS set to zero
	for _, d := range latest {
		report.add(d, times, untilNS)
	}
	for e, ns := range times {
		e.NS = ns
		report.Entries = append(report.Entries, e)
	}
	slices.SortFunc(report.Entries, compareEntries)
	return report
}

// add adds one document to the report and its entries to times.
func (r *Report) add(d *Document, times map[Entry]int64, untilNS int64) {
	for _, e := range d.Entries {
		ns := e.NS
		e.NS = 0
		times[e] += ns
	}
	for target, ns := range d.WallNS {
		r.WallNS[target] += ns
	}
	missing := min(d.endNS(), untilNS) - d.ToNS
	if missing <= 0 {
		return
	}
	for target, open := range d.Open {
		r.Unattributed[target] += int64(open) * missing
	}
}

// Targets returns the sorted names of the targets in the report.
func (r *Report) Targets() []string {
	return slices.Sorted(maps.Keys(r.WallNS))
}
