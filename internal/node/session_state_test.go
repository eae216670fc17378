package node

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"sync"
	"testing"
)

// Guards against statements that run with the values of another session: when a target
// refused the statements that set up the state of a session, the statement that was sent along
// ran all the same, and the caller of a write was told that its outcome was unknown.
func TestRefusedSessionState(t *testing.T) {
	const sessions, rounds, shedShare = 6, 40, 0.4
	tc := newTestCluster(t, "north", "north")
	shed := rand.New(rand.NewPCG(1, 1))
	tc.group.SetShedding(0, func(text string) bool {
		word, _, _ := strings.Cut(text, " ")
		return (word == "SET" || word == "RESET" || word == "PREPARE") && shed.Float64() < shedShare
	})
	var wg sync.WaitGroup
	for i := range sessions {
		c := tc.connect(tc.nodes[i%2], dbCurrent)
		values := map[string]string{"schema": fmt.Sprint("s", i)}
		if i%3 == 0 {
			values["only"] = fmt.Sprint("o", i)
		}
		for name, value := range values {
			c.Query("SET " + name + " " + value)
		}
		wg.Go(func() {
			for n := range rounds {
				c.Query(fmt.Sprintf("PREPARE p WRITE shape%d", n))
				for _, text := range []string{"READ a", fmt.Sprintf("WRITE a%d x", i), "EXEC p b x"} {
					r := c.Query(text)
					if code := r.Code(); !r.OK() && code != "BUSY" {
						t.Errorf("%s of session %d was answered %s, want success or BUSY", text, i, r.Completion)
					}
					if ran := tc.group.SessionValues(r.ID); ran != nil && !reflect.DeepEqual(ran, values) {
						t.Errorf("%s of session %d ran with the values %v, want %v", text, i, ran, values)
					}
					if !r.OK() && tc.group.RunCount(r.ID) > 0 {
						t.Errorf("%s of session %d ran and was answered %s", text, i, r.Completion)
					}
				}
			}
		})
	}
	wg.Wait()
}
