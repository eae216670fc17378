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

// Counter is one sample of the daemons' metrics, summed over the daemons.
type Counter struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Scrape sums the samples whose names begin with one of the prefixes over all
// daemons. Daemons that do not answer are left out and counted.
func Scrape(ctx context.Context, admins []string, prefixes ...string) (counters map[string]float64, silent int) {
	counters = map[string]float64{}
	for _, address := range admins {
		if err := scrapeOne(ctx, address, prefixes, counters); err != nil {
			silent++
		}
	}
	return counters, silent
}

func scrapeOne(ctx context.Context, address string, prefixes []string, into map[string]float64) error {
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
		return fmt.Errorf("metrics of %s: %s", address, response.Status)
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		addSample(lines.Text(), prefixes, into)
	}
	return lines.Err()
}

func addSample(line string, prefixes []string, into map[string]float64) {
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
			into[name] += value
			return
		}
	}
}

// Difference returns what was added to the counters, without zeros, by name.
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

// Prefixes of the counters that say where requests were served and refused.
const (
	servedPrefix  = "laburnumrack_served_total"
	refusedPrefix = "laburnumrack_refused_total"
	unknownPrefix = "laburnumrack_unknown_total"
	retryPrefix   = "laburnumrack_retries_total"
)

// ServedPrefixes are the counters that a report shows.
func ReportedPrefixes() []string {
	return []string{servedPrefix, refusedPrefix, unknownPrefix, retryPrefix}
}

// ReplicaShare returns the share of reads that replicas served.
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
