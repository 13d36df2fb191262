package store

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"pollensail.dev/decision/model"
)

// HostJSON is the JSON form of an entry of the platform's host list.
type HostJSON struct {
	ID       string          `json:"id"`
	Role     model.Role      `json:"role"`
	Domain   model.DomainID  `json:"domain"`
	Service  model.ServiceID `json:"service,omitempty"`
	Peer     string          `json:"peer,omitempty"`
	Operator string          `json:"operator,omitempty"`
	Leaving  bool            `json:"leaving,omitempty"`
	Since    model.WallTime  `json:"since,omitempty"` // milliseconds since the Unix epoch (1970)
}

// decodeHosts decodes a host list. A single invalid entry makes the whole list
// invalid, because a partial list would look like a loss of hosts.
func decodeHosts(data []byte) ([]model.HostEntry, error) {
	var list []HostJSON
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, Broken(err)
	}
	entries := make([]model.HostEntry, 0, len(list))
	for _, h := range list {
		if err := h.validate(); err != nil {
			return nil, Broken(err)
		}
		entries = append(entries, h.entry())
	}
	return entries, nil
}

func (h HostJSON) entry() model.HostEntry {
	return model.HostEntry{
		ID: h.ID, Role: h.Role, Domain: h.Domain, Service: h.Service,
		Peer: h.Peer, Operator: h.Operator, Leaving: h.Leaving, Since: h.Since,
	}
}

func (h HostJSON) validate() error {
	switch {
	case h.ID == "":
		return fmt.Errorf("host list entry has no id")
	case h.Role == model.RoleEntry:
		return checkAddress(h.ID, h.Peer)
	case h.Role == model.RoleBackend:
		return checkAddress(h.ID, h.ID)
	default:
		return fmt.Errorf("host %q: unknown role %q", h.ID, h.Role)
	}
}

func checkAddress(id, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("host %q: address %q is not ip:port", id, address)
	}
	return nil
}
