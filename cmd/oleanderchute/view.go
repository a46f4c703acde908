package main

import (
	"context"

	"github.com/oleanderchute/oleanderchute/client"
	"github.com/oleanderchute/oleanderchute/control"
)

// view fetches a list and prints it as JSON or as a table.
func view[T any](a *app, fetch func(*client.Client, context.Context) (T, error), header []string, rows func(T) [][]string) error {
	value, err := fetchOne(a, fetch)
	if err != nil {
		return err
	}
	return a.print(value, func() { a.table(header, rows(value)) })
}

func fetchOne[T any](a *app, fetch func(*client.Client, context.Context) (T, error)) (T, error) {
	c, err := a.client()
	if err != nil {
		var none T
		return none, err
	}
	defer c.Close()
	return fetch(c, a.ctx)
}

// pick returns the entries of one name, or all for an empty name. An unknown name gives
// an error that says what to type.
func pick[T any](list []T, name, what, command string, nameOf func(T) string) ([]T, error) {
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
	if near := control.Nearest(name, names); near != "" {
		return nil, failf("no %s %q; type \"oleanderchute %s %s\"", what, name, command, near)
	}
	return nil, failf("no %s %q; \"oleanderchute %ss\" lists those that exist", what, name, what)
}
