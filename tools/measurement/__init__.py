"""Runs deployments as real processes on loopback and measures them."""
