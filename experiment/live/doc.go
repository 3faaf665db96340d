// Package live measures the policy over real hosts and stand-ins on loopback:
// open-loop HTTP callers, whole entry hosts, and upstreams that speak the
// usual protocols, all in one process on the real clock.
package live
