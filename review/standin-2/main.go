// Program standin-2 plays the platform, the workers and the requesters around the
// project's own processes, for the scripts of this review.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// record is the file in which everything that was seen is written.
var record struct {
	sync.Mutex
	file    *os.File
	started time.Time
}

// note writes a line into the record.
func note(who, format string, values ...any) {
	record.Lock()
	defer record.Unlock()
	_, _ = fmt.Fprintf(record.file, "%8.3f s  %-7s %s\n", time.Since(record.started).Seconds(), who, fmt.Sprintf(format, values...))
}

// world is everything around the system.
type world struct {
	store   *store
	fleet   *fleet
	adviser *adviser
	nodes   []*node
	clients *clients
	// trouble is set if the disruption is to be played.
	trouble bool
	ctx     context.Context
}

const (
	nodeCount     = 7
	workerCount   = 48
	startTimeout  = 20 * time.Second
	deployFile    = "deploy/system.toml"
	settleTime    = 2 * time.Second
	processGrace  = 200 * time.Millisecond
	scriptTimeout = 115 * time.Second
)

// workerRoom is the room of a worker of the site kivi-daisylug.
var workerRoom = room{CPU: 64000, Mem: 131072, GPU: 8}

// command returns the words of the command that the deploy file gives.
func command() ([]string, error) {
	f, err := os.Open(deployFile)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	for s := bufio.NewScanner(f); s.Scan(); {
		if name, value, ok := strings.Cut(s.Text(), "="); ok && strings.TrimSpace(name) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, fmt.Errorf("%s gives no command", deployFile)
}

// build starts the platform, the workers and the system, and waits until all
// machines are ready.
func build(ctx context.Context, dir string, trouble bool) (*world, error) {
	words, err := command()
	if err != nil {
		return nil, err
	}
	w := &world{store: newStore(), trouble: trouble, ctx: ctx}
	w.store.put("op", "config", config(60))
	if w.adviser, err = newAdviser(usualTiming); err != nil {
		return nil, err
	}
	if w.nodes, err = newNodes(w.store, w.adviser.address, dir, nodeCount); err != nil {
		return nil, err
	}
	w.clients = newClients(w.nodes)
	w.fleet = newFleet(w.store, service, w.clients.step)
	w.fleet.adviser = w.adviser
	for i := range workerCount {
		if _, err := w.fleet.add(i, zones[i*len(zones)/workerCount], workerRoom); err != nil {
			return nil, err
		}
	}
	go w.fleet.simulate(ctx)
	for _, n := range w.nodes {
		if err := n.start(words); err != nil {
			return w, err
		}
	}
	deadline := time.Now().Add(startTimeout)
	for _, n := range w.nodes {
		for !n.ready() {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return w, fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(settleTime)
	note("script", "%d machines are ready, %d workers are up, trouble: %v", len(w.nodes), workerCount, trouble)
	return w, nil
}

// end ends all processes.
func (w *world) end() {
	if w == nil {
		return
	}
	for _, n := range w.nodes {
		n.end()
	}
}

// cases are the scripts by name. Each returns whether the rule was broken.
var cases = map[string]func(*world) (bool, error){
	"oversized": oversized,
	"starved":   starved,
	"lasting":   lasting,
	"pending":   pending,
	"quoted":    quoted,
	"failover":  failover,
	"timed":     timed,
	"advised":   advised,
	"renamed":   renamed,
}

func play(name, dir string) (broken bool, err error) {
	f := cases[name]
	if f == nil {
		return false, fmt.Errorf("no case %q", name)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, scriptTimeout)
	defer cancel()
	w, err := build(ctx, dir, os.Getenv("TROUBLE") != "0")
	defer w.end()
	if err != nil {
		return false, err
	}
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-ended:
		case <-ctx.Done():
			// The time is over, or the script was told to end.
			w.end()
			note("script", "could not run: %v", ctx.Err())
			os.Exit(exitFailed)
		}
	}()
	return f(w)
}

// main takes the name of a case and the folder of its record.
func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		os.Exit(exitFailed)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	record.file, record.started = file, time.Now()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	broken, err := play(os.Args[1], dir)
	code := exitHeld
	switch {
	case err != nil:
		note("script", "could not run: %v", err)
		code = exitFailed
	case broken:
		note("script", "the rule was broken")
		code = exitBroken
	default:
		note("script", "the rule held")
	}
	if os.Getenv("KEEP_LOGS") == "" {
		err = errors.Join(err, os.RemoveAll(dir))
	} else {
		fmt.Fprintln(os.Stderr, "logs are in", dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
