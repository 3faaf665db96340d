package gateway

// bindVersion binds the stream to the software version of the upstream that sends
// its first event. It returns false if another version began the stream: then the
// caller must get none of the upstream's events.
func (r *relay) bindVersion(s *upstreamAttempt) bool {
	if r.version == "" {
		r.version = s.chosen.Version
	}
	return s.chosen.HasVersion(r.version)
}
