// Command caserun plays the cases of the second review. It starts gateways as separate
// processes and plays the platform's store, the servers and the clients itself.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken means that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// caseFunc plays one case. It returns errBroken if the rule was broken.
type caseFunc func(e *env) error

// maxTime bounds the time of a case.
const maxTime = 110 * time.Second

func main() {
	gateway := flag.String("gateway", "target/filbertgap", "path of the gateway program")
	record := flag.String("record", "record.txt", "path of the record to write")
	flag.Parse()
	run, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", flag.Arg(0))
		os.Exit(exitNotRun)
	}
	os.Exit(play(run, *gateway, *record))
}

// play runs a case and returns its exit code.
func play(run caseFunc, gateway, recordPath string) int {
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "caserun-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	program, err := filepath.Abs(gateway)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	e := &env{record: r, dir: dir, program: program, trouble: os.Getenv("TROUBLE") != "0"}
	r.add("case begins, trouble %v", e.trouble)
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- run(e) }()
	select {
	case err = <-done:
	case s := <-interrupts:
		err = fmt.Errorf("the case got signal %v", s)
	case <-time.After(maxTime):
		err = errors.New("the case took too long")
	}
	e.stop()
	code := exitHeld
	switch {
	case errors.Is(err, errBroken):
		code = exitBroken
	case err != nil:
		code = exitNotRun
	}
	r.add("case ends: %v, exit code %d", err, code)
	fmt.Printf("exit code %d: %v\n", code, err)
	if err := errors.Join(r.close(), os.RemoveAll(dir)); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return code
}
