//go:build soak

package main

import "github.com/galenaseam/galenaseam/internal/soak/cutdial"

// A soak cuts the links of a host to its upstreams.
func init() { dialUpstream = cutdial.Dial }
