// Package live measures the policy with real hosts and stand-ins on loopback:
// open-loop HTTP callers, complete entry hosts, and stand-in upstreams that speak
// the real protocols. Everything runs in one process on the real clock.
package live
