package configuration

import (
	"errors"
	"maps"
	"slices"
	"strings"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// maxRemovals is the maximum number of removals that a snapshot keeps for transfers to
// peers.
const maxRemovals = 4096

// ErrGap is returned if changes start after the snapshot's revision, so that the
// changes in between would be missing.
var ErrGap = errors.New("changes start after the snapshot's revision")

// Report is the result of one update of a snapshot.
type Report struct {
	// Applied is the number of objects written and removed.
	Applied int
	// Stale is the number of ignored events that the snapshot already covered.
	Stale int
	// Rejected holds the keys of the objects that are not valid.
	Rejected []store.Key
}

// Apply returns the snapshot after the changes of page, which must hold every change
// after revision from up to page.Revision. It fails with ErrGap if from is after the
// snapshot's revision. If page.Revision is before the snapshot's revision, it returns
// the receiver. The receiver is not modified.
func (s *Snapshot) Apply(from store.Revision, page store.Page) (*Snapshot, Report, error) {
	return s.apply(from, page, false)
}

func (s *Snapshot) apply(from store.Revision, page store.Page, fromPeer bool) (*Snapshot, Report, error) {
	if from > s.Revision {
		return s, Report{}, ErrGap
	}
	if page.Revision < s.Revision {
		return s, Report{Stale: len(page.Objects)}, nil
	}
	if len(page.Objects) == 0 {
		next := *s
		next.Revision = page.Revision
		return &next, Report{}, nil
	}
	b := newBuilder(s)
	b.fromPeer = fromPeer
	b.applyEvents(page)
	return b.finish(page.Revision), b.report, nil
}

// Replace returns a snapshot with exactly the objects of page, a complete list at
// page.Revision. If the page is older than the snapshot, it returns the receiver. The
// receiver is not modified.
func (s *Snapshot) Replace(page store.Page) (*Snapshot, Report) {
	if page.Revision < s.Revision {
		return s, Report{Stale: len(page.Objects)}
	}
	b := newBuilder(s)
	b.removeMissing(page)
	b.applyEvents(page)
	next := b.finish(page.Revision)
	if page.Revision > s.Revision {
		// Objects may have been created and removed since the old revision; their
		// removals are not in the list.
		next.LastChange = page.Revision
		next.removalFloor = page.Revision
		next.removed = map[store.Key]store.Revision{}
	}
	return next, b.report
}

// Build returns a snapshot of the documents at revision 1. It fails with FieldErrors
// if a document is not valid.
func Build(documents ...Document) (*Snapshot, error) {
	page := store.Page{Revision: 1}
	var errs FieldErrors
	for _, d := range documents {
		value, err := Encode(d)
		if err != nil {
			return nil, err
		}
		errs = append(errs, d.Validate()...)
		page.Objects = append(page.Objects, store.Object{Key: d.Key(), Version: 1, Value: value})
	}
	if err := errs.Err(); err != nil {
		return nil, err
	}
	next, _ := Empty().Replace(page)
	return next, nil
}

// builder builds the next snapshot from an old one. It copies a map of accepted objects
// before its first change.
type builder struct {
	old    *Snapshot
	next   *Snapshot
	copied map[store.Kind]bool
	report Report
	// fromPeer is set if the changes come from a peer instead of the store.
	fromPeer bool
	// lastChange is the highest revision of a change that was applied.
	lastChange store.Revision
}

func newBuilder(s *Snapshot) *builder {
	next := *s
	next.raw = cloneMap(s.raw)
	next.removed = cloneMap(s.removed)
	next.Rejected = cloneMap(s.Rejected)
	return &builder{old: s, next: &next, copied: map[store.Kind]bool{}}
}

// cloneMap returns a copy of m that is never nil.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

// applyEvents applies the writes and removals of page in the order of their versions.
func (b *builder) applyEvents(page store.Page) {
	events := slices.Clone(page.Objects)
	slices.SortStableFunc(events, func(x, y store.Object) int {
		switch {
		case x.Version < y.Version:
			return -1
		case x.Version > y.Version:
			return 1
		default:
			return 0
		}
	})
	for _, event := range events {
		if event.Deleted {
			b.applyRemoval(event, page.Revision)
		} else {
			b.applyWrite(event)
		}
	}
}

// removeMissing removes the objects that the complete list page does not hold.
func (b *builder) removeMissing(page store.Page) {
	listed := make(map[store.Key]bool, len(page.Objects))
	for _, o := range page.Objects {
		listed[o.Key] = true
	}
	for k, o := range b.old.raw {
		if !listed[k] {
			b.applyRemoval(store.Object{Key: k, Version: o.Version}, page.Revision)
		}
	}
}

// applyWrite applies a version that is newer than the old snapshot. The old snapshot is
// complete up to its revision, so a lower version was replaced or removed.
func (b *builder) applyWrite(o store.Object) {
	if !slices.Contains(Kinds(), o.Kind) {
		return
	}
	if o.Version <= b.old.Revision || o.Version <= b.next.raw[o.Key].Version {
		b.report.Stale++
		return
	}
	b.next.raw[o.Key] = o
	b.lastChange = max(b.lastChange, o.Version)
	delete(b.next.removed, o.Key)
	document, err := Decode(o)
	if err != nil {
		b.next.Rejected[o.Key] = Rejection{Version: o.Version, Err: err}
		b.report.Rejected = append(b.report.Rejected, o.Key)
		return
	}
	delete(b.next.Rejected, o.Key)
	b.copyMap(o.Kind)
	b.set(document, o.Version)
	b.report.Applied++
}

// applyRemoval applies a removal. The removal of an object that this snapshot does not
// hold is recorded too, for peers that still hold the object.
func (b *builder) applyRemoval(o store.Object, revision store.Revision) {
	current, held := b.next.raw[o.Key]
	if (held && o.Version < current.Version) || (!held && o.Version <= b.old.Revision) {
		b.report.Stale++
		return
	}
	at := b.removedAt(o, current, revision)
	b.next.removed[o.Key] = at
	b.lastChange = max(b.lastChange, at)
	if !held {
		return
	}
	delete(b.next.raw, o.Key)
	delete(b.next.Rejected, o.Key)
	b.copyMap(o.Kind)
	b.unset(o.Key)
	b.report.Applied++
}

// removedAt returns the revision of a removal, or a later one up to the revision of the
// page. The version in an event from the store is that of the removal or that of the
// removed object; in an event from a peer it is that of the removal.
func (b *builder) removedAt(o, current store.Object, revision store.Revision) store.Revision {
	if b.fromPeer || (o.Version > b.old.Revision && current.Version != 0 && o.Version != current.Version) {
		return o.Version
	}
	return revision
}

// copyMap copies the map of a kind of objects if it is still shared with the old
// snapshot.
func (b *builder) copyMap(k store.Kind) {
	if b.copied[k] {
		return
	}
	b.copied[k] = true
	n := b.next
	switch k {
	case store.KindService:
		n.Services = cloneMap(n.Services)
	case store.KindCaller:
		n.Callers = cloneMap(n.Callers)
	case store.KindReadPolicy:
		n.Policies = cloneMap(n.Policies)
	case store.KindOperator:
		n.Operators = cloneMap(n.Operators)
	case store.KindRegion:
		n.Regions = cloneMap(n.Regions)
	case store.KindDrain:
		n.Drains = cloneMap(n.Drains)
	}
}

// set stores a valid document in the map of its kind, which must be copied.
func (b *builder) set(document Document, version store.Revision) {
	n := b.next
	switch d := document.(type) {
	case Service:
		n.Services[d.Name] = Versioned[Service]{d, version}
	case Caller:
		n.Callers[d.Name] = Versioned[Caller]{d, version}
	case ReadPolicy:
		n.Policies[d.Name] = Versioned[ReadPolicy]{d, version}
	case Operator:
		n.Operators[d.Name] = Versioned[Operator]{d, version}
	case Region:
		n.Regions[d.Name] = Versioned[Region]{d, version}
	case Drain:
		n.Drains[d.Key().Name] = Versioned[Drain]{d, version}
	}
}

// unset removes an object from the map of its kind, which must be copied.
func (b *builder) unset(k store.Key) {
	n := b.next
	switch k.Kind {
	case store.KindService:
		delete(n.Services, k.Name)
	case store.KindCaller:
		delete(n.Callers, k.Name)
	case store.KindReadPolicy:
		delete(n.Policies, k.Name)
	case store.KindOperator:
		delete(n.Operators, k.Name)
	case store.KindRegion:
		delete(n.Regions, k.Name)
	case store.KindDrain:
		delete(n.Drains, k.Name)
	}
}

// finish completes the next snapshot at revision and returns it.
func (b *builder) finish(revision store.Revision) *Snapshot {
	b.next.Revision = revision
	b.next.LastChange = max(b.old.LastChange, b.lastChange)
	if b.copied[store.KindRegion] || b.next.regionOf == nil {
		b.next.regionOf = regionsByDomain(b.next.Regions)
	}
	b.next.trimRemoved()
	b.next.hash = b.next.computeHash()
	return b.next
}

// trimRemoved drops the older half of the removals if there are more than maxRemovals.
func (s *Snapshot) trimRemoved() {
	if len(s.removed) <= maxRemovals {
		return
	}
	revisions := slices.Sorted(maps.Values(s.removed))
	s.removalFloor = revisions[len(revisions)/2]
	maps.DeleteFunc(s.removed, func(_ store.Key, at store.Revision) bool { return at <= s.removalFloor })
}

// regionsByDomain maps each failure domain to its region. If several regions declare
// a domain, the first one by name is used, so that all daemons agree.
func regionsByDomain(regions map[string]Versioned[Region]) map[string]string {
	byDomain := map[string]string{}
	names := slices.SortedFunc(maps.Keys(regions), strings.Compare)
	for _, name := range names {
		for _, domain := range regions[name].Value.FailureDomains {
			if _, ok := byDomain[domain]; !ok {
				byDomain[domain] = name
			}
		}
	}
	return byDomain
}
