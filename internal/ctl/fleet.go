package ctl

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"
	"golang.org/x/sync/semaphore"

	adminv1 "github.com/cowslipward/cowslipward/gen/cowslipward/admin/v1"
	"github.com/cowslipward/cowslipward/gen/cowslipward/admin/v1/adminv1connect"
)

const (
	defaultAdmin   = "127.0.0.1:7402"
	defaultTimeout = 2 * time.Second
	// maxConcurrentCalls is the maximum number of concurrent calls to the processes of a fleet.
	maxConcurrentCalls = 64
)

// fleetClient calls the admin API of processes. Its HTTP client is set by check.
type fleetClient struct {
	addresses []string
	timeout   time.Duration
	client    *http.Client
}

func (f *fleetClient) addFlags(command *cobra.Command) {
	command.Flags().StringSliceVar(&f.addresses, "admin", []string{defaultAdmin},
		"admin addresses of processes, IP:PORT; tried in order until one answers")
	command.Flags().DurationVar(&f.timeout, "timeout", defaultTimeout, "maximum wait for the response of one process")
}

func (f *fleetClient) check() error {
	for _, address := range f.addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return usageError("--admin: found %q, want IP:PORT", address)
		}
	}
	if f.timeout <= 0 {
		return usageError("--timeout: found %s, want more than 0s", f.timeout)
	}
	f.client = &http.Client{Timeout: f.timeout}
	return nil
}

func (f *fleetClient) clientFor(address string) adminv1connect.AdminServiceClient {
	return adminv1connect.NewAdminServiceClient(f.client, "http://"+address)
}

// callFirst calls the processes of --admin in order and returns the first response. A process that rejects the request
// as invalid or not found ends the search with a usage error.
func callFirst[T any](ctx context.Context, f *fleetClient, call func(context.Context, adminv1connect.AdminServiceClient) (T, error)) (T, error) {
	var zero T
	var errs []error
	for _, address := range f.addresses {
		response, err := call(ctx, f.clientFor(address))
		if err == nil {
			return response, nil
		}
		switch connect.CodeOf(err) {
		case connect.CodeInvalidArgument, connect.CodeNotFound:
			return zero, &exitError{code: ExitUsage, err: err}
		}
		errs = append(errs, fmt.Errorf("%s: %w", address, err))
	}
	return zero, fmt.Errorf("no process answered: %w", errors.Join(errs...))
}

// member is a process of the fleet.
type member struct {
	VM    string `json:"vm"`
	Admin string `json:"admin"`
}

// members returns all processes that the first reachable process lists.
func (f *fleetClient) members(ctx context.Context) ([]member, error) {
	response, err := callFirst(ctx, f, func(ctx context.Context, c adminv1connect.AdminServiceClient) (*adminv1.TargetsResponse, error) {
		return unwrap(c.Targets(ctx, connect.NewRequest(&adminv1.TargetsRequest{})))
	})
	if err != nil {
		return nil, err
	}
	var all []member
	for _, balancer := range response.GetBalancers() {
		all = append(all, member{VM: balancer.GetVm(), Admin: balancer.GetAdmin()})
	}
	for _, target := range response.GetTargets() {
		all = append(all, member{VM: target.GetVm(), Admin: target.GetAdmin()})
	}
	return all, nil
}

// unwrap returns the message of a response.
func unwrap[T any](response *connect.Response[T], err error) (*T, error) {
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// fleetResponses holds the responses of a fleet in the order of the members, and the sorted VM names of the members
// that did not answer.
type fleetResponses[T any] struct {
	responses   []T
	unreachable []string
}

// callAll calls all members concurrently, at most maxConcurrentCalls at a time.
func callAll[T any](ctx context.Context, f *fleetClient, members []member, call func(context.Context, adminv1connect.AdminServiceClient) (T, error)) fleetResponses[T] {
	responses := make([]*T, len(members))
	limit := semaphore.NewWeighted(maxConcurrentCalls)
	var wg sync.WaitGroup
	for i, process := range members {
		if err := limit.Acquire(ctx, 1); err != nil {
			break
		}
		wg.Go(func() {
			defer limit.Release(1)
			if response, err := call(ctx, f.clientFor(process.Admin)); err == nil {
				responses[i] = &response
			}
		})
	}
	wg.Wait()
	var result fleetResponses[T]
	for i, response := range responses {
		if response == nil {
			result.unreachable = append(result.unreachable, members[i].VM)
			continue
		}
		result.responses = append(result.responses, *response)
	}
	slices.Sort(result.unreachable)
	return result
}
