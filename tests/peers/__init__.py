"""Tests of the links between entries."""
