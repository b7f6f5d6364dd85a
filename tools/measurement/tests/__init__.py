"""Tests of the calculation of figures; they start no processes."""
