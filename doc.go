// Package galenaseam is the library form of the serving system: it builds an
// entry host from its settings, runs it, and drains it. The programs under cmd
// only parse flags and call this package.
package galenaseam
