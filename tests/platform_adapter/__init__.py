"""Tests of the adapter modules in `platform/`."""
