package savorysite

// This file defines the configuration document of a site.

import (
	"time"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savoryworld"
)

// baseDocument returns the configuration without backend servers.
func baseDocument() *savoryconfig.Document {
	ms := func(n float64) savoryworld.Duration {
		return savoryworld.Duration(n * float64(time.Millisecond))
	}
	return &savoryconfig.Document{
		Teams: []savoryworld.Team{
			{Name: "platform", TokenSHA256: Digest(TeamToken("platform")), Sections: []string{"Teams", "Zones", "Links", "Accelerators"}},
			{Name: "models", TokenSHA256: Digest(TeamToken("models")), Sections: []string{"Pipelines", "BackendServers"}},
			{Name: "desk", TokenSHA256: Digest(TeamToken("desk")), Sections: []string{"Routes", "Customers"}},
		},
		Zones: []savoryworld.AvailabilityZone{
			{Name: "limpopo-a", Region: "limpopo"},
			{Name: "limpopo-b", Region: "limpopo"},
			{Name: "limpopo-c", Region: "limpopo"},
		},
		Links: []savoryworld.Link{
			{From: "limpopo-a", To: "limpopo-b", Delay: ms(0.5), BytesPerSecond: 1_250_000_000},
			{From: "limpopo-a", To: "limpopo-c", Delay: ms(0.5), BytesPerSecond: 125_000_000},
			{From: "limpopo-b", To: "limpopo-c", Delay: ms(0.5), BytesPerSecond: 12_500_000},
		},
		Accelerators: []savoryworld.Accelerator{
			{Name: "fast", StepBase: ms(0.1), StepToken: ms(0.001), MaxTokens: 64},
			{Name: "middle", StepBase: ms(0.2), StepToken: ms(0.003), MaxTokens: 48},
			{Name: "slow", StepBase: ms(0.3), StepToken: ms(0.008), MaxTokens: 32},
		},
		Pipelines: []savoryworld.Pipeline{{
			Name: ModelName, Model: ModelName, Version: ModelVersion, Layers: Layers, ActivationBytes: 16 << 10,
			FirstToken: ms(770), BetweenTokens: ms(72), MaxTokens: 512,
		}},
		Routes: []savoryworld.Route{
			{Name: "rosters", Path: "/rosters", Service: "dispatch", Methods: []string{"GET"}, Idempotent: true, Timeout: ms(6000)},
			{Name: "callouts", Path: "/callouts", Service: "dispatch", Methods: []string{"POST"}, KeyRequired: true},
			{Name: "notes", Path: "/notes", Service: "dispatch", Methods: []string{"POST"}},
		},
		Customers: []savoryworld.Customer{
			customer("musina-guards", savoryworld.Contract{RequestsPerSecond: 200, Concurrency: 100, Priority: 1}),
			customer("beitbridge-desk", savoryworld.Contract{RequestsPerSecond: 200, Concurrency: 100}),
		},
	}
}

func customer(name string, contract savoryworld.Contract) savoryworld.Customer {
	return savoryworld.Customer{
		Name: name, KeySHA256: []string{Digest(CustomerKey(name))}, HomeRegion: "limpopo",
		Pipelines: []string{ModelName}, Routes: []string{"rosters", "callouts", "notes"}, Contract: contract,
	}
}
