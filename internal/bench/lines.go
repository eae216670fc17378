package bench

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/laburnumrack/laburnumrack/internal/standin/link"
)

// LineBytes is the number of bytes that crossed one line of the simulated network
// during a run.
type LineBytes struct {
	Line string `json:"line"`
	AToB uint64 `json:"bytes_a_to_b"`
	BToA uint64 `json:"bytes_b_to_a"`
}

// readLines reads the byte counters of the simulated network at a control address. It
// returns none if the address is empty.
func readLines(ctx context.Context, address string) ([]link.LineReport, error) {
	if address == "" {
		return nil, nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/lines", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var reports []link.LineReport
	return reports, json.NewDecoder(response.Body).Decode(&reports)
}

// lineDifference returns the bytes that crossed each line between two readings.
func lineDifference(before, after []link.LineReport) []LineBytes {
	earlier := map[string]link.LineReport{}
	for _, line := range before {
		earlier[line.Name] = line
	}
	var out []LineBytes
	for _, line := range after {
		previous := earlier[line.Name]
		out = append(out, LineBytes{Line: line.Name, AToB: line.BytesAToB - previous.BytesAToB, BToA: line.BytesBToA - previous.BytesBToA})
	}
	return out
}
