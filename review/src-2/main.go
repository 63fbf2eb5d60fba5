// Command review-2 plays the scripted cases of the second review. It starts the project's own programs with
// the commands of the deploy file, on loopback addresses, beside stand-ins of clients, runners and the store.
package main

import (
	"flag"
	"os"
)

// trouble is false with TROUBLE=0: the case is played without its disruption.
var trouble = os.Getenv("TROUBLE") != "0"

func main() {
	name := flag.String("case", "", "the case")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	play := map[string]func(*Record){"cancel": playCancel, "revive": playRevive, "chaos": playChaos, "recover": playRecover, "replaced": playReplaced}[*name]
	if play == nil {
		cannotRun("no case %q", *name)
	}
	rec := newRecord(*record)
	play(rec)
	cleanup()
	os.Exit(rec.finish())
}
