"""Tests of goldcresthoist.cli."""
