// Command standin runs the cases of the review: it starts stand-ins for the platform's
// store, servers and clients, and the gateways as processes of their own.
package main

import (
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// trouble reports whether the disruption takes place.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(notRun)
	}
	cases := map[string]func(*record) (int, error){"two-servers": twoServers.run, "four-servers": fourServers.run}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(notRun)
	}
	r := &record{start: time.Now()}
	code, err := run(r)
	if err != nil {
		r.add("the case could not run: %v", err)
		code = notRun
	}
	fmt.Println(r.lines[len(r.lines)-1])
	if err := r.save(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = notRun
	}
	os.Exit(code)
}
