package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/standin/target"
)

// pollInterval is the interval at which the state of a group is polled.
const pollInterval = 20 * time.Millisecond

// Controls are the fault control addresses (IP:port) of the simulated targets of one
// database group.
type Controls []string

// callControl calls the fault control of a simulated target and returns the state that
// it reports.
func callControl(ctx context.Context, method, address, path string) (target.Report, error) {
	var report target.Report
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return report, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return report, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return report, fmt.Errorf("fault control call http://%s%s: status %s", address, path, response.Status)
	}
	return report, json.NewDecoder(response.Body).Decode(&report)
}

// primary returns the control address and the report of the group's primary, the one
// with the highest fence if several targets claim the role. It fails if a target does
// not answer or if no running target is the primary.
func (c Controls) primary(ctx context.Context) (string, target.Report, error) {
	address, best := "", target.Report{}
	for _, candidate := range c {
		report, err := callControl(ctx, http.MethodGet, candidate, "/status")
		if err != nil {
			return "", best, err
		}
		if report.Status.Primary && !report.Down && (address == "" || report.Status.Fence > best.Status.Fence) {
			address, best = candidate, report
		}
	}
	if address == "" {
		return "", best, errors.New("no running target of the group is the primary")
	}
	return address, best, nil
}

// waitInSync waits until every target follows the same primary and holds its log. It
// returns an error if ctx ends first.
func (c Controls) waitInSync(ctx context.Context) error {
	for {
		inSync, err := c.inSync(ctx)
		if err == nil && inSync {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		}
	}
}

// inSync reports whether every target is up and not frozen, has joined the primary's
// fence and holds a log entry of that term.
func (c Controls) inSync(ctx context.Context) (bool, error) {
	_, primary, err := c.primary(ctx)
	if err != nil {
		return false, err
	}
	for _, address := range c {
		report, err := callControl(ctx, http.MethodGet, address, "/status")
		if err != nil {
			return false, err
		}
		s := report.Status
		if report.Down || report.Frozen || s.Joined != primary.Status.Fence || s.Last.Term != primary.Status.Fence {
			return false, nil
		}
	}
	return true, nil
}

// TargetLoad is the load of one target during a run.
type TargetLoad struct {
	Target string `json:"target"`
	// Statements is the number of statements that ran. Overuse is the number of those
	// that had to wait in the target because all its slots were in use.
	Statements uint64 `json:"statements"`
	Overuse    uint64 `json:"overuse"`
	// Connections is the number of open connections at the end.
	Connections int `json:"connections"`
}

// readLoads returns the load of every target that answers.
func (c Controls) readLoads(ctx context.Context) []TargetLoad {
	var out []TargetLoad
	for _, address := range c {
		report, err := callControl(ctx, http.MethodGet, address, "/status")
		if err != nil {
			continue
		}
		out = append(out, TargetLoad{
			Target:      report.Status.Target,
			Statements:  report.Load.Statements,
			Overuse:     report.Load.Overuse,
			Connections: report.Load.Connections,
		})
	}
	return out
}

// loadDifference subtracts the counters in before from those in after, in place, and
// returns after. Connections is not a counter and stays.
func loadDifference(before, after []TargetLoad) []TargetLoad {
	earlier := map[string]TargetLoad{}
	for _, load := range before {
		earlier[load.Target] = load
	}
	for i := range after {
		after[i].Statements -= earlier[after[i].Target].Statements
		after[i].Overuse -= earlier[after[i].Target].Overuse
	}
	return after
}
