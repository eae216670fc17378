package configuration

import (
	"errors"
	"maps"
	"slices"
	"strings"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// maxRemoved bounds the removals that a snapshot remembers for its peers.
const maxRemoved = 4096

// ErrGap says that changes start after the snapshot's revision: some in between
// are missing.
var ErrGap = errors.New("changes start after the snapshot's revision")

// Report counts what one update of a snapshot did.
type Report struct {
	// Applied counts the objects written and removed.
	Applied int
	// Stale counts the events that were older than the snapshot.
	Stale int
	// Rejected holds the objects that were not accepted.
	Rejected []store.Key
}

// Apply returns the snapshot after the changes of page, which must hold every
// change after revision from up to page.Revision. It fails with ErrGap if from is
// after the snapshot's revision. A page that ends before the snapshot's revision
// changes nothing. The receiver is not changed.
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

// Replace returns the snapshot with exactly the objects of page, which is a whole
// list as of page.Revision. An older page changes nothing. The receiver is not
// changed.
func (s *Snapshot) Replace(page store.Page) (*Snapshot, Report) {
	if page.Revision < s.Revision {
		return s, Report{Stale: len(page.Objects)}
	}
	b := newBuilder(s)
	b.removeMissing(page)
	b.applyEvents(page)
	next := b.finish(page.Revision)
	if page.Revision > s.Revision {
		// Removals of objects that this snapshot never held are not known.
		next.LastChange = page.Revision
		next.floor = page.Revision
		next.removed = map[store.Key]store.Revision{}
	}
	return next, b.report
}

// Build returns a snapshot of the documents at revision 1. It fails with Faults.
func Build(documents ...Document) (*Snapshot, error) {
	page := store.Page{Revision: 1}
	var faults FieldErrors
	for _, d := range documents {
		value, err := Encode(d)
		if err != nil {
			return nil, err
		}
		faults = append(faults, d.Validate()...)
		page.Objects = append(page.Objects, store.Object{Key: d.Key(), Version: 1, Value: value})
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	next, _ := Empty().Replace(page)
	return next, nil
}

// builder makes the next snapshot. A map is copied before its first change.
type builder struct {
	old    *Snapshot
	next   *Snapshot
	copied map[store.Kind]bool
	report Report
	// fromPeer says that the changes come from a peer.
	fromPeer bool
	// lastChange is the highest revision of a change that was taken.
	lastChange store.Revision
}

func newBuilder(s *Snapshot) *builder {
	next := *s
	next.raw = cloneMap(s.raw)
	next.removed = cloneMap(s.removed)
	next.Rejected = cloneMap(s.Rejected)
	return &builder{old: s, next: &next, copied: map[store.Kind]bool{}}
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

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
			b.remove(event, page.Revision)
		} else {
			b.write(event)
		}
	}
}

func (b *builder) removeMissing(page store.Page) {
	listed := make(map[store.Key]bool, len(page.Objects))
	for _, o := range page.Objects {
		listed[o.Key] = true
	}
	for k, o := range b.old.raw {
		if !listed[k] {
			b.remove(store.Object{Key: k, Version: o.Version}, page.Revision)
		}
	}
}

// write takes a version that the old snapshot did not know yet. The old snapshot
// is complete up to its revision, so that a lower version was replaced or removed.
func (b *builder) write(o store.Object) {
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
	b.own(o.Kind)
	b.set(document, o.Version)
	b.report.Applied++
}

// remove takes a removal. The removal of an object that is not held is kept as
// well, for peers that still hold it.
func (b *builder) remove(o store.Object, revision store.Revision) {
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
	b.own(o.Kind)
	b.unset(o.Key)
	b.report.Applied++
}

// removedAt returns the revision of a removal, or a later one up to that of the
// page. The version of a store's event is that of the removal, or the version that
// was removed; a peer's is that of the removal.
func (b *builder) removedAt(o, current store.Object, revision store.Revision) store.Revision {
	if b.fromPeer || (o.Version > b.old.Revision && current.Version != 0 && o.Version != current.Version) {
		return o.Version
	}
	return revision
}

// own copies the map of a kind unless that was done.
func (b *builder) own(k store.Kind) {
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

func (b *builder) finish(revision store.Revision) *Snapshot {
	b.next.Revision = revision
	b.next.LastChange = max(b.old.LastChange, b.lastChange)
	if b.copied[store.KindRegion] || b.next.regionOf == nil {
		b.next.regionOf = regionsByDomain(b.next.Regions)
	}
	b.next.forget()
	b.next.hash = b.next.computeHash()
	return b.next
}

// forget drops the oldest half of the removals when there are too many.
func (s *Snapshot) forget() {
	if len(s.removed) <= maxRemoved {
		return
	}
	revisions := slices.Sorted(maps.Values(s.removed))
	s.floor = revisions[len(revisions)/2]
	maps.DeleteFunc(s.removed, func(_ store.Key, at store.Revision) bool { return at <= s.floor })
}

// regionsByDomain gives each failure domain its region. If two regions name a
// domain, the first by name has it, so that all daemons agree.
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
