package membership

import (
	"encoding/json"
	"flag"
	"testing"

	"github.com/laburnumrack/laburnumrack/internal/wirecompat"
)

// goldenRelease is set before a release:
// go test ./internal/membership -run TestGoldenObjects -golden.release=COMMIT.
var goldenRelease = flag.String("golden.release", "", "release for which TestGoldenObjects writes golden files from this source")

// goldenObjects are the values of the objects that this package writes to the store, by the
// name of their golden file.
var goldenObjects = map[string]func() any{
	"registration": func() any { return new(registration) },
	"founder":      func() any { return new(founder) },
}

// Guards against a change of the objects in the store that daemons of another release, which
// run at the same time or before a restart of all, read in part.
func TestGoldenObjects(t *testing.T) {
	wirecompat.Check(t, wirecompat.Codec{Extension: ".json", Marshal: json.Marshal, Unmarshal: json.Unmarshal}, goldenObjects, *goldenRelease)
}
