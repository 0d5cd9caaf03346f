// Package fleet generates the files to run a deployment on one machine: node files, data directories, ports and the
// command line of each process. scripts/fleet starts the processes.
package fleet

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"kitetiller/internal/core"
	"kitetiller/internal/lab/plan"
	"kitetiller/internal/transport"
)

const (
	loopback             = "127.0.0.1"
	minPort              = 20000
	maxPort              = 30000 // below the ephemeral port range
	maxPortAttempts      = 200
	controlCount         = 3
	filePermissions      = 0o600
	directoryPermissions = 0o755
)

// Process is one process of the fleet.
type Process struct {
	Name      string
	Zone      string
	Binary    string
	Arguments []string
}

// Layout describes a deployment on this machine.
type Layout struct {
	Routers         []string
	Control         []string // admin addresses
	Backends        []string // of the small service
	Platform        string
	Keys            []string // one API key per tenant, in the order of the deployment
	AdminToken      string
	Processes       []Process
	deployment      *plan.Deployment
	deploymentFile  string
	dataDir         string
	nextPort        int
	links           transport.LinkFile
	machines        []core.Machine
	controlInternal []string
	vaultAddress    string
	weightsAddress  string
	clusterToken    string
	prefixKey       string
	spareCount      int
}

// Create generates the layout of a deployment file in a data directory, with spare control replicas beyond the
// founding ones.
func Create(file, data string, spares int) (*Layout, error) {
	deployment, err := plan.Load(file)
	if err != nil {
		return nil, err
	}
	absolute, err := filepath.Abs(data)
	if err != nil {
		return nil, eris.Wrap(err, "resolve data directory")
	}
	layout := &Layout{
		deployment: deployment, deploymentFile: file, dataDir: absolute, AdminToken: randomHex(16), clusterToken: randomHex(16), prefixKey: randomHex(32),
		links: transport.LinkFile{Zones: map[string]string{}, LatencyMS: deployment.ZoneLatency.Seconds() * 1000}, spareCount: spares,
	}
	count := 2*(controlCount+spares) + 2*len(deployment.Zones) + deployment.Model.Workers + deployment.Small.Workers + 4
	if layout.nextPort, err = freePorts(count); err != nil {
		return nil, err
	}
	return layout, layout.build()
}

func randomHex(length int) string {
	random := make([]byte, length)
	_, _ = rand.Read(random) // never fails
	return hex.EncodeToString(random)
}

// freePorts returns the first of count consecutive ports on which nothing listens.
func freePorts(count int) (int, error) {
	for range maxPortAttempts {
		base := minPort + mathrand.IntN(maxPort-minPort-count)
		if allFree(base, count) {
			return base, nil
		}
	}
	return 0, eris.Errorf("no %d consecutive free ports found", count)
}

func allFree(base, count int) bool {
	for port := base; port < base+count; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopback, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// allocateAddress returns an address with the next unused port and assigns it to a zone of the emulated network.
func (l *Layout) allocateAddress(zone string) string {
	address := fmt.Sprintf("%s:%d", loopback, l.nextPort)
	l.nextPort++
	l.links.Zones[address] = zone
	return address
}

func (l *Layout) zoneOf(number int) string { return l.deployment.Zones[number%len(l.deployment.Zones)] }

func (l *Layout) build() error {
	if err := os.MkdirAll(l.dataDir, directoryPermissions); err != nil {
		return eris.Wrap(err, "create data directory")
	}
	l.addStores()
	l.addBackends()
	if err := l.writeJSON("machines.json", l.machines); err != nil {
		return err
	}
	if err := l.addControl(); err != nil {
		return err
	}
	if err := l.addRouters(); err != nil {
		return err
	}
	if err := l.writeSettingsTree(); err != nil {
		return err
	}
	return l.writeJSON("links.json", l.links)
}

func (l *Layout) addProcess(name, zone, binary string, arguments ...string) {
	l.Processes = append(l.Processes, Process{Name: name, Zone: zone, Binary: binary, Arguments: arguments})
}

func (l *Layout) path(name string) string { return filepath.Join(l.dataDir, name) }

func (l *Layout) addStores() {
	l.Platform, l.vaultAddress, l.weightsAddress = l.allocateAddress(""), l.allocateAddress(""), l.allocateAddress("")
	l.addProcess("platform", "", "kitelab", "platform", "--listen", l.Platform, "--machines", l.path("machines.json"), "--deployment", l.deploymentFile)
	l.addProcess(l.deployment.Vault.Name, "", "kitelab", "vault", "--listen", l.vaultAddress, "--deployment", l.deploymentFile)
	l.addProcess("weights", "", "kitelab", "weights", "--listen", l.weightsAddress, "--deployment", l.deploymentFile)
}

func (l *Layout) addBackends() {
	for i := range l.deployment.Model.Workers {
		name, zone := fmt.Sprintf("%s-%d", l.deployment.Model.Name, i+1), l.zoneOf(i)
		address := l.allocateAddress(zone)
		l.machines = append(l.machines, core.Machine{Name: name, Zone: zone, Service: l.deployment.Model.Name, Address: address})
		l.addProcess(name, zone, "kitelab", "engine", "--name", name, "--zone", zone, "--listen", address,
			"--weight-store", l.weightsAddress, "--deployment", l.deploymentFile)
	}
	for i := range l.deployment.Small.Workers {
		name, zone := fmt.Sprintf("%s-%d", l.deployment.Small.Name, i+1), l.zoneOf(i)
		address := l.allocateAddress(zone)
		l.Backends = append(l.Backends, address)
		l.machines = append(l.machines, core.Machine{Name: name, Zone: zone, Service: l.deployment.Small.Name, Address: address})
		l.addProcess(name, zone, "kitelab", "backend", "--name", name, "--zone", zone, "--listen", address, "--deployment", l.deploymentFile)
	}
}

func (l *Layout) addControl() error {
	total := controlCount + l.spareCount
	var admin []string
	for i := range total {
		l.controlInternal = append(l.controlInternal, l.allocateAddress(l.zoneOf(i)))
		admin = append(admin, l.allocateAddress(l.zoneOf(i)))
	}
	for i := range total {
		name, zone := fmt.Sprintf("control-%d", i+1), l.zoneOf(i)
		text := l.commonNodeSettings(name, zone) + fmt.Sprintf("control:\n  internal: %s\n  admin: %s\n  founders: [%s]\n  platform: %s\n  repair_after: 5s\n",
			l.controlInternal[i], admin[i], strings.Join(l.controlInternal[:controlCount], ", "), l.Platform)
		if err := l.addNode(name, zone, "control", text); err != nil {
			return err
		}
	}
	l.Control = admin[:controlCount]
	return nil
}

func (l *Layout) addRouters() error {
	for i, zone := range l.deployment.Zones {
		name, listen := fmt.Sprintf("router-%d", i+1), l.allocateAddress(zone)
		l.Routers = append(l.Routers, listen)
		text := l.commonNodeSettings(name, zone) + fmt.Sprintf("router:\n  listen: %s\n  internal: %s\n  tunnel: %s\n  control: [%s]\n  platform: %s\n  vault: %s\n  prefix_key: %s\n  import_tokens_per_s: %.0f\n  zone_latency:\n",
			listen, l.allocateAddress(zone), l.allocateAddress(zone), strings.Join(l.controlInternal[:controlCount], ", "), l.Platform, l.vaultAddress, l.prefixKey, l.deployment.Rates().ImportTokensPerSecond)
		for _, other := range l.deployment.Zones {
			if other != zone {
				text += fmt.Sprintf("    %s: %s\n", other, l.deployment.ZoneLatency)
			}
		}
		if err := l.addNode(name, zone, "router", text); err != nil {
			return err
		}
	}
	return nil
}

func (l *Layout) commonNodeSettings(name, zone string) string {
	return fmt.Sprintf("name: %s\nzone: %s\ndata: %s\ncluster_token: %s\nadmin_token: %s\nlinks: %s\n",
		name, zone, l.path(name), l.clusterToken, l.AdminToken, l.path("links.json"))
}

func (l *Layout) addNode(name, zone, kind, text string) error {
	path := l.path(name + ".yaml")
	if err := os.WriteFile(path, []byte(text), filePermissions); err != nil {
		return eris.Wrapf(err, "write %s", path)
	}
	l.addProcess(name, zone, "kitetiller", kind, path)
	return nil
}

// writeSettingsTree writes the deployment's settings tree with a generated API key for each tenant.
func (l *Layout) writeSettingsTree() error {
	data, err := os.ReadFile(l.deploymentFile)
	if err != nil {
		return eris.Wrapf(err, "read %s", l.deploymentFile)
	}
	text := string(data)
	for _, tenant := range l.deployment.Tenants {
		key := tenant.Name + "-" + randomHex(12)
		l.Keys = append(l.Keys, key)
		digest := sha256.Sum256([]byte(key))
		text = addKeyDigest(text, tenant.Name, hex.EncodeToString(digest[:]))
	}
	return eris.Wrap(os.WriteFile(l.path("tree.yaml"), []byte(text), filePermissions), "write settings tree")
}

// addKeyDigest adds a key digest to a tenant, whose settings must be on one line.
func addKeyDigest(text, tenant, digest string) string {
	setting := fmt.Sprintf("api_key_sha256: [\"%s\"]", digest)
	text = strings.Replace(text, tenant+": {settings: {", tenant+": {settings: {"+setting+", ", 1)
	return strings.Replace(text, tenant+": {}", tenant+": {settings: {"+setting+"}}", 1)
}

func (l *Layout) writeJSON(name string, value any) error {
	data, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return eris.Wrapf(err, "encode %s", name)
	}
	return eris.Wrapf(os.WriteFile(l.path(name), data, filePermissions), "write %s", name)
}

// WriteFiles writes the process list and the shell variables that scripts/fleet reads.
func (l *Layout) WriteFiles() error {
	var processes strings.Builder
	for _, process := range l.Processes {
		zone := process.Zone
		if zone == "" {
			zone = "-"
		}
		fmt.Fprintf(&processes, "%s\t%s\t%s\t%s\n", process.Name, zone, process.Binary, strings.Join(process.Arguments, " "))
	}
	if err := os.WriteFile(l.path("processes.tsv"), []byte(processes.String()), filePermissions); err != nil {
		return eris.Wrap(err, "write process list")
	}
	environment := fmt.Sprintf("ROUTERS=%q\nCONTROL=%q\nBACKENDS=%q\nPLATFORM=%q\nAPI_KEY=%q\nAPI_KEY_2=%q\nADMIN_TOKEN=%q\nMODEL_SERVICE=%q\nSMALL_SERVICE=%q\n",
		strings.Join(l.Routers, " "), strings.Join(l.Control, " "), strings.Join(l.Backends, " "), l.Platform,
		l.Keys[0], l.Keys[min(1, len(l.Keys)-1)], l.AdminToken, l.deployment.Model.Name, l.deployment.Small.Name)
	return eris.Wrap(os.WriteFile(l.path("fleet.env"), []byte(environment), filePermissions), "write fleet.env")
}
