package call

// Notice is what an upstream says about itself in an answer, whichever call it
// answers.
type Notice struct {
	// Leaving means that the process must get no new work.
	Leaving bool
	// WrongUpstream means that the notice is of another process than the one that
	// the call was meant for.
	WrongUpstream bool
}
