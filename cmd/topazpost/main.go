// Command topazpost runs one node of a fleet, checks its files, and inspects and operates running fleets.
package main

import (
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

func main() {
	var commands struct {
		Serve   serveCommand    `cmd:"" help:"Serve as one node: SIGTERM drains, a second one aborts what is in hand, a third one stops, SIGHUP reads the configuration anew."`
		Seat    replicaCommand  `cmd:"" help:"Serve nothing: be a member of a fleet with a seat in its council. SIGTERM leaves at once."`
		Check   checkCommand    `cmd:"" help:"Read a configuration and say what is wrong with it, or what would start."`
		Plan    planCommands    `cmd:"" help:"Look at plans of levels of reduced service."`
		Levels  levelsCommands  `cmd:"" help:"Look at what levels nodes were at."`
		Results resultsCommands `cmd:"" help:"Look at results of tokened invocations that a stopped node has kept, and settle them."`
		Store   storeCommands   `cmd:"" help:"Look at the files that results are kept in."`
		Members membersCommands `cmd:"" help:"Look at whom nodes have in their view of the fleet."`
		Claims  claimsCommands  `cmd:"" help:"Look at claims of tokens that a fleet's council agrees on."`
		Config  configCommands  `cmd:"" help:"Put, look at and take back versions of the configuration that a fleet takes in service."`
		Quota   quotaCommands   `cmd:"" help:"Look at limits that hold for the whole fleet."`
		Version versionCommand  `cmd:"" help:"Say what was built."`
	}
	signal.Notify(reloadSignals, syscall.SIGHUP) // before all else: its default action ends the process
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	run := kong.Parse(&commands, kong.Name("topazpost"),
		kong.Description("Decides, inside one server of a fleet, what it takes, runs and turns away."))
	run.FatalIfErrorf(run.Run())
}
