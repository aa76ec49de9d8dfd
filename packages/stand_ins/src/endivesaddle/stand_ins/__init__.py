"""Small fakes of the systems around the fleet, for tests, benches and the demo."""
