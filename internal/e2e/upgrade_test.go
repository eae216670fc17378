package e2e

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/standin/site"
)

// deployFile names the release that users run, relative to the root of the repository.
const deployFile = "deploy/system.toml"

var productionPattern = regexp.MustCompile(`(?m)^production *= *"([0-9a-f]+)"`)

// errNoHistory means that the repository has no history to build the release from.
var errNoHistory = errors.New("the history lacks the release in production")

// repository runs git in the root of the repository and returns its output.
func repository(arguments ...string) (string, error) {
	out, err := exec.Command("git", append([]string{"-C", "../.."}, arguments...)...).Output()
	return strings.TrimSpace(string(out)), err
}

// buildProduction builds the release that deploy/system.toml names as in production, from the
// repository's history, and returns the path of its executable.
func buildProduction(dir string) (string, error) {
	deploy, err := os.ReadFile(filepath.Join("../..", deployFile))
	if err != nil {
		return "", err
	}
	match := productionPattern.FindSubmatch(deploy)
	if match == nil {
		return "", fmt.Errorf("%s names no release in production", deployFile)
	}
	commit := string(match[1])
	if _, err := repository("cat-file", "-e", commit+"^{commit}"); err != nil {
		return "", fmt.Errorf("%w: %s", errNoHistory, commit)
	}
	archive := filepath.Join(dir, "release.tar")
	if _, err := repository("archive", "--output", archive, commit, "--", "go.mod", "go.sum", "cmd", "internal", "platform"); err != nil {
		return "", fmt.Errorf("archive %s: %w", commit, err)
	}
	if out, err := exec.Command("tar", "-x", "-f", archive, "-C", dir).CombinedOutput(); err != nil {
		return "", fmt.Errorf("extract %s: %w: %s", commit, err, out)
	}
	build := exec.Command("go", "build", "-o", "released", "./cmd/laburnumrack")
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build %s: %w: %s", commit, err, out)
	}
	return filepath.Join(dir, "released"), nil
}

// Times of an upgrade.
const (
	// mixedTime is how long half of the daemons run each release before the others are
	// replaced.
	mixedTime = 3 * time.Second
	// replacementGap is the pause between the start of a daemon and the end of the next.
	replacementGap = 400 * time.Millisecond
	// upgradeDuration covers both halves, with up to 2 s for each shutdown.
	upgradeDuration = 24 * time.Second
)

// strangers are the log lines of daemons that can't read each other's messages.
var strangers = []string{"protocol version", "peer_request_unknown", "vm_entry_ignored"}

// checkLogs reports messages that a daemon could not read, by its log.
func (s *soak) checkLogs() {
	for _, v := range s.vms {
		log, err := os.ReadFile(v.log.Name())
		if err != nil {
			s.t.Fatal(err)
		}
		for line := range strings.Lines(string(log)) {
			if slices.ContainsFunc(strangers, func(text string) bool { return strings.Contains(line, text) }) {
				s.t.Errorf("%s: %s", v.name, line)
				break
			}
		}
	}
}

// TestUpgrade guards the guarantees of TestPlatformSoak while daemons of the release in
// production and of this one serve side by side: half of the fleet is replaced, then the other
// half, while a primary crashes and the configuration changes. It plays the upgrade and the
// way back. Messages that one of the two can't read would refuse or lose requests.
func TestUpgrade(t *testing.T) {
	released, err := buildProduction(t.TempDir())
	if errors.Is(err, errNoHistory) {
		t.Skipf("not played: %v", err)
	}
	if err != nil {
		t.Fatal(err)
	}
	for i, c := range []struct{ name, from, to string }{
		{"upgrade", released, binary},
		{"rollback", binary, released},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			playUpgrade(t, uint64(1+i), c.from, c.to)
		})
	}
}

func playUpgrade(t *testing.T, seed uint64, from, to string) {
	s := newSoak(t, soakOptions{ip: fmt.Sprintf("127.0.98.%d", seed), eras: true, tenants: soakTenants(firstChanges), binary: from, logs: t.TempDir()})
	for _, v := range s.vms {
		s.writeSettings(v, false)
	}
	s.run(seed, upgradeDuration, func(rng *rand.Rand, _ chan struct{}) {
		// The first daemon of each failure domain, then the second.
		for half := range 2 {
			for i := half; i < len(s.vms); i += 2 {
				s.replace(s.vms[i], to)
			}
			if half == 0 {
				s.configure(2, "current", "session", "added")
				time.Sleep(upTo(rng, mixedTime/2))
				s.crashPrimary()
				time.Sleep(mixedTime)
				s.configure(3, "current", "session", "added")
			}
		}
	})
	s.checkReturned(soakKeys[0])
	s.checkLogs()
	if s.served.Load() < 1000 {
		t.Errorf("%d requests served, want 1,000 or more", s.served.Load())
	}
}

// replace ends a daemon as the platform does before a planned start, and starts it from
// another executable. A daemon of this source must end within its grace period; ac63cbd waited
// for its watches and was killed.
func (s *soak) replace(v *vm, executable string) {
	killed := time.AfterFunc(soakGrace, func() {
		if v.binary == binary {
			s.recordViolation("%s did not end within its grace period", v.name)
		}
		_ = v.process.Process.Signal(syscall.SIGKILL)
	})
	s.terminate(v, syscall.SIGTERM)
	killed.Stop()
	v.binary = executable
	s.start(v)
	time.Sleep(replacementGap)
}

// servesWrite reports whether a daemon serves a write to the database that was added last.
func servesWrite(v *vm, key string) bool {
	c, err := site.ConnectWithKey(v.callerAddress, "added", key)
	if err != nil {
		return false
	}
	defer c.Close()
	return c.Refused == "" && c.Query("WRITE returned "+v.name).OK()
}
