// Command standin-worker runs a stand-in for a backend server.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/standin"
	"go.uber.org/zap"
)

// flags are also read from environment variables such as OLEANDER_MILLI_CPU.
type flags struct {
	Worker        string        `help:"Name of the worker." required:""`
	Listen        string        `help:"TCP address to serve on." default:"127.0.0.1:0"`
	URL           string        `help:"Base URL to announce; from the listener by default."`
	Entry         []string      `help:"Base URLs of entry VMs."`
	Pool          string        `help:"Name of the pool served." required:""`
	Rack          string        `help:"Rack."`
	FailureDomain string        `help:"Failure domain."`
	Region        string        `help:"Region."`
	MilliCPU      int64         `name:"milli-cpu" help:"Processors in thousandths." default:"32000"`
	MemoryMB      int64         `name:"memory-mb" help:"Memory in MB." default:"65536"`
	Accelerators  int64         `help:"Number of accelerators."`
	Slots         int           `help:"Tasks at once." default:"8"`
	Connections   int           `help:"Connections at once." default:"64"`
	Journal       string        `help:"Path of the journal." required:""`
	Memory        bool          `help:"Read the journal at start." default:"true" negatable:""`
	Run           time.Duration `help:"Run time of a task whose body gives none." default:"20ms"`
	LeaveTimeout  time.Duration `help:"Longest time to finish tasks after SIGTERM." default:"30s"`
	Slow          time.Duration `help:"Fault: added to each run time."`
	FailAll       bool          `help:"Fault: fail each task."`
	Freeze        bool          `help:"Fault: answer nothing."`
	DropAnswers   bool          `help:"Fault: do the work and close the connection."`
	Refuse        bool          `help:"Fault: refuse each dispatch."`
}

func (f flags) config(log *zap.Logger) standin.Config {
	return standin.Config{
		Worker: f.Worker, Pool: f.Pool, Rack: f.Rack, FailureDomain: f.FailureDomain, Region: f.Region,
		Capacity: api.Resources{MilliCPU: f.MilliCPU, MemoryMB: f.MemoryMB, Accelerators: f.Accelerators},
		Slots:    f.Slots, Connections: f.Connections,
		Listen: f.Listen, URL: f.URL, Entries: f.Entry,
		Journal: f.Journal, ReplayJournal: f.Memory, DefaultRunTime: f.Run, Log: log,
		Faults: standin.Faults{SlowMillis: api.Millis(f.Slow), FailAll: f.FailAll, Freeze: f.Freeze,
			DropAnswers: f.DropAnswers, Refuse: f.Refuse},
	}
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("standin-worker"), kong.DefaultEnvars("OLEANDER"))
	log, err := zap.NewProduction()
	if err != nil {
		panic(err)
	}
	if err := run(f, log); err != nil {
		log.Error("standin-worker", zap.Error(err))
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT and then leaves.
func run(f flags, log *zap.Logger) error {
	stop, done := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer done()
	w, err := standin.Start(f.config(log))
	if err != nil {
		return err
	}
	<-stop.Done()
	done() // a second signal ends the process at once
	log.Info("leaving", zap.String("worker", f.Worker))
	ctx, cancel := context.WithTimeout(context.Background(), f.LeaveTimeout)
	defer cancel()
	return w.Leave(ctx)
}
