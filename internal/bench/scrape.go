package bench

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
)

// Counter is one metric sample, summed over the daemons. Name includes the labels.
type Counter struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Scrape returns the samples whose names start with one of the prefixes, summed over
// the daemons, and the number of daemons that could not be scraped.
func Scrape(ctx context.Context, admins []string, prefixes ...string) (counters map[string]float64, unreachable int) {
	counters = map[string]float64{}
	for _, address := range admins {
		if err := scrapeDaemon(ctx, address, prefixes, counters); err != nil {
			unreachable++
		}
	}
	return counters, unreachable
}

// scrapeDaemon adds the matching samples of one daemon to samples.
func scrapeDaemon(ctx context.Context, address string, prefixes []string, samples map[string]float64) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("scrape metrics of %s: status %s", address, response.Status)
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		addSample(lines.Text(), prefixes, samples)
	}
	return lines.Err()
}

// addSample adds a line of the Prometheus text format to samples if its name matches a
// prefix. Comments and lines without a number are skipped.
func addSample(line string, prefixes []string, samples map[string]float64) {
	space := strings.LastIndexByte(line, ' ')
	if space < 0 || strings.HasPrefix(line, "#") {
		return
	}
	name := line[:space]
	value, err := strconv.ParseFloat(line[space+1:], 64)
	if err != nil {
		return
	}
	for _, prefix := range prefixes {
		if strings.HasPrefix(name, prefix) {
			samples[name] += value
			return
		}
	}
}

// Difference returns the counters that changed between two scrapes, with the amount of
// the change, sorted by name.
func Difference(before, after map[string]float64) []Counter {
	var out []Counter
	for name, value := range after {
		if added := value - before[name]; added != 0 {
			out = append(out, Counter{Name: name, Value: added})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Names of the counters of served, refused, unknown and retried requests.
const (
	servedPrefix  = "laburnumrack_served_total"
	refusedPrefix = "laburnumrack_refused_total"
	unknownPrefix = "laburnumrack_unknown_total"
	retryPrefix   = "laburnumrack_retries_total"
)

// ReportedPrefixes returns the name prefixes of the counters that a Report includes.
func ReportedPrefixes() []string {
	return []string{servedPrefix, refusedPrefix, unknownPrefix, retryPrefix}
}

// ReplicaShare returns the share of reads, from 0 to 1, that replicas served. It is 0
// if there were no reads.
func ReplicaShare(served []Counter) float64 {
	var reads, replicas float64
	for _, c := range served {
		if !strings.HasPrefix(c.Name, servedPrefix) || !strings.Contains(c.Name, `kind="read"`) {
			continue
		}
		reads += c.Value
		if strings.Contains(c.Name, `role="replica"`) {
			replicas += c.Value
		}
	}
	if reads == 0 {
		return 0
	}
	return replicas / reads
}
