// Command kitetiller runs routers and control replicas for language-model traffic, and provides the operators'
// commands.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"kitetiller/internal/control"
	"kitetiller/internal/hangup"
	"kitetiller/internal/node"
	"kitetiller/internal/operator"
	"kitetiller/internal/router"
	"kitetiller/platform"
)

// version is set by the Makefile.
var version = "development"

const (
	exitFailure = 1
	exitUsage   = 2
	// platformCommandName is the name of the command that runs a process on the users' platform.
	platformCommandName = "platform"
)

// arguments holds every flag and positional value of the command line.
type arguments struct {
	disabledMechanisms string // mechanisms to disable, separated by commas
	options            operator.Options
	change             operator.ChangeOptions
	file               string
	listen             string
	data               string
	zone               string
	logLevel           string
	path               string
	setting            string
	value              string
	request            string
	role               string
	logs               string
	release            string
	effective          bool
}

// command is one subcommand: the parser of its flags and the function that runs it.
type command struct {
	parser *flaggy.Subcommand
	run    func(*arguments) error
}

func main() {
	args := &arguments{change: operator.ChangeOptions{Base: -1}, path: "/"}
	args.options = operator.Options{
		Control: os.Getenv("KITETILLER_CONTROL"), Routers: os.Getenv("KITETILLER_ROUTERS"),
		AdminToken: os.Getenv("KITETILLER_ADMIN_TOKEN"), Output: "table", Out: os.Stdout,
	}
	parser := flaggy.NewParser("kitetiller")
	parser.Description = "routes language-model traffic with long shared prompts to the engines that hold them"
	parser.Version = version
	commands := defineCommands(parser, args)
	if err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, "kitetiller:", err)
		os.Exit(exitUsage)
	}
	for _, candidate := range commands {
		if candidate.parser.Used {
			if candidate.parser.Name != platformCommandName { // the others have no use for SIGHUP
				hangup.Default()
			}
			finish(candidate.run(args))
		}
	}
	parser.ShowHelpWithMessage("a subcommand is needed")
	os.Exit(exitUsage)
}

func finish(err error) {
	if err == nil {
		os.Exit(0)
	}
	fmt.Fprintln(os.Stderr, "kitetiller:", eris.ToString(err, false))
	os.Exit(exitFailure)
}

func defineCommands(parser *flaggy.Parser, args *arguments) []command {
	routerCommand := flaggy.NewSubcommand("router")
	routerCommand.Description = "run a router"
	nodeFlags(routerCommand, args)
	controlCommand := flaggy.NewSubcommand("control")
	controlCommand.Description = "run a control replica"
	nodeFlags(controlCommand, args)
	platformCommand := flaggy.NewSubcommand(platformCommandName)
	platformCommand.Description = "run a process on the users' platform, with its settings file"
	platformCommand.AddPositionalValue(&args.role, "ROLE", 1, true, platform.RoleGateway+" or "+platform.RoleControl)
	platformCommand.AddPositionalValue(&args.file, "FILE", 2, true, "settings file of this process")
	platformCommand.String(&args.disabledMechanisms, "", "without", "mechanisms of the decision to switch off, with commas, to measure what they are worth")
	versionCommand := flaggy.NewSubcommand("version")
	versionCommand.Description = "print the version"
	parser.AttachSubcommand(routerCommand, 1)
	parser.AttachSubcommand(controlCommand, 1)
	parser.AttachSubcommand(platformCommand, 1)
	parser.AttachSubcommand(versionCommand, 1)
	commands := []command{
		{routerCommand, runRouter}, {controlCommand, runControl},
		{platformCommand, func(args *arguments) error { return platform.Run(args.role, args.file, args.disabledMechanisms) }},
		{versionCommand, func(*arguments) error { fmt.Println("kitetiller", version); return nil }},
	}
	commands = append(commands, defineViews(parser, args)...)
	return append(defineConfig(parser, args), commands...)
}

func nodeFlags(sub *flaggy.Subcommand, args *arguments) {
	sub.AddPositionalValue(&args.file, "FILE", 1, true, "settings file of this process (YAML)")
	sub.String(&args.listen, "l", "listen", "address to serve on, instead of the file's (IP:PORT)")
	sub.String(&args.data, "d", "data", "data folder, instead of the file's")
	sub.String(&args.zone, "z", "zone", "zone, instead of the file's")
	sub.String(&args.logLevel, "", "log-level", "debug, info, warn or error, instead of the file's")
}

func operatorFlags(sub *flaggy.Subcommand, args *arguments) {
	sub.String(&args.options.Control, "c", "control", "admin addresses of control replicas, with commas (or KITETILLER_CONTROL)")
	sub.String(&args.options.Routers, "r", "routers", "addresses of routers, with commas (or KITETILLER_ROUTERS)")
	sub.String(&args.options.AdminToken, "t", "admin-token", "operators' token (or KITETILLER_ADMIN_TOKEN)")
	sub.String(&args.options.Output, "o", "output", "table or json")
}

func changeFlags(sub *flaggy.Subcommand, args *arguments) {
	sub.Int64(&args.change.Base, "b", "base", "version the change is based on; -1 is the current one")
	sub.String(&args.change.OperationID, "i", "operation-id", "id of this change; repeat it to send the same change again")
	sub.String(&args.change.Author, "a", "author", "who makes the change")
	sub.Bool(&args.change.Wait, "w", "wait", "wait until the change is in force everywhere")
}

// explainRequest reads the given log files, or queries the routers if there are none.
func explainRequest(args *arguments) error {
	if args.logs != "" {
		return operator.ExplainLogs(os.Stdout, strings.Split(args.logs, ","), args.request)
	}
	return withOperator(func(o *operator.Command, a *arguments) error { return o.Explain(a.request) })(args)
}

func defineViews(parser *flaggy.Parser, args *arguments) []command {
	status := flaggy.NewSubcommand("status")
	status.Description = "show control replicas, routers and back ends"
	operatorFlags(status, args)
	members := flaggy.NewSubcommand("members")
	members.Description = "show the control replicas as the leader sees them"
	operatorFlags(members, args)
	explain := flaggy.NewSubcommand("explain")
	explain.Description = "show why a request was placed where it was"
	explain.AddPositionalValue(&args.request, "REQUEST", 1, true, "the request's X-Request-Id")
	operatorFlags(explain, args)
	explain.String(&args.logs, "", "logs", "log files, with commas: tell the story of a request or an instance from them")
	quarantined := flaggy.NewSubcommand("held")
	quarantined.Description = "show the requests under which back ends ended, and let them be sent again"
	operatorFlags(quarantined, args)
	quarantined.String(&args.release, "", "release", "fingerprints of requests that may be sent again, with commas")
	for _, sub := range []*flaggy.Subcommand{status, members, explain, quarantined} {
		parser.AttachSubcommand(sub, 1)
	}
	return []command{
		{status, withOperator(func(o *operator.Command, _ *arguments) error { return o.Status() })},
		{members, withOperator(func(o *operator.Command, _ *arguments) error { return o.Members() })},
		{explain, explainRequest},
		{quarantined, withOperator(func(o *operator.Command, a *arguments) error {
			if a.release != "" {
				return o.Release(a.release)
			}
			return o.ListQuarantined()
		})},
	}
}

func withOperator(run func(*operator.Command, *arguments) error) func(*arguments) error {
	return func(args *arguments) error {
		command, err := operator.New(args.options)
		if err != nil {
			return err
		}
		return run(command, args)
	}
}

func defineConfig(parser *flaggy.Parser, args *arguments) []command {
	config := flaggy.NewSubcommand("config")
	config.Description = "read, check and change the settings tree"
	parser.AttachSubcommand(config, 1)
	define := func(name, description string, flags ...func(*flaggy.Subcommand, *arguments)) *flaggy.Subcommand {
		sub := flaggy.NewSubcommand(name)
		sub.Description = description
		for _, add := range flags {
			add(sub, args)
		}
		config.AttachSubcommand(sub, 1)
		return sub
	}
	get := define("get", "show what nodes set, or the effective values at a path", operatorFlags)
	get.AddPositionalValue(&args.path, "PATH", 1, false, "/, /zone, /zone/service or /zone/service/tenant")
	get.Bool(&args.effective, "e", "effective", "show every effective value and the node that sets it")
	set := define("set", "set one setting; an empty VALUE inherits it again", operatorFlags, changeFlags)
	set.AddPositionalValue(&args.path, "PATH", 1, true, "node to change")
	set.AddPositionalValue(&args.setting, "SETTING", 2, true, "name of the setting")
	set.AddPositionalValue(&args.value, "VALUE", 3, false, "new value")
	edit := define("edit", "make the tree equal to a file, in one change", operatorFlags, changeFlags)
	edit.AddPositionalValue(&args.file, "FILE", 1, true, "settings file (YAML)")
	diff := define("diff", "show what edit would change", operatorFlags)
	diff.AddPositionalValue(&args.file, "FILE", 1, true, "settings file (YAML)")
	history := define("history", "show the newest accepted changes", operatorFlags)
	validate := define("validate", "check a settings file without a running system")
	validate.AddPositionalValue(&args.file, "FILE", 1, true, "settings file (YAML)")
	return []command{
		{get, withOperator(func(o *operator.Command, a *arguments) error { return o.Get(a.path, a.effective) })},
		{set, withOperator(func(o *operator.Command, a *arguments) error { return o.Set(a.path, a.setting, a.value, a.change) })},
		{edit, withOperator(func(o *operator.Command, a *arguments) error { return o.Edit(a.file, a.change) })},
		{diff, withOperator(func(o *operator.Command, a *arguments) error { return o.Diff(a.file) })},
		{history, withOperator(func(o *operator.Command, _ *arguments) error { return o.History() })},
		{validate, validateTree},
	}
}

func validateTree(args *arguments) error {
	tree, err := operator.ReadTree(args.file)
	if err != nil {
		return err
	}
	fmt.Printf("%s is valid: %d nodes, zones %v, services %v, %d tenants\n", args.file, len(tree.Nodes), tree.Zones(), tree.Services(), len(tree.Tenants()))
	return nil
}

// loadNode reads the process's settings file and applies the flags that override it.
func loadNode(args *arguments) (*node.File, error) {
	file, err := node.Load(args.file)
	if err != nil {
		return nil, err
	}
	override := func(target *string, value string) {
		if value != "" {
			*target = value
		}
	}
	override(&file.DataDir, args.data)
	override(&file.Zone, args.zone)
	override(&file.LogLevel, args.logLevel)
	if file.Router != nil {
		override(&file.Router.Listen, args.listen)
	} else {
		override(&file.Control.InternalAddress, args.listen)
	}
	return file, nil
}

func runRouter(args *arguments) error {
	file, err := loadNode(args)
	if err != nil {
		return err
	}
	node.LimitMemory(file.MemoryMB)
	if file.Router == nil {
		return eris.Errorf("%s has no router section", args.file)
	}
	log, err := node.NewLogger(file.LogLevel, file.Name)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	ctx, stop := node.StopSignal()
	defer stop()
	server, err := router.NewServer(ctx, file, log.Logger)
	if err != nil {
		return err
	}
	return server.Run(ctx)
}

func runControl(args *arguments) error {
	file, err := loadNode(args)
	if err != nil {
		return err
	}
	node.LimitMemory(file.MemoryMB)
	if file.Control == nil {
		return eris.Errorf("%s has no control section", args.file)
	}
	log, err := node.NewLogger(file.LogLevel, file.Name)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	ctx, stop := node.StopSignal()
	defer stop()
	server, err := control.NewServer(ctx, file, log.Logger)
	if err != nil {
		return err
	}
	return server.Run(ctx)
}
