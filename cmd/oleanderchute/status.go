package main

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/client"
)

// StatusCmd shows the cluster.
type StatusCmd struct{}

// Help shows an example.
func (StatusCmd) Help() string { return "Example: oleanderchute status" }

// Run shows the VMs and partitions.
func (StatusCmd) Run(a *app) error {
	status, err := fetchOne(a, (*client.Client).Status)
	if err != nil {
		return err
	}
	return a.print(status, func() {
		a.table([]string{"VM", "REGION", "DOMAIN", "ROLE", "TABLES", "CONFIG AGE", "SERVES", "REACHABLE"}, vmRows(status.VMs))
		a.linef("")
		a.table([]string{"PARTITION", "LEADER", "EPOCH", "REPLICAS", "WORKERS", "QUEUED", "RUNNING"}, partitionRows(status.Partitions))
	})
}

func vmRows(list []api.VMStatus) (rows [][]string) {
	for _, v := range list {
		rows = append(rows, []string{v.VM, v.Region, v.FailureDomain, v.Role, strconv.FormatUint(v.TablesVersion, 10),
			fmt.Sprintf("%d ms", v.ConfigAgeMillis), yesNo(v.MayServe), yesNo(v.Reachable)})
	}
	return rows
}

func partitionRows(list []api.PartitionStatus) (rows [][]string) {
	for _, p := range list {
		rows = append(rows, []string{p.Partition, p.Leader, strconv.FormatUint(p.Epoch, 10), strings.Join(p.Replicas, ", "),
			strconv.Itoa(p.Workers), strconv.Itoa(p.Queued), strconv.Itoa(p.Running)})
	}
	return rows
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
