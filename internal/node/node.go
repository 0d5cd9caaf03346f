package node

import (
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/mechanism"
	"kitetiller/internal/prefix"
	"kitetiller/internal/quota"
)

// File is a process's settings file.
type File struct {
	Name         string   `yaml:"name"`          // name of the process, unique in the deployment
	Zone         string   `yaml:"zone"`          // zone that the process runs in
	DataDir      string   `yaml:"data"`          // directory of persistent data
	LogLevel     string   `yaml:"log_level"`     // debug, info, warn or error; default info
	ClusterToken string   `yaml:"cluster_token"` // shared secret of routers and control replicas
	AdminToken   string   `yaml:"admin_token"`   // bearer token of operators
	LinkFile     string   `yaml:"links"`         // file that describes partitioned zones; tests only
	MemoryMB     float64  `yaml:"memory_mb"`     // memory that the process may take in megabytes; 0, the default, is unlimited
	Router       *Router  `yaml:"router"`
	Control      *Control `yaml:"control"`
}

// Router is the section of a router.
type Router struct {
	Listen                string                   `yaml:"listen"`              // address to listen on for callers
	PeerAddress           string                   `yaml:"internal"`            // address for other routers, or empty
	TunnelAddress         string                   `yaml:"tunnel"`              // address at which other routers ask for tunnels to back ends, or empty
	Control               []string                 `yaml:"control"`             // internal addresses of the control replicas
	Platform              string                   `yaml:"platform"`            // address of the platform's machine list
	Vault                 string                   `yaml:"vault"`               // address of the KV store, or empty
	PrefixKey             string                   `yaml:"prefix_key"`          // secret key of block hashes, 64 hex digits, the same on all routers
	BlockTokens           int                      `yaml:"block_tokens"`        // tokens of a block, the same on all routers; default 64
	IndexBlocks           int                      `yaml:"index_blocks"`        // capacity of the prefix index, in blocks; default 2,000,000
	ImportTokensPerSecond float64                  `yaml:"import_tokens_per_s"` // transfer rate of cached tokens between engines; 0 disables transfers
	ZoneLatency           map[string]time.Duration `yaml:"zone_latency"`        // one-way latency to each other zone
	PollInterval          time.Duration            `yaml:"poll_every"`          // interval of back end state polls; default 100ms
	HeartbeatInterval     time.Duration            `yaml:"heartbeat_every"`     // interval of heartbeats to control; default 500ms
	DrainTimeout          time.Duration            `yaml:"drain_limit"`         // how long a planned stop waits for running requests; default 120s
	MaxConnections        int                      `yaml:"max_connections"`     // maximum concurrent requests of callers; default 10,000
}

// Control is the section of a control replica.
type Control struct {
	InternalAddress    string        `yaml:"internal"`       // address that replicas and routers connect to
	InternalListen     string        `yaml:"bind"`           // address to listen on for them, if it differs; default internal
	Admin              string        `yaml:"admin"`          // address to listen on for operators
	Founders           []string      `yaml:"founders"`       // internal addresses of the initial replicas; the first one bootstraps the group
	Replicas           int           `yaml:"replicas"`       // target number of voters; default 3
	MaxReplicas        int           `yaml:"max_replicas"`   // number up to which spares vote as well; default replicas
	Platform           string        `yaml:"platform"`       // address of the platform's machine list
	Heartbeat          time.Duration `yaml:"heartbeat"`      // interval of the leader's heartbeats; default 100ms
	SettingsLease      time.Duration `yaml:"settings_lease"` // how long a router may serve without contact to control; default 3s
	RepairAfter        time.Duration `yaml:"repair_after"`   // silence after which a spare replaces a replica; default 10s
	SnapshotEvery      uint64        `yaml:"snapshot_every"` // log entries between snapshots; default 5,000
	DiskLimitMB        int           `yaml:"disk_limit_mb"`  // megabytes that the data folder may hold; 0, the default, is unknown
	JoinOnly           bool          `yaml:"join_only"`      // never bootstrap a group, only join one; default false
	WeightsOrderDelay  time.Duration `yaml:"order_wait"`     // how long a new leader waits before its first weights order; default 3s
	GatewayViewTTL     time.Duration `yaml:"gateway_trust"`  // how long a gateway may use an unconfirmed view; default 3s
	DisabledMechanisms string        `yaml:"without"`        // disabled routing mechanisms, separated by commas; default none
	Quota              Quota         `yaml:"quota"`          // accounting of limits that all gateways share
}

// Quota sets how limits that all gateways share are accounted; gateways have the same settings.
type Quota struct {
	Window      time.Duration `yaml:"window"`       // window over which a tenant's usage is summed; default 8s
	Overage     float64       `yaml:"overage"`      // fraction by which usage in a window may exceed a tenant's limit; default 0.1
	Slack       float64       `yaml:"slack"`        // units by which it may exceed the limit in addition; default 0
	RetryWindow time.Duration `yaml:"retry_window"` // window over which retries are summed; default 10s
	RetrySlack  float64       `yaml:"retry_slack"`  // retries of a service allowed in a window beyond a fraction of its requests; default 0
}

// Policy returns the quota policy, with defaults for values that are not set.
func (q Quota) Policy() quota.Policy { return quota.Policy(q).WithDefaults() }

// Limits and defaults of node files.
const (
	defaultBlockTokens       = 64
	minBlockTokens           = 8
	maxBlockTokens           = 4096
	defaultIndexBlocks       = 2_000_000
	defaultPollInterval      = 100 * time.Millisecond
	defaultHeartbeatInterval = 500 * time.Millisecond
	defaultDrainTimeout      = 120 * time.Second
	defaultMaxConnections    = 10_000
	defaultReplicas          = 3
	defaultLeaderHeartbeat   = 100 * time.Millisecond
	defaultSettingsLease     = 3 * time.Second
	defaultRepairAfter       = 10 * time.Second
	defaultSnapshotEvery     = 5000
	defaultWeightsOrderDelay = 3 * time.Second
	defaultGatewayViewTTL    = 3 * time.Second
)

// Load reads and validates a file. The error lists all problems.
func Load(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(err, "read settings file %s", path)
	}
	file, problems := Parse(data)
	if len(problems) > 0 {
		return nil, eris.Errorf("settings file %s has %d problems:\n%s", path, len(problems), FormatProblems(problems))
	}
	return file, nil
}

// FormatProblems returns one indented line for each problem.
func FormatProblems(problems []Problem) string {
	lines := make([]string, len(problems))
	for i, problem := range problems {
		lines[i] = "  " + problem.String()
	}
	return strings.Join(lines, "\n")
}

// Parse decodes a file, applies defaults and validates the result. Problems are in the order of their lines.
func Parse(data []byte) (*File, []Problem) {
	file := &File{}
	problems, lines := Decode(data, file)
	file.applyDefaults()
	check := &checker{lines: lines, problems: problems}
	check.checkFile(file)
	sort.SliceStable(check.problems, func(i, j int) bool { return check.problems[i].Line < check.problems[j].Line })
	return file, check.problems
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (f *File) applyDefaults() {
	setDefault(&f.LogLevel, "info")
	if f.Router != nil {
		setDefault(&f.Router.BlockTokens, defaultBlockTokens)
		setDefault(&f.Router.IndexBlocks, defaultIndexBlocks)
		setDefault(&f.Router.PollInterval, defaultPollInterval)
		setDefault(&f.Router.HeartbeatInterval, defaultHeartbeatInterval)
		setDefault(&f.Router.DrainTimeout, defaultDrainTimeout)
		setDefault(&f.Router.MaxConnections, defaultMaxConnections)
	}
	if f.Control != nil {
		setDefault(&f.Control.InternalListen, f.Control.InternalAddress)
		setDefault(&f.Control.Replicas, defaultReplicas)
		setDefault(&f.Control.MaxReplicas, f.Control.Replicas)
		setDefault(&f.Control.Heartbeat, defaultLeaderHeartbeat)
		setDefault(&f.Control.SettingsLease, defaultSettingsLease)
		setDefault(&f.Control.RepairAfter, defaultRepairAfter)
		setDefault(&f.Control.SnapshotEvery, defaultSnapshotEvery)
		setDefault(&f.Control.WeightsOrderDelay, defaultWeightsOrderDelay)
		setDefault(&f.Control.GatewayViewTTL, defaultGatewayViewTTL)
	}
}

// checker validates decoded values and collects problems.
type checker struct {
	lines    map[string]int
	problems []Problem
}

// addProblem records a problem at the line of the path or of its closest parent that the file contains.
func (c *checker) addProblem(path, message string) {
	line := c.lines[path]
	for parent := path; line == 0 && strings.Contains(parent, "."); line = c.lines[parent] {
		parent = parent[:strings.LastIndex(parent, ".")]
	}
	c.problems = append(c.problems, Problem{Line: max(1, line), Path: path, Message: message})
}

func (c *checker) checkRequired(path, value string) {
	if value == "" {
		c.addProblem(path, "is missing")
	}
}

// checkAddress checks that a value is an IP address and a port; host names are not allowed.
func (c *checker) checkAddress(path, value string, required bool) {
	if value == "" {
		if required {
			c.addProblem(path, "is missing; use IP:PORT")
		}
		return
	}
	host, port, err := net.SplitHostPort(value)
	portNumber, portErr := strconv.Atoi(port)
	if err != nil || net.ParseIP(host) == nil || portErr != nil || portNumber < 0 || portNumber > 65535 {
		c.addProblem(path, fmt.Sprintf("%q is not a valid address; use IP:PORT with a numeric IP address", value))
	}
}

func (c *checker) checkFile(f *File) {
	c.checkRequired("name", f.Name)
	c.checkRequired("zone", f.Zone)
	c.checkRequired("data", f.DataDir)
	if f.MemoryMB < 0 {
		c.addProblem("memory_mb", "must not be negative")
	}
	switch f.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		c.addProblem("log_level", fmt.Sprintf("%q is not allowed; use debug, info, warn or error", f.LogLevel))
	}
	if f.Router != nil {
		c.checkRouter(f.Router)
	}
	if f.Control != nil {
		c.checkControl(f.Control)
	}
	if f.Router == nil && f.Control == nil {
		c.addProblem("file", "needs a router section or a control section")
	}
}

func (c *checker) checkRouter(r *Router) {
	c.checkAddress("router.listen", r.Listen, true)
	c.checkAddress("router.internal", r.PeerAddress, false)
	c.checkAddress("router.tunnel", r.TunnelAddress, false)
	c.checkAddress("router.platform", r.Platform, true)
	c.checkAddress("router.vault", r.Vault, false)
	if len(r.Control) == 0 {
		c.addProblem("router.control", "needs at least one address")
	}
	for i, address := range r.Control {
		c.checkAddress(fmt.Sprintf("router.control[%d]", i), address, true)
	}
	if _, err := r.HashKey(); err != nil {
		c.addProblem("router.prefix_key", "must be 64 hex digits, the same on all routers")
	}
	if r.BlockTokens < minBlockTokens || r.BlockTokens > maxBlockTokens {
		c.addProblem("router.block_tokens", fmt.Sprintf("%d is out of range; allowed is %d to %d tokens", r.BlockTokens, minBlockTokens, maxBlockTokens))
	}
	if r.IndexBlocks < 1 {
		c.addProblem("router.index_blocks", "must be at least 1")
	}
	if r.ImportTokensPerSecond < 0 {
		c.addProblem("router.import_tokens_per_s", "must not be negative")
	}
}

func (c *checker) checkControl(r *Control) {
	if _, err := mechanism.Without(r.DisabledMechanisms); err != nil {
		c.addProblem("control.without", err.Error())
	}
	c.checkAddress("control.internal", r.InternalAddress, true)
	c.checkAddress("control.bind", r.InternalListen, false)
	c.checkAddress("control.admin", r.Admin, true)
	c.checkAddress("control.platform", r.Platform, true)
	if len(r.Founders) == 0 {
		c.addProblem("control.founders", "needs at least one address")
	}
	for i, address := range r.Founders {
		c.checkAddress(fmt.Sprintf("control.founders[%d]", i), address, true)
	}
	if r.Replicas < 1 || r.Replicas > 7 {
		c.addProblem("control.replicas", fmt.Sprintf("%d is out of range; allowed is 1 to 7", r.Replicas))
	}
	if r.MaxReplicas < r.Replicas || r.MaxReplicas > 9 {
		c.addProblem("control.max_replicas", fmt.Sprintf("%d is out of range; allowed is control.replicas to 9", r.MaxReplicas))
	}
	if r.DiskLimitMB < 0 {
		c.addProblem("control.disk_limit_mb", "must not be negative")
	}
	if q := r.Quota; q.Window < 0 || q.Overage < 0 || q.Slack < 0 || q.RetryWindow < 0 || q.RetrySlack < 0 {
		c.addProblem("control.quota", "must not contain negative values")
	}
	if r.SettingsLease < 4*r.Heartbeat {
		c.addProblem("control.settings_lease", "must be at least four times control.heartbeat")
	}
}

// HashKey decodes PrefixKey.
func (r *Router) HashKey() ([prefix.KeyBytes]byte, error) {
	var key [prefix.KeyBytes]byte
	decoded, err := hex.DecodeString(r.PrefixKey)
	if err != nil || len(decoded) != prefix.KeyBytes {
		return key, eris.New("prefix_key must be 64 hex digits")
	}
	copy(key[:], decoded)
	return key, nil
}
