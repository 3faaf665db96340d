package config

// verdict is what a host makes of a head that it is shown.
type verdict uint8

const (
	// verdictSame: the host serves this generation.
	verdictSame verdict = iota
	// verdictFollow: a later generation of the same line.
	verdictFollow
	// verdictOlder: an earlier generation; never followed.
	verdictOlder
	// verdictFork: a generation of another line; never followed.
	verdictFork
	// verdictWalk: later, but so much that the head doesn't name the served
	// generation; the chain of records must be walked.
	verdictWalk
)

// String returns the verdict as metrics name it.
func (v verdict) String() string {
	return [...]string{"same", "follow", "older", "fork", "walk"}[v]
}

// judge decides whether a host that serves one head may follow another. Both
// the Syncer and the Writer go by it; spec/config.pml calls it Judge.
func judge(served, shown *head) verdict {
	switch {
	case served.hash() == shown.hash():
		return verdictSame
	case served == nil:
		return verdictFollow
	case shown.generation() < served.generation():
		return verdictOlder
	}
	ancestor, named := shown.recentHash(served.generation())
	switch {
	case !named:
		return verdictWalk
	case ancestor == served.hash():
		return verdictFollow
	}
	return verdictFork
}
