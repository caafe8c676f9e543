"""Tests of goldcresthoist.callers."""
