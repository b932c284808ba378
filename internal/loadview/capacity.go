package loadview

// Usable is the share of a service's slots that is planned with. The rest absorbs the variation
// of arrivals and the pauses of servers (150 ms every 3.6 s takes 0.04 of them).
const Usable = 0.85

// ServerSlots is a usable server with the number of requests that it runs at once.
type ServerSlots struct {
	ID    string `json:"id"`
	Slots int    `json:"slots"`
}

// Capacity returns the capacity of a service in slots: Usable x slots / max(1, pace) x
// (1 - refusals), summed over its servers. A silent server counts as 0, a server without a state
// as sound.
func Capacity(slots []ServerSlots, states []ServerState) float64 {
	troubled := make(map[string]ServerState, len(states))
	for _, state := range states {
		troubled[state.ID] = state
	}
	capacity := 0.0
	for _, server := range slots {
		state := troubled[server.ID]
		if state.Condition == Silent {
			continue
		}
		refused := min(1, max(0, state.Refusals))
		capacity += Usable * float64(max(0, server.Slots)) / max(1, state.Pace) * (1 - refused)
	}
	return capacity
}
