"""The scenarios: each module has functions that return a Result."""
