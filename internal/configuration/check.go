package configuration

import (
	"fmt"
	"maps"
	"slices"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Check returns the field errors of a document, including those of its references to
// other objects of the snapshot. Concurrent changes of other objects are not seen, so
// code that reads a snapshot must handle references to objects that do not exist.
func (s *Snapshot) Check(d Document) FieldErrors {
	return append(d.Validate(), s.checkReferences(d)...)
}

// ReferenceErrors returns the errors in references between the objects of the snapshot.
func (s *Snapshot) ReferenceErrors() FieldErrors {
	var errs FieldErrors
	for _, d := range s.Documents() {
		errs = append(errs, s.checkReferences(d)...)
	}
	return errs
}

// Documents returns the last valid version of every object, sorted by kind and name.
func (s *Snapshot) Documents() []Document {
	var all []Document
	for _, o := range s.objects() {
		if d, ok := s.Document(o.Key); ok {
			all = append(all, d)
		}
	}
	return all
}

// Document returns the last valid version of an object and whether there is one.
func (s *Snapshot) Document(k store.Key) (Document, bool) {
	switch k.Kind {
	case store.KindService:
		return documentOf(s.Services, k.Name)
	case store.KindCaller:
		return documentOf(s.Callers, k.Name)
	case store.KindReadPolicy:
		return documentOf(s.Policies, k.Name)
	case store.KindOperator:
		return documentOf(s.Operators, k.Name)
	case store.KindRegion:
		return documentOf(s.Regions, k.Name)
	case store.KindDrain:
		return documentOf(s.Drains, k.Name)
	default:
		return nil, false
	}
}

func documentOf[T Document](m map[string]Versioned[T], name string) (Document, bool) {
	v, ok := m[name]
	return v.Value, ok
}

// Version returns the newest version of an object, valid or not, or zero if the object
// does not exist.
func (s *Snapshot) Version(k store.Key) store.Revision {
	return s.raw[k].Version
}

// Stored returns the newest version of an object as stored, valid or not. Its Version
// is zero if the object does not exist.
func (s *Snapshot) Stored(k store.Key) store.Object {
	if o, ok := s.raw[k]; ok {
		return o
	}
	return store.Object{Key: k}
}

// checkReferences returns the errors in the references of a document.
func (s *Snapshot) checkReferences(d Document) FieldErrors {
	c := &collector{object: d.Key()}
	switch d := d.(type) {
	case Service:
		s.checkService(c, d)
	case Caller:
		s.checkCaller(c, d)
	case Region:
		s.checkRegion(c, d)
	case Drain:
		s.checkDrain(c, d)
	}
	return c.errs
}

func (s *Snapshot) checkService(c *collector, svc Service) {
	taken := s.usedByOtherServices(svc.Name)
	for i, db := range svc.Databases {
		for j, t := range db.Targets {
			path := fmt.Sprintf("databases[%d].targets[%d]", i, j)
			if other, ok := taken["name "+t.Name]; ok {
				c.add(path+".name", t.Name, "a name that service "+other+" does not use")
			}
			if other, ok := taken["address "+t.Address.String()]; ok {
				c.add(path+".address", t.Address, "an address that service "+other+" does not use")
			}
			if t.FailureDomain != "" && s.RegionOf(t.FailureDomain) == "" {
				c.add(path+".failure_domain", t.FailureDomain, "a failure domain of a declared region")
			}
		}
	}
}

// usedByOtherServices maps each target name and address that is used by a service
// other than the named one to that service.
func (s *Snapshot) usedByOtherServices(service string) map[string]string {
	taken := map[string]string{}
	for name, other := range s.Services {
		if name == service {
			continue
		}
		for _, db := range other.Value.Databases {
			for _, t := range db.Targets {
				taken["name "+t.Name] = name
				taken["address "+t.Address.String()] = name
			}
		}
	}
	return taken
}

func (s *Snapshot) checkCaller(c *collector, k Caller) {
	for i, name := range k.Services {
		if !s.exists(Service{Name: name}.Key()) {
			c.add(fmt.Sprintf("services[%d]", i), name, "a declared service")
		}
	}
	if k.Policy != "" && !s.exists(ReadPolicy{Name: k.Policy}.Key()) {
		c.add("policy", k.Policy, "a declared read policy")
	}
}

// exists reports whether an object exists, valid or not.
func (s *Snapshot) exists(k store.Key) bool {
	_, accepted := s.Document(k)
	return accepted || s.Version(k) != 0
}

// checkRegion checks that no other region declares a domain of r, and that no target
// uses a domain that r removes.
func (s *Snapshot) checkRegion(c *collector, r Region) {
	for i, domain := range r.FailureDomains {
		for _, other := range slices.Sorted(maps.Keys(s.Regions)) {
			if other != r.Name && slices.Contains(s.Regions[other].Value.FailureDomains, domain) {
				c.add(fmt.Sprintf("failure_domains[%d]", i), domain, "a failure domain that region "+other+" does not declare")
			}
		}
	}
	for _, domain := range s.Regions[r.Name].Value.FailureDomains {
		if !slices.Contains(r.FailureDomains, domain) {
			s.checkDomainUnused(c, r.Name, domain)
		}
	}
}

// checkDomainUnused adds an error if a target is in a failure domain that is to be
// removed from its region.
func (s *Snapshot) checkDomainUnused(c *collector, region, domain string) {
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		for _, db := range s.Services[name].Value.Databases {
			for _, t := range db.Targets {
				if t.FailureDomain == domain && s.RegionOf(domain) == region {
					c.add("failure_domains", domain, "to be kept, because target "+t.Name+" of service "+name+" is in it")
					return
				}
			}
		}
	}
}

func (s *Snapshot) checkDrain(c *collector, d Drain) {
	if d.Kind != DrainTarget {
		return
	}
	for _, svc := range s.Services {
		for _, db := range svc.Value.Databases {
			for _, t := range db.Targets {
				if t.Name == d.Name {
					return
				}
			}
		}
	}
	c.add("name", d.Name, "a declared target")
}

// CheckDrop returns the errors that prevent the removal of an object: the uses of the
// object by other objects.
func (s *Snapshot) CheckDrop(k store.Key) FieldErrors {
	c := &collector{object: k}
	switch k.Kind {
	case store.KindService:
		s.checkUnused(c, func(caller Caller) bool { return slices.Contains(caller.Services, k.Name) })
	case store.KindReadPolicy:
		s.checkUnused(c, func(caller Caller) bool { return caller.Policy == k.Name })
	case store.KindRegion:
		for _, domain := range s.Regions[k.Name].Value.FailureDomains {
			s.checkDomainUnused(c, k.Name, domain)
		}
	}
	return c.errs
}

// checkUnused adds an error for each caller that uses the object.
func (s *Snapshot) checkUnused(c *collector, uses func(Caller) bool) {
	for _, name := range slices.Sorted(maps.Keys(s.Callers)) {
		if uses(s.Callers[name].Value) {
			c.add("name", c.object.Name, "to be kept, because caller "+name+" uses it")
		}
	}
}
