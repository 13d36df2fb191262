package operate

import (
	"context"
	"slices"

	"github.com/ansel1/merry/v2"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/model"
	"pollensail.dev/host/store"
)

// ErrEvacuationUnknown reports that the store did not respond to the write of the
// evacuated domains, and that reading them back did not show whether it took effect.
var ErrEvacuationUnknown = merry.Sentinel("no response from the store: the change may or may not have been written, run the command again")

// EvacuationChange is the result of SetEvacuated.
type EvacuationChange struct {
	Domains    []model.DomainID // evacuated afterwards
	WasWritten bool             // false if the domain was in the wanted state already
}

// SetEvacuated begins or ends the evacuation of a failure domain: nothing is sent to
// its servers until the end. To begin, the domain must be known. It may be called
// again after an error.
func (r *Repository) SetEvacuated(ctx context.Context, domain model.DomainID, isEvacuated bool) (EvacuationChange, error) {
	if isEvacuated {
		if err := r.checkDomain(ctx, domain); err != nil {
			return EvacuationChange{}, err
		}
	}
	isAmbiguous := false
	for range maxMergeAttempts {
		record, version, err := r.loadRootRecord(ctx)
		if err != nil && isAmbiguous {
			return EvacuationChange{}, merry.Wrap(ErrEvacuationUnknown, merry.WithCause(err))
		}
		if err != nil {
			return EvacuationChange{}, err
		}
		if slices.Contains(record.Evacuated, domain) == isEvacuated {
			return EvacuationChange{record.Evacuated, isAmbiguous}, nil
		}
		record.Evacuated = withMembership(record.Evacuated, domain, isEvacuated)
		err = r.swapRootRecord(ctx, version, record)
		switch {
		case err == nil:
			return EvacuationChange{record.Evacuated, true}, nil
		case isUnavailable(err):
			isAmbiguous = true
		case !isConflict(err):
			return EvacuationChange{}, err
		}
		if err := r.wait(ctx, initialBackoff); err != nil {
			return EvacuationChange{}, err
		}
	}
	if isAmbiguous {
		return EvacuationChange{}, ErrEvacuationUnknown
	}
	return EvacuationChange{}, merry.Errorf("not written: %d other writes came first, try again", maxMergeAttempts)
}

// checkDomain returns an error unless the tree names the failure domain or a listed
// host or server is in it.
func (r *Repository) checkDomain(ctx context.Context, domain model.DomainID) error {
	current, err := r.Current(ctx)
	if err != nil {
		return err
	}
	domains := configuration.Lines(current.Tree.Branches[""]["domains"])
	if slices.Contains(domains, string(domain)) {
		return nil
	}
	entries, err := r.store.HostList(ctx)
	if err != nil {
		return err
	}
	isIn := func(e model.HostEntry) bool { return e.Domain == domain }
	if domain == "" || !slices.ContainsFunc(entries, isIn) {
		return merry.Errorf("unknown failure domain %q: the tree names %q", domain, domains)
	}
	return nil
}

func (r *Repository) loadRootRecord(ctx context.Context) (store.RootRecord, uint64, error) {
	value, version, err := r.get(ctx, store.RootKey)
	if err != nil {
		return store.RootRecord{}, 0, err
	}
	if version == 0 {
		return store.RootRecord{}, 0, merry.Errorf("there is no tree of settings yet")
	}
	record, err := store.DecodeRootRecord(value)
	return record, version, err
}

func (r *Repository) swapRootRecord(ctx context.Context, version uint64, record store.RootRecord) error {
	value, err := store.EncodeRootRecord(record)
	if err != nil {
		return err
	}
	_, err = r.store.CompareAndSwap(ctx, store.RootKey, version, value)
	return err
}

// withMembership returns a copy of the sorted domains with or without a domain.
func withMembership(domains []model.DomainID, domain model.DomainID, isMember bool) []model.DomainID {
	changed := slices.DeleteFunc(slices.Clone(domains), func(d model.DomainID) bool { return d == domain })
	if isMember {
		changed = append(changed, domain)
	}
	slices.Sort(changed)
	return changed
}
