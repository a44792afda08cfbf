"""Tests of slatechute; the folders mirror the package."""
