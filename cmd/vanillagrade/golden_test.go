package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"regexp"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain lets the sessions run the real commands: each command is this test binary
// under another name.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"vanillagrade": main, "normal": normal})
}

// TestGolden runs whole sessions of real processes on loopback and compares their output
// with the session's file. Set UPDATE_GOLDEN to rewrite the files, and review the
// difference before committing it.
func TestGolden(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		Setup:               func(env *testscript.Env) error { env.Values[sessionFleetKey{}] = newSessionFleet(); return nil },
		Cmds:                sessionCommands,
		UpdateScripts:       os.Getenv("UPDATE_GOLDEN") != "",
		RequireExplicitExec: true,
	})
}

// normalForms replaces text that differs from run to run.
var normalForms = []struct {
	pattern *regexp.Regexp
	form    string
}{
	{regexp.MustCompile(`\b[0-9A-HJKMNP-TV-Z]{26}\b`), "ULID"},
	{regexp.MustCompile(`\b\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z`), "TIME"},
	{regexp.MustCompile(`\b\d\d:\d\d:\d\d\.\d{3}\b`), "TIME"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`"(ran_ms|retry_after_ms)":[\d.]+`), `"$1":N`},
	{regexp.MustCompile(`(\+|after |wait of |over |since |silent for )(\d+h)?(\d+m)?\d+(\.\d+)?(ns|µs|ms|s)\b`), "${1}DURATION"},
	{regexp.MustCompile(`DURATION +`), "DURATION "},
	{regexp.MustCompile(` over DURATION`), ""},
	{regexp.MustCompile(`"target":"[\w-]+"`), `"target":"ONE"`},
	{regexp.MustCompile(`version \S+,`), "version V,"},
	{regexp.MustCompile(`digest [0-9a-f]+`), "digest D"},
	{regexp.MustCompile(`"digest":"[0-9a-f]+"`), `"digest":"D"`},
}

// normal copies standard input to standard output with normalForms applied.
func normal() {
	if err := normalise(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

func normalise(r io.Reader, w io.Writer) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		line := lines.Text()
		for _, f := range normalForms {
			line = f.pattern.ReplaceAllString(line, f.form)
		}
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return lines.Err()
}
