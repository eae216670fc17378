//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["intent-lost"] = intentLost }

// intentLost plays: the primaries of two databases are cut off from five of eight daemons, the
// holder of the promotion duty among them. The store loses the answers to two writes of the
// holder: the first one, for one database, is applied later; the second one, for the other
// database, is never applied, because the first one has changed the object meanwhile.
func intentLost(e *environment) (int, error) {
	d, held, err := deploymentWithHolder(e)
	if err != nil {
		return failed, err
	}
	defer d.close()
	// The daemons of two zones are cut off, or three and two of them, the holder's zone included.
	spared := "vukovar"
	if held.zone == spared {
		spared = "split"
	}
	cut, spareOne := map[string]bool{}, spared == "vukovar"
	for _, x := range d.fleet.all {
		switch {
		case x.zone == spared:
		case spareOne && x.zone != held.zone:
			spareOne = false
		default:
			cut[x.name] = true
		}
	}
	e.log.event("rig", "the holder is %s; the daemons of %s keep all their links", held.name, spared)

	var mu sync.Mutex
	acked := map[*service][]ackedWrite{}
	ack := func(s *service, client string) func(r reply, item string) {
		return func(r reply, item string) {
			mu.Lock()
			defer mu.Unlock()
			acked[s] = append(acked[s], ackedWrite{r, item, client})
		}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, x := range []*daemon{held, d.inZone(spared)} {
		wg.Add(2)
		go d.traffic(e, &wg, x.zone+"-one", x, database, ack(d.service, x.zone+"-one"), stop)
		go d.traffic(e, &wg, x.zone+"-two", x, secondDatabase, ack(d.second, x.zone+"-two"), stop)
	}
	time.Sleep(2 * time.Second)

	if e.trouble {
		e.log.event("rig", "%s and %s are cut off from %d daemons", d.service.instances[0].id, d.second.instances[0].id, len(cut))
		first := ""
		d.gate.mu.Lock()
		d.gate.intercept = func(w *dutyWrite) fate {
			intended := ""
			for group := range w.Intents {
				if group != first {
					intended = group
				}
			}
			switch {
			case len(w.Intents) != 1 || first == "done":
				return fate{}
			case first == "":
				first = intended
				return fate{lost: true, appliedAfter: 2 * time.Second}
			case intended != "":
				first = "done"
				return fate{lost: true, appliedAfter: 2 * time.Second, resetAfter: 900 * time.Millisecond}
			default:
				return fate{}
			}
		}
		d.gate.mu.Unlock()
		d.service.setCutFrom(d.service.instances[0], cut)
		d.second.setCutFrom(d.second.instances[0], cut)
	}
	time.Sleep(7 * time.Second)
	d.service.setCutFrom(d.service.instances[0], nil)
	d.second.setCutFrom(d.second.instances[0], nil)
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	code := d.service.checkOne(e, acked[d.service])
	if other := d.second.checkOne(e, acked[d.second]); other == broken {
		code = broken
	}
	return code, nil
}

// deploymentWithHolder returns a deployment in which the holder of the promotion duty is the
// home of both services in its zone, and the holder.
func deploymentWithHolder(e *environment) (*deployment, *daemon, error) {
	for range 6 {
		d, err := newDeployment(e)
		if err != nil {
			return nil, nil, err
		}
		if x := d.holder(); x != nil && d.fleet.isRelay(x) {
			return d, x, nil
		}
		e.log.event("rig", "the promotion duty is held by another daemon than the home; the deployment starts again")
		d.close()
	}
	return nil, nil, fmt.Errorf("the home of the services holds the promotion duty in no deployment")
}

// holder returns the daemon that holds the promotion duty, nil if there is none.
func (d *deployment) holder() *daemon {
	res, err := http.Get("http://" + d.store.Address + "/api/objects/laburnumrack-duty/promotion")
	if err != nil {
		return nil
	}
	defer func() { _ = res.Body.Close() }()
	var object struct {
		Spec struct {
			Holder string `json:"holder"`
		} `json:"spec"`
	}
	if json.NewDecoder(res.Body).Decode(&object) != nil {
		return nil
	}
	for _, x := range d.fleet.all {
		if x.name == object.Spec.Holder {
			return x
		}
	}
	return nil
}
