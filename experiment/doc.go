// Package experiment measures the policy: open-loop arrivals from a seed, a
// dispatch.Runtime for each host, and small in-process upstreams that batch,
// queue, cache prefixes, report their load late and fail. Many cells of a
// grid run side by side in real time.
package experiment
