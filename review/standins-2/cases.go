package main

// cases are the cases by name.
var cases = map[string]caseFunc{
	"pipelined-stop":  pipelinedStop,
	"watch-too-large": watchTooLarge,
}
