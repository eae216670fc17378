package site

import (
	"net/http"
	"strconv"
	"time"
)

// copyRetention is how long the copies of the store are kept from which it can be restored.
const copyRetention = 30 * time.Second

// storeCopy is the state of the store after one change.
type storeCopy struct {
	at       time.Time
	revision uint64
	objects  map[string]*object
}

// keepCopy keeps a copy of the present state. The caller holds mu or has not shared the store
// yet.
func (s *Store) keepCopy() {
	now := time.Now()
	c := storeCopy{at: now, revision: s.revision, objects: make(map[string]*object, len(s.objects))}
	for key, o := range s.objects {
		kept := *o
		c.objects[key] = &kept
	}
	first := 0
	for first < len(s.copies)-1 && now.Sub(s.copies[first+1].at) > copyRetention {
		first++
	}
	s.copies = append(s.copies[first:], c)
}

// Restore takes the store away for a time and then returns it from the copy that was current
// age before the call, in the next era. What was acknowledged since is gone, and the
// revisions after the copy's are assigned again. Restore returns when the store is back.
func (s *Store) Restore(age, away time.Duration) {
	wanted := time.Now().Add(-age)
	s.SetFault(Unavailable)
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen := s.copies[0]
	for _, c := range s.copies {
		if !c.at.After(wanted) {
			chosen = c
		}
	}
	s.objects = make(map[string]*object, len(chosen.objects))
	for key, o := range chosen.objects {
		restored := *o
		s.objects[key] = &restored
	}
	s.revision, s.oldestRevision = chosen.revision, min(s.oldestRevision, chosen.revision)
	s.era++
	s.copies = nil
	s.fault = Healthy
	s.notifyWatchers()
}

// Era returns the era that the store announces.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// SetEraAnnounced sets whether answers carry the era.
func (s *Store) SetEraAnnounced(announced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announcesEra = announced
}

// announceEra adds the era to the headers of an answer.
func (s *Store) announceEra(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.announcesEra {
		h.Set("Store-Era", strconv.FormatUint(s.era, 10))
	}
}

// Rewrite writes the entries of all running targets again, as the targets do after the store
// has lost them.
func (g *Group) Rewrite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.Targets {
		if !t.down {
			g.publish(t)
		}
	}
}
