"""Messages between the instances, generated from packages/wire/proto by tools/generate."""
