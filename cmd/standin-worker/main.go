// Command standin-worker runs a stand-in for a backend server, for tests and trials.
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

// flags are the command-line flags. Each can also be set by an environment variable such
// as OLEANDER_MILLI_CPU.
type flags struct {
	Worker        string        `help:"Name of the worker." required:""`
	Listen        string        `help:"TCP address to serve on." default:"127.0.0.1:0"`
	URL           string        `help:"Base URL to announce; by default that of the listener."`
	Entry         []string      `help:"Base URLs of entry VMs."`
	Pool          string        `help:"Name of the pool that the worker belongs to." required:""`
	Rack          string        `help:"Rack of the worker."`
	FailureDomain string        `help:"Failure domain of the worker."`
	Region        string        `help:"Region of the worker."`
	MilliCPU      int64         `name:"milli-cpu" help:"CPU capacity in thousandths of a core." default:"32000"`
	MemoryMB      int64         `name:"memory-mb" help:"Memory in MB." default:"65536"`
	Accelerators  int64         `help:"Number of accelerators."`
	Slots         int           `help:"Maximum number of concurrent tasks." default:"8"`
	Connections   int           `help:"Maximum number of concurrent connections." default:"64"`
	Journal       string        `help:"Path of the journal file." required:""`
	Memory        bool          `help:"Read the journal at start." default:"true" negatable:""`
	Run           time.Duration `help:"Run time of a task whose body specifies none." default:"20ms"`
	LeaveTimeout  time.Duration `help:"Maximum time to finish tasks after SIGTERM." default:"30s"`
	Slow          time.Duration `help:"Fault: time added to the run time of each task."`
	FailAll       bool          `help:"Fault: fail each task."`
	Freeze        bool          `help:"Fault: do not answer any call."`
	DropAnswers   bool          `help:"Fault: do the work, then close the connection without an answer."`
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
		log.Error("standin-worker failed", zap.Error(err))
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT. It then leaves the cluster within LeaveTimeout.
func run(f flags, log *zap.Logger) error {
	signalCtx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	w, err := standin.Start(f.config(log))
	if err != nil {
		return err
	}
	<-signalCtx.Done()
	stop() // lets a second signal end the process immediately
	log.Info("leaving", zap.String("worker", f.Worker))
	ctx, cancel := context.WithTimeout(context.Background(), f.LeaveTimeout)
	defer cancel()
	return w.Leave(ctx)
}
