// Command review runs one of the cases in review/: it starts the project's programs as separate processes
// against small stand-ins of the platform, and judges by what clients, runners and the operator have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// verdict is the exit status of a case.
type verdict int

const (
	held      verdict = 0
	broken    verdict = 1
	couldntGo verdict = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review CASE REPOSITORY RECORD")
		os.Exit(int(couldntGo))
	}
	cases := map[string]func(*record, *deployment, bool) (verdict, string){
		"cut-at-exit": cutAtExit, "wrong-kind": wrongKind, "false-failure": falseFailure, "stale-handover": staleHandover,
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(int(couldntGo))
	}
	root, err := filepath.Abs(os.Args[2])
	must(err)
	os.Exit(int(play(run, root, os.Args[3], os.Getenv("TROUBLE") != "0")))
}

func play(run func(*record, *deployment, bool) (verdict, string), root, path string, trouble bool) (v verdict) {
	rec := newRecord(path)
	defer rec.close()
	d := newDeployment(rec, root)
	defer d.close()
	defer func() {
		if x := recover(); x != nil {
			rec.add("the case couldn't run: %v", x)
			fmt.Println("couldn't run:", x)
			v = couldntGo
		}
	}()
	v, why := run(rec, d, trouble)
	rec.add("verdict %d: %s", v, why)
	fmt.Println(why)
	return v
}
