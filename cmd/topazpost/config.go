package main

// configCommands are the commands about the configuration that a fleet applies while it serves.
type configCommands struct {
	Put      configPut      `cmd:"" help:"Put a whole file, or some changes, as a new version; wait until it is in force."`
	Show     configShow     `cmd:"" help:"Print what is in force at a node, or at a seat what is agreed on."`
	Diff     configDiff     `cmd:"" help:"Say where a file differs from what is agreed on."`
	Status   configStatus   `cmd:"" help:"Say how many nodes have which version, who refused one and why."`
	Rollback configRollback `cmd:"" help:"Make a new version of what an older one came to, in force for all at once."`
}
