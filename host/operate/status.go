package operate

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"pollensail.dev/decision/model"
	"pollensail.dev/host/telemetry"
)

const (
	// statusTimeout is the timeout of the status request to one host.
	statusTimeout = 3 * time.Second
	// maxStatusRequests bounds the concurrent status requests.
	maxStatusRequests = 32
	// maxStatusBytes bounds the response body of one host.
	maxStatusBytes = 16 << 20
	// versionPollInterval is the time between two polls by WaitForVersion.
	versionPollInterval = 200 * time.Millisecond
)

// HostStatus is the status of one listed entry host, or the error that kept it
// from being fetched.
type HostStatus struct {
	ID              string
	OperatorAddress string // address of its operator port, as "ip:port"
	Leaving         bool   // the host list has it as leaving
	// Error says why the status could not be fetched. If it is empty, Status is
	// valid.
	Error  string
	Status telemetry.Status
}

// HostStatuses requests the status of each listed entry host. A host that does
// not respond is included with its error. The result is sorted by host id.
func (r *Repository) HostStatuses(ctx context.Context) ([]HostStatus, error) {
	entries, err := r.listEntryHosts(ctx)
	if err != nil {
		return nil, err
	}
	statuses := make([]HostStatus, len(entries))
	var group errgroup.Group
	group.SetLimit(maxStatusRequests)
	for i, entry := range entries {
		group.Go(func() error {
			statuses[i] = queryHost(ctx, entry)
			return nil
		})
	}
	return statuses, group.Wait()
}

func (r *Repository) listEntryHosts(ctx context.Context) ([]model.HostEntry, error) {
	var entries []model.HostEntry
	err := r.retry(ctx, func() error {
		var err error
		entries, err = r.store.HostList(ctx)
		return err
	})
	entries = slices.DeleteFunc(slices.Clone(entries), func(e model.HostEntry) bool { return e.Role != model.RoleEntry })
	slices.SortFunc(entries, func(a, b model.HostEntry) int { return strings.Compare(a.ID, b.ID) })
	return entries, err
}

func queryHost(ctx context.Context, entry model.HostEntry) HostStatus {
	host := HostStatus{ID: entry.ID, OperatorAddress: entry.Operator, Leaving: entry.Leaving}
	status, err := fetchStatus(ctx, entry.Operator)
	if err != nil {
		host.Error = err.Error()
		return host
	}
	host.Status = status
	return host
}

func fetchStatus(ctx context.Context, address string) (telemetry.Status, error) {
	var status telemetry.Status
	if address == "" {
		return status, fmt.Errorf("the host list has no operator address for this host")
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return status, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return status, fmt.Errorf("GET /status returned %s", response.Status)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&status)
	return status, err
}

// WaitForVersion polls all listed entry hosts until each has the version, or a
// newer one, in force, or until ctx ends. It returns the last statuses and
// whether all hosts have the version. Hosts listed as leaving are not waited
// for.
func (r *Repository) WaitForVersion(ctx context.Context, version uint64) ([]HostStatus, bool, error) {
	var last []HostStatus
	for {
		statuses, err := r.HostStatuses(ctx)
		if ctx.Err() != nil && last != nil {
			return last, false, nil // ctx ended during this poll, so it is incomplete
		}
		if err != nil {
			return nil, false, err
		}
		last = statuses
		if allInForce(statuses, version) {
			return statuses, true, nil
		}
		if r.wait(ctx, versionPollInterval) != nil {
			return statuses, false, nil
		}
	}
}

func allInForce(statuses []HostStatus, version uint64) bool {
	for _, s := range statuses {
		if !s.Leaving && (s.Error != "" || s.Status.Version < version) {
			return false
		}
	}
	return true
}
