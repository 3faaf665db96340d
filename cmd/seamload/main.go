// Command seamload measures variants of the scheduling policy over a grid of
// deployments, loads and faults, and writes tables and plots.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"strconv"
	"strings"

	"github.com/galenaseam/galenaseam/experiment"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// maxProcs bounds the number of processors that the measurements use.
const maxProcs = 3

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	runtime.GOMAXPROCS(maxProcs)
	if err := newCommand().ParseAndRun(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "seamload:", err)
		os.Exit(1)
	}
}

// options holds the flags. deployments, faults and variants are comma-separated
// names that restrict the grid; loads is a comma-separated list that replaces the
// grid's loads. An empty list changes nothing.
type options struct {
	deployments, faults, variants, loads string
	out                                  string
	real                                 bool
	live                                 string
}

// newCommand returns the seamload command with its flags.
func newCommand() *ffcli.Command {
	grid := experiment.DefaultGrid()
	var o options
	fs := flag.NewFlagSet("seamload", flag.ContinueOnError)
	fs.StringVar(&o.deployments, "deployments", "", "only these, separated by commas")
	fs.StringVar(&o.faults, "faults", "", "only these, separated by commas")
	fs.StringVar(&o.variants, "variants", "", "only these, separated by commas")
	fs.StringVar(&o.loads, "loads", "", "loads in shares of capacity, separated by commas")
	fs.StringVar(&o.out, "out", "", "directory for the tables and plots; without it only lines are printed")
	fs.BoolVar(&o.real, "real", false, "run on the real clock, not on a virtual one")
	fs.StringVar(&o.live, "live", "", "measure real hosts and stand-ins on loopback: cylinder or yardline")
	fs.Uint64Var(&grid.Seed, "seed", grid.Seed, "seed of the arrivals and of the policy")
	fs.DurationVar(&grid.Warmup, "warmup", grid.Warmup, "time before measuring")
	fs.DurationVar(&grid.Measure, "measure", grid.Measure, "time of measuring")
	fs.IntVar(&grid.Parallel, "parallel", grid.Parallel, "cells that run side by side")
	return &ffcli.Command{
		Name:       "seamload",
		ShortUsage: "seamload [flags]",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			if err := o.restrict(&grid); err != nil {
				return err
			}
			if o.live != "" {
				return runLive(ctx, &grid, &o)
			}
			return run(ctx, &grid, &o)
		},
	}
}

// restrict reduces the grid to the selected names and sets its loads. The
// deployment of experiment.Regions is not part of the default grid, but can be
// selected by name.
func (o *options) restrict(g *experiment.Grid) error {
	if o.deployments != "" {
		g.Deployments = append(g.Deployments, experiment.Regions())
	}
	g.Deployments = filterByName(g.Deployments, o.deployments, func(d experiment.Deployment) string { return d.Name })
	g.Faults = filterByName(g.Faults, o.faults, func(f experiment.Fault) string { return string(f) })
	g.Variants = filterByName(g.Variants, o.variants, func(v experiment.Variant) string { return v.Name })
	g.Ablations = filterByName(g.Ablations, o.variants, func(v experiment.Variant) string { return v.Name })
	if o.loads == "" {
		return nil
	}
	g.Loads = nil
	for _, text := range strings.Split(o.loads, ",") {
		load, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return err
		}
		g.Loads = append(g.Loads, load)
	}
	g.AblationLoads = g.Loads
	return nil
}

// filterByName returns the values whose name is in a comma-separated list, or all
// values if the list is empty.
func filterByName[T any](all []T, names string, name func(T) string) []T {
	if names == "" {
		return all
	}
	wanted := strings.Split(names, ",")
	var kept []T
	for _, v := range all {
		for _, w := range wanted {
			if name(v) == w {
				kept = append(kept, v)
			}
		}
	}
	return kept
}

// run measures the grid and prints a line per cell. If o.out is set, it writes the
// tables and plots there.
func run(ctx context.Context, g *experiment.Grid, o *options) error {
	printResult := func(r *experiment.Result) {
		c := r.Cell
		fmt.Printf("%-9s %.2f %-22s %-18s all %.3f", c.Deployment, c.Load, c.Fault, c.Variant.Name, r.Attainment())
		for _, class := range []string{"lookup", "order", "draft", "summary"} {
			if cr := r.Classes[class]; cr != nil {
				fmt.Printf(" %s %.3f(e%d l%d p50 %.3f p99 %.3f)",
					class, cr.Attainment(), cr.RefusedEarly, cr.Missed, cr.P50.Seconds(), cr.P99.Seconds())
			}
		}
		fmt.Printf(" good %.3f waste %.3f fair %.3f money %.3f hits %.3f rec %.1f\n",
			r.Goodput, r.Wasted, r.Fairness, r.Money(), r.CacheHits(), r.Recovery.Seconds())
	}
	writeResults := func(results []*experiment.Result) error {
		if o.out == "" {
			return nil
		}
		return experiment.Write(o.out, g, results)
	}
	if !o.real {
		return g.MainVirtual(printResult, writeResults)
	}
	results, err := g.Run(ctx, printResult)
	if err != nil {
		return err
	}
	return writeResults(results)
}
