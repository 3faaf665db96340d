// Package experiment measures the policy by simulation. Requests arrive in an
// open loop drawn from a seed, each host is a dispatch.Runtime, and small
// in-process upstreams batch, queue, cache prefixes, report their load with a delay
// and fail. A grid of many cells runs concurrently, in real time or on a virtual
// clock.
package experiment
