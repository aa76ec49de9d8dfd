"""Settings, events, clocks and the core logic of the fleet."""
