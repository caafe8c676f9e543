"""Tests of goldcresthoist.access."""
