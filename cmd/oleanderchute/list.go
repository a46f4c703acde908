package main

import (
	"context"

	"github.com/oleanderchute/oleanderchute/client"
	"github.com/oleanderchute/oleanderchute/control"
)

// printList fetches a list and prints it as JSON or as a table.
func printList[T any](a *app, call func(*client.Client, context.Context) (T, error), header []string, rows func(T) [][]string) error {
	value, err := callCluster(a, call)
	if err != nil {
		return err
	}
	return a.print(value, func() { a.printTable(header, rows(value)) })
}

// callCluster makes one call with a client that it closes afterwards.
func callCluster[T any](a *app, call func(*client.Client, context.Context) (T, error)) (T, error) {
	c, err := a.client()
	if err != nil {
		var zero T
		return zero, err
	}
	defer c.Close()
	return call(c, a.ctx)
}

// selectByName returns the entry with the name, or all entries if the name is empty. For an
// unknown name it returns an error that says what to type.
func selectByName[T any](list []T, name, what, command string, nameOf func(T) string) ([]T, error) {
	if name == "" {
		return list, nil
	}
	var names []string
	for _, v := range list {
		if nameOf(v) == name {
			return []T{v}, nil
		}
		names = append(names, nameOf(v))
	}
	if nearest := control.Nearest(name, names); nearest != "" {
		return nil, failureErrorf("no %s %q; type \"oleanderchute %s %s\"", what, name, command, nearest)
	}
	return nil, failureErrorf("no %s %q; \"oleanderchute %ss\" lists those that exist", what, name, what)
}
