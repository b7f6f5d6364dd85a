"""The scenarios; each is a function that runs a fleet and returns a Result."""
