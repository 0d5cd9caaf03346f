package fleet

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// root is the repository's root, whose scripts and programs in bin/ the tests run.
const root = "../../.."

// testFleet is a fleet of processes on the loopback interface.
type testFleet struct {
	t           *testing.T
	dataDir     string
	environment map[string]string
}

// startFleet starts a small deployment. The programs must have been built, as "make test" does.
func startFleet(t *testing.T) *testFleet {
	t.Helper()
	f := &testFleet{t: t, dataDir: t.TempDir(), environment: map[string]string{}}
	t.Cleanup(func() { _, _ = f.runScript("stop") })
	if output, err := f.runScript("start", "internal/lab/fleet/testdata/small.yaml"); err != nil {
		t.Fatalf("fleet did not start: %v\n%s", err, output)
	}
	text, err := os.ReadFile(filepath.Join(f.dataDir, "fleet.env"))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		name, value, _ := strings.Cut(line, "=")
		f.environment[name] = strings.Trim(value, `"`)
	}
	return f
}

func (f *testFleet) runScript(arguments ...string) (string, error) {
	command := exec.Command("scripts/fleet", append(arguments, "--data", f.dataDir)...)
	command.Dir = root
	output, err := command.CombinedOutput()
	return string(output), err
}

func (f *testFleet) mustRunScript(arguments ...string) {
	f.t.Helper()
	if output, err := f.runScript(arguments...); err != nil {
		f.t.Fatalf("scripts/fleet %v: %v\n%s", arguments, err, output)
	}
}

// runOperator runs a command of the operator's client.
func (f *testFleet) runOperator(arguments ...string) (string, error) {
	command := exec.Command("bin/kitetiller", arguments...)
	command.Dir = root
	command.Env = append(os.Environ(), "KITETILLER_CONTROL="+f.environment["CONTROL"], "KITETILLER_ADMIN_TOKEN="+f.environment["ADMIN_TOKEN"])
	output, err := command.CombinedOutput()
	return string(output), err
}

// loadRun is a load generator that runs in the background.
type loadRun struct {
	t       *testing.T
	command *exec.Cmd
	output  strings.Builder
}

func (f *testFleet) startLoad(label string, extra ...string) *loadRun {
	f.t.Helper()
	l := &loadRun{t: f.t}
	arguments := append([]string{"load", "--deployment", "internal/lab/fleet/testdata/small.yaml", "--routers", f.environment["ROUTERS"],
		"--keys", f.environment["API_KEY"] + "," + f.environment["API_KEY_2"], "--backends", f.environment["BACKENDS"], "--duration", "6s", "--rate", "25",
		"--label", label}, extra...)
	l.command = exec.Command("bin/kitelab", arguments...)
	l.command.Dir = root
	l.command.Stdout, l.command.Stderr = &l.output, &l.output
	if err := l.command.Start(); err != nil {
		f.t.Fatal(err)
	}
	return l
}

// requireNoErrors waits for the end of the load and fails if a response was lost, duplicated, out of order or wrong.
func (l *loadRun) requireNoErrors() {
	l.t.Helper()
	if err := l.command.Wait(); err != nil {
		l.t.Fatalf("load: %v\n%s", err, l.output.String())
	}
}

// TestProcessFailures runs the main failure scenarios one after the other on one fleet of processes.
func TestProcessFailures(t *testing.T) {
	f := startFleet(t)
	t.Run("planned stop of a router costs nothing", f.plannedStop)
	t.Run("killed router breaks only its own connections", f.killedRouter)
	t.Run("killed engine cuts no stream", f.killedEngine)
	t.Run("frozen engine cuts no stream", f.frozenEngine)
	t.Run("frozen router runs nothing twice", f.frozenRouter)
	t.Run("killed leader loses no accepted change and doubles no run", f.killedLeader)
	t.Run("wiped control replica is replaced", f.wipedControl)
	t.Run("cut zone heals", f.partitionedZone)
	t.Run("new weights are rolled out under load", f.weightsRollout)
	t.Run("leaving engine gets nothing new", f.drainingEngine)
}

func (f *testFleet) forSubtest(t *testing.T) *testFleet {
	return &testFleet{t: t, dataDir: f.dataDir, environment: f.environment}
}

func (f *testFleet) plannedStop(t *testing.T) {
	f = f.forSubtest(t)
	l := f.startLoad("planned")
	pause()
	f.mustRunScript("stop-one", "router-2")
	l.requireNoErrors()
	f.mustRunScript("restart", "router-2")
}

func (f *testFleet) killedRouter(t *testing.T) {
	f = f.forSubtest(t)
	l := f.startLoad("killed-router", "--allow-broken")
	pause()
	f.mustRunScript("kill", "router-1")
	f.mustRunScript("restart", "router-1")
	l.requireNoErrors()
}

func (f *testFleet) killedEngine(t *testing.T) {
	f = f.forSubtest(t)
	l := f.startLoad("killed-engine")
	pause()
	f.mustRunScript("kill", "llm-1")
	f.mustRunScript("restart", "llm-1")
	f.mustRunScript("kill", "llm-2")
	f.mustRunScript("restart", "llm-2")
	l.requireNoErrors()
}

func (f *testFleet) frozenEngine(t *testing.T) {
	f = f.forSubtest(t)
	l := f.startLoad("frozen-engine")
	pause()
	f.mustRunScript("freeze", "llm-3")
	l.requireNoErrors()
	f.mustRunScript("thaw", "llm-3")
}

func (f *testFleet) frozenRouter(t *testing.T) {
	f = f.forSubtest(t)
	l := f.startLoad("frozen-router")
	pause()
	f.mustRunScript("freeze", "router-3")
	for range 5 {
		pause()
	}
	f.mustRunScript("thaw", "router-3")
	l.requireNoErrors()
}

var leaderPattern = regexp.MustCompile(`(?m)"leader": "(control-\d)"`)

// waitForLeader waits until a leader is known and returns its name.
func (f *testFleet) waitForLeader() string {
	f.t.Helper()
	for range 100 {
		output, err := f.runOperator("status", "--output", "json")
		if match := leaderPattern.FindStringSubmatch(output); err == nil && match != nil {
			return match[1]
		}
		pause()
	}
	f.t.Fatal("no leader is known")
	return ""
}

// waitForMembers waits until a replica leads with a lease and returns its member list. Polling the status isn't enough:
// other replicas may still report an earlier leader that has just been restarted.
func (f *testFleet) waitForMembers() string {
	f.t.Helper()
	for range 100 {
		if output, err := f.runOperator("members"); err == nil {
			return output
		}
		pause()
	}
	f.t.Fatal("no leader answered the members command")
	return ""
}

func (f *testFleet) killedLeader(t *testing.T) {
	f = f.forSubtest(t)
	l := f.startLoad("killed-leader")
	accepted := map[string]string{}
	for i := range 30 {
		if i == 5 || i == 15 {
			leader := f.waitForLeader()
			f.mustRunScript("kill", leader)
			defer f.mustRunScript("restart", leader)
		}
		if i == 10 {
			f.mustRunScript("restart", "control-1")
			f.mustRunScript("restart", "control-2")
			f.mustRunScript("restart", "control-3")
		}
		id := fmt.Sprintf("loop-%d", i)
		if output, err := f.runOperator("config", "set", "/", "queue_limit", fmt.Sprint(600+i), "--operation-id", id); err == nil {
			accepted[id] = output
		}
	}
	l.requireNoErrors()
	f.requireInHistory(accepted)
}

// requireInHistory fails unless the settings history contains every accepted change.
func (f *testFleet) requireInHistory(accepted map[string]string) {
	f.t.Helper()
	if len(accepted) == 0 {
		f.t.Fatal("no settings change was accepted")
	}
	output, err := f.runOperator("config", "history", "--output", "json")
	if err != nil {
		f.t.Fatalf("config history: %v\n%s", err, output)
	}
	var entries []struct {
		OperationID string `json:"operation_id"`
	}
	if err := json.Unmarshal([]byte(output), &entries); err != nil {
		f.t.Fatalf("decode config history: %v\n%s", err, output)
	}
	recorded := map[string]bool{}
	for _, entry := range entries {
		recorded[entry.OperationID] = true
	}
	for id, output := range accepted {
		if !recorded[id] {
			f.t.Errorf("operation %s was accepted (%s) but is missing from the history", id, strings.TrimSpace(output))
		}
	}
}

func (f *testFleet) wipedControl(t *testing.T) {
	f = f.forSubtest(t)
	l := f.startLoad("wiped")
	before := f.waitForMembers()
	leader := f.waitForLeader()
	wipedMember := regexp.MustCompile(leader + `-\w+`).FindString(before)
	if wipedMember == "" {
		t.Fatalf("%s is not among the members:\n%s", leader, before)
	}
	f.mustRunScript("wipe", leader)
	l.requireNoErrors()
	for range 50 {
		if output, err := f.runOperator("members"); err == nil && strings.Count(output, "true") == 3 && !strings.Contains(output, wipedMember) {
			return
		}
		pause()
	}
	output, _ := f.runOperator("members")
	t.Fatalf("%s was not replaced:\n%s", leader, output)
}

func (f *testFleet) partitionedZone(t *testing.T) {
	f = f.forSubtest(t)
	l := f.startLoad("cut", "--allow-broken")
	pause()
	f.mustRunScript("cut", "west")
	for range 4 {
		pause()
	}
	f.mustRunScript("heal", "west")
	l.requireNoErrors()
}

// weightsRollout changes the weights version under load: no response may be lost, and every engine must load the new
// version.
func (f *testFleet) weightsRollout(t *testing.T) {
	f = f.forSubtest(t)
	l := f.startLoad("weights")
	pause()
	if output, err := f.runOperator("config", "set", "/*/llm", "weights_version", "w2"); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	l.requireNoErrors()
	for range 50 {
		output, err := f.runOperator("status", "--output", "json")
		if err == nil && strings.Count(output, `"weights": "w2"`) >= 6 && !strings.Contains(output, `"weights": "w1"`) {
			return
		}
		pause()
	}
	output, _ := f.runOperator("status")
	t.Fatalf("not every engine loaded the new weights:\n%s", output)
}

var drainingPattern = regexp.MustCompile(`"state": "leaving"`)

// drainingEngine marks an engine as leaving in the machine list: every router must report that state and no response
// may be lost.
func (f *testFleet) drainingEngine(t *testing.T) {
	f = f.forSubtest(t)
	l := f.startLoad("leaving")
	f.mustRunScript("leave", "llm-4")
	l.requireNoErrors()
	output, err := f.runOperator("status", "--output", "json", "--routers", strings.ReplaceAll(f.environment["ROUTERS"], " ", ","))
	if err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	if seen := len(drainingPattern.FindAllString(output, -1)); seen != 3 {
		t.Fatalf("%d of 3 routers report the engine as leaving", seen)
	}
}
