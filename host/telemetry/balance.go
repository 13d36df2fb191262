package telemetry

import "pollensail.dev/decision/effect"

// ServiceBalance is the load of a service's servers as the host estimates it.
type ServiceBalance struct {
	Service        string  `json:"service"`
	MeanLoad       float64 `json:"mean_load"` // expected requests per slot
	MaxLoad        float64 `json:"max_load"`
	Busiest        string  `json:"busiest"`
	MaxSlowness    float64 `json:"max_slowness"` // response time in relation to the mean of the servers
	Slowest        string  `json:"slowest"`
	ReportAgeMS    int64   `json:"report_age_ms"` // median
	Choices        int     `json:"choices"`       // of a server, since the start of the process
	OutsideChoices int     `json:"outside_choices"`
	InvalidReports int     `json:"invalid_reports"`
}

func newBalance(services []effect.ServiceBalance) []ServiceBalance {
	var balance []ServiceBalance
	for _, b := range services {
		balance = append(balance, ServiceBalance{
			Service:        string(b.Service),
			MeanLoad:       b.MeanLoad,
			MaxLoad:        b.MaxLoad,
			Busiest:        string(b.Busiest),
			MaxSlowness:    b.MaxSlowness,
			Slowest:        string(b.Slowest),
			ReportAgeMS:    b.ReportAge.Milliseconds(),
			Choices:        b.Choices,
			OutsideChoices: b.OutsideChoices,
			InvalidReports: b.InvalidReports,
		})
	}
	return balance
}
