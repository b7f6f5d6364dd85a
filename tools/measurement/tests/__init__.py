"""Tests of the figures, without any process."""
