// Command vanillagrade contains all processes of the dispatcher in one binary: the
// entry daemon, the stand-in target, and the commands for operators and callers.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/eventlog"
)

// Exit codes of every subcommand.
const (
	exitOK = 0
	// exitFailed means that the command ran and the outcome is bad: a failed job,
	// a file with errors, an unhealthy fleet.
	exitFailed = 1
	// exitUsage means that a setting is invalid and nothing was done.
	exitUsage = 2
)

// command is one subcommand.
type command interface {
	run(ctx context.Context, stdout, stderr io.Writer) int
}

// arguments lists the subcommands. Each is defined in its own file.
type arguments struct {
	Entry    *entryCmd        `arg:"subcommand:entry" help:"run an entry: the daemon on each entry VM"`
	Platform *platformCmd     `arg:"subcommand:platform" help:"run an entry on the users' platform, configured by its settings file"`
	Target   *targetCmd       `arg:"subcommand:target" help:"run a stand-in target, for trials and tests"`
	Check    *checkCmd        `arg:"subcommand:check" help:"check a declarative file offline"`
	Apply    *applyCmd        `arg:"subcommand:apply" help:"apply a declarative file as a whole"`
	Drain    *drainCmd        `arg:"subcommand:drain" help:"start a planned stop of one entry"`
	Cordon   *cordonCmd       `arg:"subcommand:cordon" help:"start no new work in an availability zone"`
	Uncordon *uncordonCmd     `arg:"subcommand:uncordon" help:"allow new work in an availability zone again"`
	Replace  *replaceVoterCmd `arg:"subcommand:replace-voter" help:"replace a lost voter with an entry that has an empty data folder"`
	Submit   *submitCmd       `arg:"subcommand:submit" help:"send a job and print its answer"`
	Demo     *demoCmd         `arg:"subcommand:demo" help:"run a whole fleet in this process and send one job to it"`
	Status   *statusCmd       `arg:"subcommand:status" help:"print the status of entries and their view of the fleet"`
	Timeline *timelineCmd     `arg:"subcommand:timeline" help:"print the events of all entries in order"`
	Explain  *explainCmd      `arg:"subcommand:explain" help:"explain why a submission ended as it did"`
	Load     *loadCmd         `arg:"subcommand:load" help:"send open-loop load and measure the answers"`
	Capacity *capacityCmd     `arg:"subcommand:capacity" help:"measure how costs grow and compute the size of a fleet"`
	LogLevel string           `arg:"--log-level,env:VANILLAGRADE_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
}

// Description returns the text printed above the usage.
func (arguments) Description() string {
	return "vanillagrade dispatches sub-second tasks: each task starts at most once, each answer is whole or a clear failure."
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := runMain(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// runMain runs one command line and returns its exit code.
func runMain(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "vanillagrade"}, &parsed)
	if err != nil {
		panic(err) // the argument structs are invalid: a programming error
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return exitOK
	case err != nil:
		fmt.Fprintln(stderr, "vanillagrade:", err)
		return exitUsage
	}
	c, ok := parser.Subcommand().(command)
	if !ok {
		parser.WriteHelp(stderr)
		return exitUsage
	}
	if err := setLog(parsed.LogLevel, stderr); err != nil {
		fmt.Fprintln(stderr, "vanillagrade:", err)
		return exitUsage
	}
	return c.run(ctx, stdout, stderr)
}

// setLog makes the process log JSON lines to stderr at the given level.
func setLog(level string, stderr io.Writer) error {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return errors.Annotate(err, "--log-level")
	}
	slog.SetDefault(slog.New(slog.NewJSONHandler(stderr, &slog.HandlerOptions{Level: l})))
	return nil
}

// setLimitedLog makes the process log JSON lines to out, at the level set before. The
// number of lines is limited, and logging never blocks on a slow reader. The caller closes
// the returned writer.
func setLimitedLog(ctx context.Context, out io.Writer) *eventlog.Writer {
	level := slog.LevelError
	for _, l := range []slog.Level{slog.LevelWarn, slog.LevelInfo, slog.LevelDebug} {
		if slog.Default().Enabled(ctx, l) {
			level = l
		}
	}
	lines := eventlog.NewWriter(out)
	slog.SetDefault(slog.New(eventlog.NewLimitHandler(slog.NewJSONHandler(lines, &slog.HandlerOptions{Level: level}))))
	return lines
}

// fail prints err on one line and returns code.
func fail(stderr io.Writer, code int, err error) int {
	fmt.Fprintln(stderr, "vanillagrade:", err)
	return code
}
